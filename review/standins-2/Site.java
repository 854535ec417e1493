import java.io.*;
import java.net.Socket;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.*;
import java.util.*;
import java.util.concurrent.ConcurrentHashMap;

/** A small deployment of real processes: the store, engines and entry VMs; ends all processes that it started. */
final class Site implements AutoCloseable {
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    final StoreStandin store = new StoreStandin();
    final Path root = Path.of("").toAbsolutePath();
    final Path folder = Files.createTempDirectory("review-2");
    private final PrintWriter record;
    private final long startedAt = System.nanoTime();
    private final Set<Process> processes = ConcurrentHashMap.newKeySet();
    final List<String> ran = Collections.synchronizedList(new ArrayList<>());

    Site(Path recordFile) throws IOException {
        record = new PrintWriter(new OutputStreamWriter(new FileOutputStream(recordFile.toFile()), StandardCharsets.UTF_8), true);
        Runtime.getRuntime().addShutdownHook(new Thread(this::endAll));
    }

    long nowMs() { return (System.nanoTime() - startedAt) / 1_000_000L; }

    synchronized void note(String line) {
        String text = String.format("%7.3f s  %s", nowMs() / 1000.0, line);
        record.println(text);
        System.out.println(text);
    }

    private Process start(ProcessBuilder builder) throws IOException {
        Process p = builder.directory(root.toFile()).start();
        processes.add(p);
        return p;
    }

