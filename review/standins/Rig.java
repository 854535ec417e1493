import java.io.*;
import java.net.*;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.*;
import java.util.regex.*;

/** A small deployment on loopback addresses: the platform's store, engines, callers, and entry VMs as processes. */
final class Rig implements AutoCloseable {
    static final String HOST = "127.0.0.1";
    static final long MAX_RUN_MS = 115_000;
    final long startNanos = System.nanoTime();
    final PrintWriter record;
    final Path work;
    final Store store = new Store();
    final List<Vm> vms = new CopyOnWriteArrayList<>();
    final List<Engine> engines = new CopyOnWriteArrayList<>();

    Rig(String folder) throws IOException {
        record = new PrintWriter(new FileWriter(new File(folder, "record.txt")), true);
        work = Files.createTempDirectory("review");
        store.start();
    }

    interface Case { int run(Rig rig) throws Exception; }

    /**
     * Runs [test] with its record in the folder that [args] names, ends all processes that it started, and exits with
     * its result: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
     */
    static void main(String[] args, Case test) throws Exception {
        int code = 2;
        Rig rig = new Rig(args[0]);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> rig.vms.forEach(Vm::kill)));
        spawn(() -> {
            sleep(MAX_RUN_MS);
            rig.note("not finished after " + MAX_RUN_MS + " ms");
            System.exit(2);
        });
        try {
            code = test.run(rig);
        } catch (Exception failed) {
            rig.note("could not run: " + failed);
        }
        rig.note("exit code " + code);
        rig.close();
        System.exit(code);
    }

    /** Whether the script shall cause the disruption. */
    static boolean hasTrouble() { return !"0".equals(System.getenv("TROUBLE")); }

    long nowMs() { return (System.nanoTime() - startNanos) / 1_000_000; }

    synchronized void note(String text) {
        record.printf("%8.3f %s%n", nowMs() / 1000.0, text);
    }

    static int freePort() throws IOException {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(12_000, 32_000);
            try (ServerSocket s = new ServerSocket()) {
                s.bind(new InetSocketAddress(HOST, port));
                return port;
            } catch (IOException taken) {
                // Another process has the port.
            }
        }
    }

    static void sleep(long ms) {
        try { Thread.sleep(Math.max(0, ms)); } catch (InterruptedException e) { throw new IllegalStateException(e); }
    }

    static Thread spawn(Runnable r) {
        Thread t = new Thread(r);
        t.setDaemon(true);
        t.start();
        return t;
    }

    interface Check { boolean holds() throws Exception; }

    /** Waits until [check] holds; returns false after [ms] milliseconds. */
    static boolean await(long ms, Check check) {
        long end = System.nanoTime() + ms * 1_000_000;
        while (System.nanoTime() < end) {
            try { if (check.holds()) return true; } catch (Exception notYet) { /* tried again */ }
            sleep(50);
        }
        return false;
    }

    @Override public void close() {
        for (Vm vm : vms) vm.kill();
        for (Engine engine : engines) engine.isAlive = false;
        record.close();
        try (var files = Files.walk(work)) {
            files.sorted(Comparator.reverseOrder()).forEach(p -> p.toFile().delete());
        } catch (IOException left) {
            System.err.println("temporary files left: " + left.getMessage());
        }
    }

    // ---- HTTP ----

    /** One request or the head of one response. */
    static final class Message {
        String first;
        final List<String[]> headers = new ArrayList<>();
        byte[] body = new byte[0];

        String header(String name) {
            for (String[] h : headers) if (h[0].equalsIgnoreCase(name)) return h[1];
            return null;
        }
        String method() { return first.split(" ")[0]; }
        String target() { return first.split(" ")[1]; }
        String path() { return target().replaceAll("\\?.*", ""); }
        int status() { return Integer.parseInt(first.split(" ")[1]); }
        String query(String name) {
            Matcher m = Pattern.compile("[?&]" + name + "=([^&]*)").matcher(target());
            return m.find() ? URLDecoder.decode(m.group(1), StandardCharsets.UTF_8) : null;
        }
        String text() { return new String(body, StandardCharsets.UTF_8); }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int b = in.read();
            if (b < 0) {
                if (line.size() == 0) return null;
                throw new EOFException("connection ended within a line");
            }
            if (b == '\n') return line.toString(StandardCharsets.ISO_8859_1).replaceAll("\r$", "");
            line.write(b);
        }
    }

    static Message readHead(InputStream in) throws IOException {
        Message m = new Message();
        m.first = readLine(in);
        if (m.first == null) return null;
        for (String line = readLine(in); !"".equals(line); line = readLine(in)) {
            if (line == null) throw new EOFException("connection ended within a head");
            int colon = line.indexOf(':');
            m.headers.add(new String[] {line.substring(0, colon), line.substring(colon + 1).trim()});
        }
        return m;
    }

    static byte[] readExactly(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) throw new EOFException("connection ended within a body");
        return bytes;
    }

    /** Reads a body; throws if it is incomplete. */
    static void readBody(InputStream in, Message m, boolean isResponse) throws IOException {
        if ("chunked".equalsIgnoreCase(m.header("Transfer-Encoding"))) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            while (true) {
                String line = readLine(in);
                if (line == null) throw new EOFException("connection ended within a chunked body");
                int size = Integer.parseInt(line.trim(), 16);
                if (size == 0) { readLine(in); break; }
                all.write(readExactly(in, size));
                m.body = all.toByteArray();
                readLine(in);
            }
            m.body = all.toByteArray();
        } else if (m.header("Content-Length") != null) {
            m.body = readExactly(in, Integer.parseInt(m.header("Content-Length")));
        } else if (isResponse) {
            m.body = in.readAllBytes();
        }
    }

    static void respond(OutputStream out, int status, String headers, byte[] body) throws IOException {
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(("HTTP/1.1 " + status + " X\r\n" + headers + "Keep-Alive: timeout=5\r\nContent-Length: " + body.length
            + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        out.write(all.toByteArray());
        out.flush();
    }

    static void chunk(OutputStream out, String text) throws IOException {
        byte[] b = text.getBytes(StandardCharsets.UTF_8);
        out.write((Integer.toHexString(b.length) + "\r\n" + text + "\r\n").getBytes(StandardCharsets.UTF_8));
        out.flush();
    }

    interface Handler { void handle(Message request, InputStream in, OutputStream out, Socket socket) throws Exception; }

    /** A server with a thread for each connection. */
    static final class Server {
        final ServerSocket listening = new ServerSocket();
        final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
        final int port;

        Server(Handler handler) throws IOException {
            listening.setReuseAddress(true);
            listening.bind(new InetSocketAddress(HOST, 0), 512);
            port = listening.getLocalPort();
            spawn(() -> {
                while (true) {
                    try {
                        Socket s = listening.accept();
                        s.setTcpNoDelay(true);
                        sockets.add(s);
                        spawn(() -> serve(s, handler));
                    } catch (IOException closed) {
                        return;
                    }
                }
            });
        }

        void serve(Socket s, Handler handler) {
            try (s) {
                InputStream in = new BufferedInputStream(s.getInputStream());
                OutputStream out = s.getOutputStream();
                while (true) {
                    Message m = readHead(in);
                    if (m == null) return;
                    readBody(in, m, false);
                    handler.handle(m, in, out, s);
                }
            } catch (Exception ended) {
                // The peer left, or the handler ended the connection.
            } finally {
                sockets.remove(s);
            }
        }
    }

    // ---- the platform's store ----

    final class Store {
        final Map<String, List<byte[]>> logs = new HashMap<>();
        Server server;

        void start() throws IOException { server = new Server(this::handle); }

        synchronized int append(String topic, byte[] rec) {
            List<byte[]> log = logs.computeIfAbsent(topic, t -> new ArrayList<>());
            log.add(rec);
            notifyAll();
            return log.size() - 1;
        }

        void put(String topic, String key, String value) {
            byte[] k = key.getBytes(StandardCharsets.UTF_8), v = value.getBytes(StandardCharsets.UTF_8);
            append(topic, ByteBuffer.allocate(1 + k.length + v.length).put((byte) k.length).put(k).put(v).array());
        }

        synchronized void handle(Message m, InputStream in, OutputStream out, Socket s) throws Exception {
            String topic = m.query("topic");
            List<byte[]> log = logs.computeIfAbsent(topic, t -> new ArrayList<>());
            switch (m.path()) {
                case "/daisybend/log-append": {
                    String at = m.query("at");
                    if (at != null && Long.parseLong(at) != log.size()) {
                        json(out, 412, "{\"end\":" + log.size() + "}");
                        return;
                    }
                    int first = log.size();
                    ByteBuffer b = ByteBuffer.wrap(m.body);
                    while (b.remaining() >= 4) {
                        byte[] rec = new byte[b.getInt()];
                        b.get(rec);
                        append(topic, rec);
                    }
                    json(out, 200, "{\"offset\":" + first + ",\"end\":" + log.size() + "}");
                    return;
                }
                case "/daisybend/log-read": {
                    int from = Integer.parseInt(m.query("from"));
                    long wait = m.query("waitMs") == null ? 0 : Long.parseLong(m.query("waitMs"));
                    long end = System.nanoTime() + wait * 1_000_000;
                    while (log.size() <= from && System.nanoTime() < end) {
                        wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
                    }
                    ByteArrayOutputStream body = new ByteArrayOutputStream();
                    DataOutputStream data = new DataOutputStream(body);
                    data.writeLong(log.size());
                    data.writeLong(0);
                    for (int i = from; i < log.size() && body.size() < 1_000_000; i++) {
                        data.writeInt(log.get(i).length);
                        data.write(log.get(i));
                    }
                    Rig.respond(out, 200, "Content-Type: application/octet-stream\r\n", body.toByteArray());
                    return;
                }
                case "/daisybend/log-newest": {
                    Map<String, String> newest = new LinkedHashMap<>();
                    for (int i = 0; i < log.size(); i++) {
                        byte[] r = log.get(i);
                        int n = r[0] & 0xff;
                        String key = new String(r, 1, n, StandardCharsets.UTF_8);
                        if (r.length == 1 + n) { newest.remove(key); continue; }
                        newest.put(key, "{\"key\":\"" + key + "\",\"value\":\""
                            + Base64.getEncoder().encodeToString(Arrays.copyOfRange(r, 1 + n, r.length))
                            + "\",\"offset\":" + i + "}");
                    }
                    json(out, 200, "{\"items\":[" + String.join(",", newest.values()) + "],\"more\":false,\"end\":"
                        + log.size() + "}");
                    return;
                }
                default:
                    json(out, 404, "{}");
            }
        }

        private void json(OutputStream out, int status, String body) throws IOException {
            Rig.respond(out, status, "Content-Type: application/json\r\n", body.getBytes(StandardCharsets.UTF_8));
        }
    }

    // ---- engines ----

    interface RequestHandler { void run(Message request, InputStream in, OutputStream out, Socket s) throws Exception; }

    /** A model engine, or an engine of a plain service if [models] is null. */
    final class Engine {
        final String id, service;
        final long born = System.currentTimeMillis();
        final Server server;
        final Set<String> models;
        final Set<String> onDisk = new TreeSet<>();
        int slots = 8;
        int maxModels = 1;
        long loadMs = 6000, diskMs = 800;
        int orderCount = 0;
        boolean busy = false;
        int adapterSlots = 8;
        long adapterLoadMs = 8;
        /** Adapters as MODEL/NAME: those that take a place, those that can be used, and the number of runs of each. */
        final Set<String> adapterPlaces = new TreeSet<>(), adapters = new TreeSet<>();
        final Map<String, Integer> adapterRuns = new TreeMap<>();
        /** Adapters whose unloading waits for runs to end. */
        final Set<String> adaptersLeaving = new TreeSet<>();
        /** What was wrong with the first order that asked for more than the engine holds, or null. */
        volatile String overload;
        volatile String state = "ready";
        volatile boolean isAlive = true;
        /** Ids of the requests that this engine got, and of those that it ran to the end. */
        final List<String> got = new CopyOnWriteArrayList<>(), done = new CopyOnWriteArrayList<>();
        volatile RequestHandler handler;

        Engine(String id, String service, Set<String> models) throws IOException {
            this.id = id;
            this.service = service;
            this.models = models == null ? null : new TreeSet<>(models);
            if (models != null) onDisk.addAll(models);
            this.handler = models == null ? this::answer : this::stream;
            server = new Server(this::handle);
            engines.add(this);
            register();
            spawn(() -> { while (isAlive) { sleep(1200); if (isAlive) register(); } });
        }

        synchronized String description() {
            StringBuilder b = new StringBuilder();
            b.append("\"busy\":").append(busy).append(",\"born\":").append(born);
            if (models != null) {
                b.append(",\"models\":[").append(String.join(",", models.stream().map(m -> "{\"name\":\"" + m
                    + "\",\"version\":1,\"adapters\":[" + String.join(",", adapters.stream()
                    .filter(a -> a.startsWith(m + "/")).map(a -> "\"" + a.substring(m.length() + 1) + "\"").toList())
                    + "]}").toList())).append("],\"atHand\":{\"inMemory\":[],\"onDisk\":["
                    + String.join(",", onDisk.stream().map(m -> "\"" + m + "\"").toList()) + "]}");
            }
            return b.toString();
        }

        int writes = 0;

        synchronized void register() {
            store.put("keyed.servers", id, "{\"service\":\"" + service + "\",\"address\":\"" + HOST + ":" + server.port
                + "\",\"zone\":\"north\",\"version\":\"1\",\"slots\":" + slots + ",\"state\":\"" + state
                + "\",\"coldLeftMs\":0,\"seqNo\":" + (writes++) + "," + description() + "}");
        }

        void handle(Message m, InputStream in, OutputStream out, Socket s) throws Exception {
            String expected = m.header("X-Daisybend-Expect-Instance");
            String own = "X-Daisybend-Instance-Id: " + id + "\r\n";
            if (expected != null && !expected.equals(id)) { respond(out, 421, own, new byte[0]); return; }
            if (m.path().equals("/daisybend/report")) {
                String text;
                synchronized (this) {
                    text = "{\"stage\":\"both\"," + description() + ",\"seqNo\":" + orderCount
                        + ",\"queued\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":232000,\"handles\":0}";
                }
                respond(out, 200, "Content-Type: application/json\r\n" + own, text.getBytes());
                return;
            }
            if (m.path().equals("/daisybend/order")) { order(m, out); return; }
            String model = m.header("X-Daisybend-Model");
            if (models != null && model != null) {
                boolean holds;
                boolean isLeaving;
                synchronized (this) {
                    holds = model.contains("/") ? adapters.contains(model) : models.contains(model);
                    isLeaving = adaptersLeaving.contains(model);
                    if (holds && !isLeaving && model.contains("/")) adapterRuns.merge(model, 1, Integer::sum);
                }
                String echo = "X-Daisybend-Attempt-Id: " + m.header("X-Daisybend-Attempt-Id") + "\r\n";
                if (!holds) { respond(out, 421, own + echo, new byte[0]); return; }
                if (isLeaving) { respond(out, 503, echo + "X-Daisybend-Not-Executed: 1\r\n", new byte[0]); return; }
            }
            String attempt = m.header("X-Daisybend-Attempt-Id");
            got.add(attempt);
            note("engine " + id + " got " + attempt + " " + m.target() + (model == null ? "" : " " + model));
            try {
                handler.run(m, in, out, s);
            } finally {
                if (models != null && model != null && model.contains("/")) endAdapterRun(model);
            }
            done.add(attempt);
            note("engine " + id + " answered " + attempt);
        }

        void answer(Message m, InputStream in, OutputStream out, Socket s) throws Exception {
            sleep(20);
            respond(out, 200, own(m), ("done " + m.header("X-Daisybend-Attempt-Id")).getBytes());
        }

        void stream(Message m, InputStream in, OutputStream out, Socket s) throws Exception {
            out.write(("HTTP/1.1 200 OK\r\n" + own(m) + "Content-Type: text/event-stream\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n").getBytes());
            String last = m.header("Last-Event-Id");
            for (int i = last == null ? 1 : Integer.parseInt(last) + 1; i <= 13; i++) {
                sleep(20);
                chunk(out, "id: " + i + "\ndata: " + i + "\n\n");
            }
            out.write("0\r\n\r\n".getBytes());
            out.flush();
        }

        String own(Message m) {
            return "X-Daisybend-Attempt-Id: " + m.header("X-Daisybend-Attempt-Id")
                + "\r\nX-Daisybend-Response-Seal: seal-" + id + "\r\n";
        }

        private String field(String json, String name) {
            Matcher f = Pattern.compile("\"" + name + "\":\"?([^\",}]*)").matcher(json);
            return f.find() ? f.group(1) : null;
        }

        /** Ends the engine with all its connections. */
        void crash() {
            note("engine " + id + " crashes");
            isAlive = false;
            try {
                server.listening.close();
                for (Socket s : server.sockets) s.close();
            } catch (IOException closed) {
                note("engine " + id + ": " + closed.getMessage());
            }
        }

        /** Drops an adapter whose unloading has waited for its last run. */
        private synchronized void endAdapterRun(String adapter) {
            if (adapterRuns.merge(adapter, -1, Integer::sum) > 0) return;
            if (!adaptersLeaving.remove(adapter)) return;
            adapters.remove(adapter);
            adapterPlaces.remove(adapter);
            note("engine " + id + " has dropped " + adapter + " after its last run");
        }

        /** Carries out the order for [adapter] of a model; loading and unloading don't make the engine busy. */
        private int orderAdapter(boolean isLoad, String adapter) {
            if (isLoad == adapterPlaces.contains(adapter)) return 200;
            orderCount++;
            if (isLoad) {
                if (adapterPlaces.size() >= adapterSlots) {
                    overload = "load of " + adapter + " while the engine holds " + adapterPlaces + ", runs " + adapterRuns;
                    note("engine " + id + " ordered to load more than adapterSlots " + adapterSlots + " hold: " + overload);
                    crash();
                    return 503;
                }
                adapterPlaces.add(adapter);
                spawn(() -> { sleep(adapterLoadMs); synchronized (Engine.this) { adapters.add(adapter); } });
                return 202;
            }
            if (adapterRuns.getOrDefault(adapter, 0) > 0) {
                adaptersLeaving.add(adapter);
                return 202;
            }
            adapters.remove(adapter);
            adapterPlaces.remove(adapter);
            return 200;
        }

        private void order(Message m, OutputStream out) throws IOException {
            String text = m.text(), model = field(text, "model"), expect = field(text, "expect");
            String adapter = field(text, "adapter");
            boolean isLoad = "load".equals(field(text, "opcode"));
            int status;
            synchronized (this) {
                if (expect != null && Integer.parseInt(expect) != orderCount) status = 409;
                else if (adapter != null) status = orderAdapter(isLoad, model + "/" + adapter);
                else if (busy || (expect != null && Integer.parseInt(expect) != orderCount)) status = 409;
                else if (isLoad == models.contains(model)) status = 200;
                else {
                    status = 202;
                    orderCount++;
                    busy = true;
                    if (!isLoad) models.remove(model);
                    if (isLoad && models.size() >= maxModels) note("engine " + id + " was ordered to load too much");
                    long took = !isLoad ? 20 : onDisk.contains(model) ? diskMs : loadMs;
                    spawn(() -> {
                        sleep(took);
                        synchronized (Engine.this) {
                            busy = false;
                            if (isLoad) { models.add(model); onDisk.add(model); }
                        }
                        register();
                    });
                }
            }
            note("engine " + id + " order " + text + " -> " + status);
            respond(out, status, "", new byte[0]);
        }
    }

    // ---- entry VMs ----

    final class Vm {
        final String name;
        final int front = freePort(), ready = freePort(), directory = freePort(), peer = freePort(), metrics = freePort();
        final Path settings;
        Process process;

        Vm(String name, String... moreSettings) throws IOException {
            this.name = name;
            settings = work.resolve(name + ".conf");
            String text = String.join("\n",
                "nodeName=" + name, "role=entry", "machineClass=front", "serves=front,directory", "ip=" + HOST,
                "zone=north", "region=home", "zones.north=home", "listen.front=" + HOST + ":" + front,
                "listen.readiness=" + HOST + ":" + ready, "listen.directory=" + HOST + ":" + directory,
                "portRange=" + peer + "," + metrics, "seeds=", "bootstrap=true", "limits.cpuShare=0.75",
                "limits.cores=1", "limits.memoryMb=430", "limits.maxFds=4100", "limits.linkMbps=1000.0",
                "discovery=platform", "entry=directory", "heartbeatMs=1200", "bounds.seedLagS=3",
                "bounds.addrReuseS=2", "bounds.stableMs=3000", "bounds.ackMs=4000", "bounds.catchUpS=4",
                "bounds.drainMs=2000", "bounds.graceS=8", "bounds.lossSlackMs=200", "bounds.configApplyMs=2000",
                "bounds.rollbackSlackMs=250", "bounds.outerMs=5000", "bounds.failClosed=true",
                "bounds.revokeMs=5000", "bounds.budgetRatio=0.2", "bounds.budgetWindowS=10",
                "bounds.budgetExtra=58", "bounds.quotaWindowS=8", "bounds.quotaOverage=0.1",
                "bounds.quotaSlack=110000", "bounds.recoverS=12", "bounds.passMs=120", "bounds.retryAfterS=0",
                "bounds.fencing=false", "bounds.leaseMs=3000", "bounds.thawMs=300", "bounds.ceilingWindowS=5",
                "bounds.ceilingOver=1.1", "bounds.ttl_max_s=5",
                "platform.address=" + HOST + ":" + store.server.port, "platform.form=log",
                "platform.writesPerS=400", "platform.readsPerS=2000", "platform.parts=8", "platform.appendMs=4.0",
                "platform.keep_s=20", "platform.ttlMinMs=1000") + "\n" + String.join("\n", moreSettings) + "\n";
            Files.writeString(settings, text);
            vms.add(this);
        }

        /** Starts the process with the command of the deploy file. */
        void start() throws IOException {
            String run = null;
            for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
                if (line.startsWith("run = ")) run = line.substring(7, line.length() - 1);
            }
            ProcessBuilder builder = new ProcessBuilder(run.split(" "));
            builder.environment().put("DAISYBEND_SETTINGS", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(work.resolve(name + ".log").toFile()));
            process = builder.start();
            note("started " + name);
        }

        boolean isReady() throws IOException { return get(ready, "/daisybend/readyz").status() == 200; }

        void signal(String signal) throws Exception {
            note("signal " + signal + " to " + name);
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
        }

        void kill() {
            if (process == null) return;
            process.destroyForcibly();
            try { process.waitFor(); } catch (InterruptedException e) { throw new IllegalStateException(e); }
        }

        /** Copies the lines of the log that contain one of [words] to the record. */
        void recordLog(String... words) throws IOException {
            for (String line : Files.readAllLines(work.resolve(name + ".log"))) {
                for (String word : words) if (line.contains(word)) { note(name + " log: " + line); break; }
            }
        }
    }

    static Message get(int port, String path) throws IOException {
        try (Socket s = new Socket(HOST, port)) {
            s.setSoTimeout(2000);
            s.getOutputStream().write(("GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n").getBytes());
            InputStream in = new BufferedInputStream(s.getInputStream());
            Message m = readHead(in);
            readBody(in, m, true);
            return m;
        }
    }

    // ---- callers ----

    /** One request of a caller and what came of it. */
    final class Call {
        final String id;
        volatile long sentAtMs = -1, endedAtMs = -1;
        volatile int status = 0;
        /** "answered", "no answer: ...", "incomplete: ..." or "timed out". */
        volatile String outcome = "open";
        volatile Message response;
        Thread thread;

        Call(String id) { this.id = id; }

        void join() throws InterruptedException { if (thread != null) thread.join(); }
    }

    /** Sends one request on a new connection or on [kept] and reads its response in a thread. */
    Call send(int port, Socket kept, String method, String path, String headers, byte[] body, long waitMs) {
        String id = String.format("%016x", ThreadLocalRandom.current().nextLong());
        return send(id, port, kept, method, path, headers, body, waitMs);
    }

    /** As above, for the attempt [id]. */
    Call send(String id, int port, Socket kept, String method, String path, String headers, byte[] body, long waitMs) {
        Call call = new Call(id);
        call.thread = spawn(() -> {
            try {
                Socket s = kept != null ? kept : new Socket(HOST, port);
                s.setTcpNoDelay(true);
                s.setSoTimeout((int) waitMs);
                String head = method + " " + path + " HTTP/1.1\r\nHost: site.example\r\nX-Daisybend-Attempt-Id: "
                    + call.id + "\r\nX-Api-Key: k1\r\nX-Daisybend-Deadline-Ms: " + waitMs + "\r\n" + headers
                    + "Content-Length: " + body.length + "\r\n\r\n";
                ByteArrayOutputStream all = new ByteArrayOutputStream();
                all.write(head.getBytes(StandardCharsets.ISO_8859_1));
                all.write(body);
                s.getOutputStream().write(all.toByteArray());
                call.sentAtMs = nowMs();
                note("caller sent " + call.id + " " + method + " " + path + " " + headers.trim().replace("\r\n", "; "));
                InputStream in = new BufferedInputStream(s.getInputStream());
                Message m = readHead(in);
                if (m == null) {
                    call.outcome = "no answer: the connection ended";
                } else {
                    call.status = m.status();
                    call.response = m;
                    try {
                        readBody(in, m, true);
                        call.outcome = "answered";
                    } catch (SocketTimeoutException late) {
                        throw late;
                    } catch (IOException broken) {
                        call.outcome = "incomplete: " + broken.getMessage();
                    }
                }
            } catch (SocketTimeoutException late) {
                call.outcome = "timed out";
            } catch (IOException broken) {
                call.outcome = "no answer: " + broken.getMessage();
            }
            call.endedAtMs = nowMs();
            note("caller " + call.id + " " + call.outcome + " status " + call.status
                + (call.response == null ? "" : " " + call.response.text().replace("\n", " ")));
        });
        return call;
    }

    // ---- configuration ----

    static String route(String name, String kind, String service, int timeoutMs, int targetMs, boolean resumable) {
        return "{\"name\":\"" + name + "\",\"host\":\"site.example\",\"pathPrefix\":\"/" + name + "/\",\"routeType\":\""
            + kind + "\",\"timeoutMs\":" + timeoutMs + ",\"targetLatencyMs\":" + targetMs
            + ",\"priority\":1,\"service\":\"" + service + "\",\"maxAttempts\":2,\"resumable\":" + resumable
            + ",\"sticky\":" + kind.equals("streaming") + "}";
    }

    static String modelService(String name, int models) { return modelService(name, models, 0); }

    static String modelService(String name, int models, int adapters) {
        List<String> list = new ArrayList<>();
        for (int i = 1; i <= models; i++) {
            list.add("{\"name\":\"m" + i + "\",\"weightsMb\":72700,\"loadS\":6.0,\"diskS\":0.84,\"warmS\":0.4,"
                + "\"adapters\":" + adapters + ",\"adapterMb\":40}");
        }
        return "{\"name\":\"" + name + "\",\"healthCheck\":\"/healthz\",\"maxConns\":370,\"engine\":{\"slots\":64,"
            + "\"kvCapacity\":232000,\"weightsMb\":140000,\"adapterSlots\":8,\"hostMb\":0,\"diskMb\":540000,"
            + "\"loadsPerS\":2.8,\"models\":[" + String.join(",", list) + "]}}";
    }

    static String plainService(String name) {
        return "{\"name\":\"" + name + "\",\"healthCheck\":\"/healthz\",\"maxConns\":110}";
    }

    void configure(int version, String routes, String services, String tenants) {
        store.put("keyed.op", "config", "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":["
            + services + "],\"tenants\":[" + tenants + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
            + "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}");
        note("configuration " + version + " acknowledged");
    }

    static String tenant(String name, String... keys) {
        return "{\"name\":\"" + name + "\",\"apiKeys\":[\"" + String.join("\",\"", keys)
            + "\"],\"unit\":\"token_stream\",\"plainTokens\":200,\"ratePerS\":0,\"burst\":0}";
    }
}
