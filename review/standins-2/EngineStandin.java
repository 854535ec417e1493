import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;
import java.util.concurrent.ConcurrentHashMap;

/**
 * An engine, or a server of a plain service, as a process of its own. It writes to its output a line "beat JSON" each
 * heartbeat, which the case puts into the store under the engine's id, and "ran ..." for each request that it begins.
 * Arguments: key=value of host, port, id, service, zone, models (held at the start, separated by commas; absent for a
 * plain service), events, gapMs (between events), firstMs (before the first), framing (chunked or close).
 */
public final class EngineStandin {
    private static final Map<String, String> args = new HashMap<>();
    private static final Map<String, Set<String>> models = new ConcurrentHashMap<>();
    private static final Object lock = new Object();
    private static final long born = System.currentTimeMillis();
    private static int seqNo;
    private static boolean busy;
    private static int running;

    public static void main(String[] words) throws IOException {
        for (String w : words) args.put(w.substring(0, w.indexOf('=')), w.substring(w.indexOf('=') + 1));
        for (String m : args.getOrDefault("models", "").split(",")) if (!m.isEmpty()) models.put(m, ConcurrentHashMap.newKeySet());
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(args.get("host"), Integer.parseInt(args.get("port"))), 256);
        Thread beats = new Thread(() -> {
            while (true) {
                beat();
                pause(1_200);
            }
        });
        beats.setDaemon(true);
        beats.start();
        while (true) {
            Socket s = server.accept();
            s.setTcpNoDelay(true);
            new Thread(() -> serve(s)).start();
        }
    }

    private static synchronized void say(String line) {
        System.out.println(line);
        System.out.flush();
    }

    private static String modelList() {
        StringJoiner list = new StringJoiner(",", "[", "]");
        models.forEach((m, adapters) -> list.add("{\"name\":\"" + m + "\",\"version\":1,\"adapters\":[" + (adapters.isEmpty() ? "" : "\"" + String.join("\",\"", adapters) + "\"") + "]}"));
        return list.toString();
    }

    private static boolean isPlain() { return !args.containsKey("models"); }

    private static void beat() {
        synchronized (lock) {
            say("beat {\"service\":\"" + args.get("service") + "\",\"address\":\"" + args.get("host") + ":" + args.get("port") + "\",\"zone\":\"" + args.get("zone")
                + "\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"coldLeftMs\":0,\"born\":" + born + ",\"seqNo\":" + seqNo
                + (isPlain() ? "" : ",\"stage\":\"both\",\"models\":" + modelList()) + "}");
        }
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void answer(OutputStream out, int status, String body, String... headers) throws IOException {
        List<String> all = new ArrayList<>(List.of(headers));
        all.add("X-Daisybend-Instance-Id: " + args.get("id"));
        out.write(Http.encode("HTTP/1.1 " + status + " x", all, body.getBytes(StandardCharsets.UTF_8), true));
        out.flush();
    }

    private static void serve(Socket s) {
        try (s) {
            InputStream in = new BufferedInputStream(s.getInputStream());
            OutputStream out = s.getOutputStream();
            Http.Message m;
            while ((m = Http.request(in)) != null) {
                String expected = m.header("X-Daisybend-Expect-Instance");
                String id = m.header("X-Daisybend-Attempt-Id");
                if (expected != null && !expected.equals(args.get("id"))) {
                    answer(out, 421, "", id == null ? "Via: engine" : "X-Daisybend-Attempt-Id: " + id);
                } else if (m.target().equals("/healthz")) {
                    answer(out, 200, "");
                } else if (m.target().equals("/daisybend/report")) {
                    synchronized (lock) {
                        answer(out, 200, "{\"stage\":\"both\",\"born\":" + born + ",\"models\":" + modelList() + ",\"busy\":" + busy + ",\"seqNo\":" + seqNo + ",\"queued\":0,\"running\":" + running + ",\"kvUsed\":0,\"kvTotal\":232000,\"handles\":0}", "Content-Type: application/json");
                    }
                } else if (m.target().equals("/daisybend/order")) {
                    order(out, m.text());
                } else if (id == null) {
                    answer(out, 400, "", "X-Daisybend-Not-Executed: 1");
                } else if (!run(s, out, m, id)) {
                    return;
                }
            }
        } catch (IOException ended) {
            say("closed " + ended.getMessage());
        }
    }

    private static String field(String json, String name) {
        java.util.regex.Matcher f = java.util.regex.Pattern.compile("\"" + name + "\":\"?([^\",}]*)").matcher(json);
        return f.find() ? f.group(1) : null;
    }

    private static void order(OutputStream out, String body) throws IOException {
        String model = field(body, "model");
        String adapter = field(body, "adapter");
        boolean isLoad = "load".equals(field(body, "opcode"));
        int status;
        synchronized (lock) {
            boolean holds = adapter == null ? models.containsKey(model) : models.getOrDefault(model, Set.of()).contains(adapter);
            if (busy || (field(body, "expect") != null && Integer.parseInt(field(body, "expect")) != seqNo)) {
                status = 409;
            } else if (holds == isLoad) {
                status = 200;
            } else {
                status = 202;
                seqNo++;
                if (!isLoad && adapter == null) models.remove(model);
                if (!isLoad && adapter != null) models.get(model).remove(adapter);
                if (isLoad && adapter != null) models.getOrDefault(model, new HashSet<>()).add(adapter);
                if (isLoad && adapter == null) {
                    busy = true;
                    new Thread(() -> {
                        pause(840);
                        synchronized (lock) {
                            models.put(model, ConcurrentHashMap.newKeySet());
                            busy = false;
                        }
                        beat();
                    }).start();
                }
            }
            say("order " + status + " " + body);
        }
        answer(out, status, "");
    }

    /** Runs a request; returns whether the connection is kept. */
    private static boolean run(Socket s, OutputStream out, Http.Message m, String id) throws IOException {
        String model = m.header("X-Daisybend-Model");
        if (!isPlain() && model != null && !models.containsKey(model.split("/")[0])) {
            answer(out, 421, "", "X-Daisybend-Attempt-Id: " + id);
            return true;
        }
        say("ran " + id + " " + m.start + " body=" + m.body.length + " key=" + m.header("X-Api-Key") + " tenant=" + m.header("X-Daisybend-Tenant") + " last=" + m.header("Last-Event-Id") + " deadline=" + m.header("X-Daisybend-Deadline-Ms"));
        int events = Integer.parseInt(args.getOrDefault("events", "13"));
        int gapMs = Integer.parseInt(args.getOrDefault("gapMs", "200"));
        boolean isClose = "close".equals(args.get("framing"));
        synchronized (lock) { running++; }
        try {
            pause(Long.parseLong(args.getOrDefault("firstMs", "100")));
            List<String> headers = new ArrayList<>(List.of("X-Daisybend-Attempt-Id: " + id, "X-Daisybend-Response-Seal: s." + id, "X-Daisybend-Instance-Id: " + args.get("id")));
            headers.add("Content-Type: " + (model == null ? "text/plain" : "text/event-stream"));
            headers.add(isClose ? "Connection: close" : "Transfer-Encoding: chunked");
            out.write(Http.encode("HTTP/1.1 200 OK", headers, new byte[0], false));
            out.flush();
            int from = m.header("Last-Event-Id") == null ? 0 : Integer.parseInt(m.header("Last-Event-Id"));
            for (int e = from + 1; e <= events; e++) {
                if (e > from + 1) pause(gapMs);
                byte[] piece = ("id: " + e + "\ndata: piece " + e + " of " + events + " of " + id + "\n\n").getBytes(StandardCharsets.UTF_8);
                out.write(isClose ? piece : (Integer.toHexString(piece.length) + "\r\n" + new String(piece, StandardCharsets.UTF_8) + "\r\n").getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
            if (!isClose) {
                out.write("0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
                out.flush();
            }
            say("done " + id);
            return !isClose;
        } finally {
            synchronized (lock) { running--; }
        }
    }
}