    static void signal(Process p, String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(p.pid())).start().waitFor();
    }

    /** An engine process that can be killed and started again under the same id and address. */
    final class Engine {
        final String id;
        final String host;
        final int port;
        private final List<String> words = new ArrayList<>();
        private boolean startsEmpty;
        /** What the engine last said of itself. */
        volatile String lastBeat = "";
        Process process;

        Engine(String id, String host, String service, String... more) throws IOException {
            this.id = id;
            this.host = host;
            port = Http.freePort(host);
            words.addAll(List.of("id=" + id, "host=" + host, "port=" + port, "service=" + service, "zone=north"));
            words.addAll(List.of(more));
        }

        Engine start() throws IOException {
            List<String> command = new ArrayList<>(List.of(java(), "-Xmx64m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp", System.getProperty("java.class.path"), "EngineStandin"));
            // Engines restart empty.
            for (String word : words) command.add(startsEmpty && word.startsWith("models=") ? "models=" : word);
            startsEmpty = true;
            Process p = Site.this.start(new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.DISCARD));
            process = p;
            note("engine " + id + " starts");
            Thread t = new Thread(() -> {
                try (BufferedReader r = p.inputReader()) {
                    String l;
                    while ((l = r.readLine()) != null) {
                        if (l.startsWith("beat ")) {
                            lastBeat = l.substring(5);
                            store.put("keyed.servers", id, lastBeat);
                        } else {
                            if (l.startsWith("ran ")) ran.add(id + " " + l);
                            if (System.getProperty("quiet") == null) note("engine " + id + ": " + l);
                        }
                    }
                } catch (IOException ended) {
                    // The process has ended.
                }
            });
            t.setDaemon(true);
            t.start();
            return this;
        }

        boolean holds(String model) { return process.isAlive() && lastBeat.contains("\"name\":\"" + model + "\""); }

        void kill() throws InterruptedException {
            note("engine " + id + " is killed");
            process.destroyForcibly().waitFor();
            lastBeat = "";
        }

        void awaitListening(long timeoutMs) throws Exception {
            long end = nowMs() + timeoutMs;
            while (nowMs() < end) {
                try (Socket s = new Socket(host, port)) {
                    return;
                } catch (IOException notYet) {
                    Thread.sleep(20);
                }
            }
            throw new CannotRun("engine " + id + " does not listen");
        }
    }

    /** An entry VM, started by the command of the deploy file. */
    final class Vm {
        final String name;
        final String ip;
        final int front;
        final int ready;
        final Path settings;
        /** The processor that the process is bound to, or null for all of them. */
        Integer core;
        Process process;

        Vm(String name, String ip) throws IOException {
            this.name = name;
            this.ip = ip;
            front = Http.freePort(ip);
            ready = Http.freePort(ip);
            settings = folder.resolve(name + ".conf");
            Files.writeString(settings, String.join("\n",
                "nodeName=" + name, "role=entry", "machineClass=front", "serves=front,directory", "ip=" + ip, "zone=north", "region=home",
                "zones.north=home", "listen.front=" + ip + ":" + front, "listen.readiness=" + ip + ":" + ready,
                "listen.directory=" + ip + ":" + Http.freePort(ip), "portRange=" + Http.freePort(ip) + "," + Http.freePort(ip),
                "bootstrap=true", "limits.cpuShare=0.75", "limits.cores=1", "limits.memoryMb=430", "limits.maxFds=4100", "limits.linkMbps=1000.0",
                "discovery=platform", "entry=directory", "heartbeatMs=1200", "faultTolerance.machines=1",
                "bounds.seedLagS=3", "bounds.addrReuseS=2", "bounds.stableMs=3000", "bounds.ackMs=4000", "bounds.catchUpS=4", "bounds.drainMs=2000",
                "bounds.graceS=8", "bounds.lossSlackMs=200", "bounds.configApplyMs=2000", "bounds.rollbackSlackMs=250", "bounds.outerMs=5000",
                "bounds.failClosed=true", "bounds.revokeMs=5000", "bounds.budgetRatio=0.2", "bounds.budgetWindowS=10", "bounds.budgetExtra=58",
                "bounds.quotaWindowS=8", "bounds.quotaOverage=0.1", "bounds.quotaSlack=110000", "bounds.recoverS=12", "bounds.passMs=120",
                "bounds.retryAfterS=0", "bounds.fencing=false", "bounds.leaseMs=3000", "bounds.thawMs=300", "bounds.ceilingWindowS=5",
                "bounds.ceilingOver=1.1", "bounds.ttl_max_s=5", "platform.address=127.0.0.1:" + store.port(), "platform.form=log",
                "platform.writesPerS=400", "platform.readsPerS=2000", "platform.parts=8", "platform.appendMs=4.0", "platform.keep_s=300", ""));
        }

        Vm start() throws IOException {
            List<String> command = new ArrayList<>();
            for (String l : Files.readAllLines(root.resolve("deploy/system.toml"))) {
                if (l.startsWith("run = ")) command.addAll(List.of(l.substring(l.indexOf('"') + 1, l.lastIndexOf('"')).split(" ")));
            }
            command.set(0, java());
            if (core != null) command.addAll(0, List.of("taskset", "-c", core.toString()));
            ProcessBuilder b = new ProcessBuilder(command);
            b.environment().put("DAISYBEND_SETTINGS", settings.toString());
            b.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
            process = Site.this.start(b);
            note("VM " + name + " starts");
            return this;
        }

        /** Ends the process by SIGTERM, as when a machine is removed as planned. */
        void stop() throws Exception {
            signal(process, "TERM");
            note("VM " + name + " gets SIGTERM");
        }

        void kill() throws InterruptedException {
            process.destroyForcibly().waitFor();
            note("VM " + name + " was killed");
        }

        void freeze() throws Exception {
            signal(process, "STOP");
            note("VM " + name + " stands still");
        }

        void thaw() throws Exception {
            signal(process, "CONT");
            note("VM " + name + " goes on");
        }

        void awaitReady(long timeoutMs) throws Exception {
            long end = nowMs() + timeoutMs;
            while (nowMs() < end) {
                try (Socket s = new Socket(ip, ready)) {
                    s.getOutputStream().write(Http.encode("GET /daisybend/readyz HTTP/1.1", List.of("Host: " + ip), new byte[0], false));
                    Http.Message m = Http.answer(s.getInputStream(), null);
                    if (m != null && m.status() == 200) {
                        note("VM " + name + " is ready");
                        return;
                    }
                } catch (IOException notYet) {
                    // It is still starting.
                }
                Thread.sleep(50);
            }
            throw new CannotRun("VM " + name + " does not get ready");
        }

        Socket connect() throws IOException {
            Socket s = new Socket();
            s.connect(new InetSocketAddress(ip, front), 1_000);
            s.setTcpNoDelay(true);
            return s;
        }
    }

    static final class CannotRun extends Exception {
        CannotRun(String reason) { super(reason); }
    }

    /** The numbers of the processors that this process may use. */
    static List<Integer> cores() throws IOException {
        List<Integer> cores = new ArrayList<>();
        for (String l : Files.readAllLines(Path.of("/proc/self/status"))) {
            if (!l.startsWith("Cpus_allowed_list:")) continue;
            for (String range : l.substring(l.indexOf(':') + 1).trim().split(",")) {
                String[] ends = range.split("-");
                for (int c = Integer.parseInt(ends[0]); c <= Integer.parseInt(ends[ends.length - 1]); c++) cores.add(c);
            }
        }
        return cores;
    }

    static String java() { return Path.of(System.getProperty("java.home"), "bin", "java").toString(); }

    static int eventsIn(byte[] body) {
        int n = 0;
        for (String l : new String(body, StandardCharsets.UTF_8).split("\n")) if (l.startsWith("data: ")) n++;
        return n;
    }

    private void endAll() {
        for (Process p : processes) p.destroyForcibly();
    }

    @Override
    public void close() {
        endAll();
        for (Process p : processes) {
            try {
                p.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        try (var files = Files.walk(folder)) {
            if (System.getenv("KEEP") == null) files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
            else System.out.println("kept " + folder);
        } catch (IOException left) {
            System.out.println("left " + folder);
        }
        record.close();
    }

    /** Runs a case: exits with 1 if it says that the rule was broken, 0 if it held, 2 if the case could not run. */
    interface Case { boolean isBroken(Site site) throws Exception; }

    static void run(String recordFile, Case body) throws Exception {
        int code = 2;
        try (Site site = new Site(Path.of(recordFile))) {
            try {
                boolean broken = body.isBroken(site);
                site.note(broken ? "RULE BROKEN" : "the rule held");
                code = broken ? 1 : 0;
            } catch (CannotRun | IOException e) {
                site.note("could not run: " + e);
            }
        }
        System.exit(code);
    }
}
