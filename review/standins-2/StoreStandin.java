import java.io.*;
import java.net.*;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.*;

/** The platform's store: logs with conditional appends, long reads and the newest record of each key. */
final class StoreStandin {
    private final Map<String, List<byte[]>> logs = new HashMap<>();
    private final ServerSocket server;
    /** While true, calls get no answer. */
    volatile boolean silent;

    StoreStandin() throws IOException {
        server = new ServerSocket();
        server.bind(new InetSocketAddress("127.0.0.1", 0), 256);
        Thread t = new Thread(() -> {
            while (true) {
                try {
                    Socket s = server.accept();
                    s.setTcpNoDelay(true);
                    Thread c = new Thread(() -> serve(s));
                    c.setDaemon(true);
                    c.start();
                } catch (IOException e) {
                    return;
                }
            }
        });
        t.setDaemon(true);
        t.start();
    }

    int port() { return server.getLocalPort(); }

    synchronized void put(String topic, String key, String value) {
        byte[] k = key.getBytes(StandardCharsets.UTF_8);
        byte[] v = value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8);
        log(topic).add(ByteBuffer.allocate(1 + k.length + v.length).put((byte) k.length).put(k).put(v).array());
        notifyAll();
    }

    private List<byte[]> log(String topic) { return logs.computeIfAbsent(topic, t -> new ArrayList<>()); }

    private void serve(Socket s) {
        try (s) {
            InputStream in = new BufferedInputStream(s.getInputStream());
            OutputStream out = s.getOutputStream();
            Http.Message m;
            while ((m = Http.request(in)) != null) {
                Map<String, String> q = new HashMap<>();
                String[] target = m.target().split("\\?", 2);
                if (target.length > 1) for (String p : target[1].split("&")) q.put(p.split("=")[0], p.substring(p.indexOf('=') + 1));
                byte[] answer = handle(target[0], q, m.body);
                while (silent) Thread.sleep(20);
                out.write(answer);
                out.flush();
            }
        } catch (IOException | InterruptedException ended) {
            // The caller has closed the connection.
        }
    }

    private static byte[] json(int status, String body) {
        return Http.encode("HTTP/1.1 " + status + " x", List.of("Content-Type: application/json"), body.getBytes(StandardCharsets.UTF_8), true);
    }

    private synchronized byte[] handle(String path, Map<String, String> q, byte[] body) throws InterruptedException {
        String topic = q.get("topic");
        List<byte[]> log = log(topic);
        switch (path) {
            case "/daisybend/log-append": {
                if (topic.equals("keyed.op") || topic.equals("keyed.servers")) return json(403, "{}");
                if (q.containsKey("at") && Long.parseLong(q.get("at")) != log.size()) return json(412, "{\"end\":" + log.size() + "}");
                int first = log.size();
                ByteBuffer b = ByteBuffer.wrap(body);
                while (b.remaining() >= 4) {
                    byte[] record = new byte[b.getInt()];
                    b.get(record);
                    log.add(record);
                }
                notifyAll();
                return json(200, "{\"offset\":" + first + ",\"end\":" + log.size() + "}");
            }
            case "/daisybend/log-read": {
                int from = Integer.parseInt(q.get("from"));
                long end = System.nanoTime() + Long.parseLong(q.getOrDefault("waitMs", "0")) * 1_000_000L;
                while (log.size() <= from) {
                    long left = (end - System.nanoTime()) / 1_000_000L;
                    if (left <= 0) break;
                    wait(left);
                }
                ByteArrayOutputStream out = new ByteArrayOutputStream();
                out.writeBytes(ByteBuffer.allocate(16).putLong(log.size()).putLong(0).array());
                for (int i = from; i < log.size(); i++) {
                    out.writeBytes(ByteBuffer.allocate(4).putInt(log.get(i).length).array());
                    out.writeBytes(log.get(i));
                }
                return Http.encode("HTTP/1.1 200 OK", List.of("Content-Type: application/octet-stream"), out.toByteArray(), true);
            }
            case "/daisybend/log-newest": {
                Map<String, String> newest = new LinkedHashMap<>();
                for (int i = 0; i < log.size(); i++) {
                    byte[] r = log.get(i);
                    String key = new String(r, 1, r[0] & 0xff, StandardCharsets.UTF_8);
                    byte[] value = Arrays.copyOfRange(r, 1 + (r[0] & 0xff), r.length);
                    newest.remove(key);
                    if (value.length > 0) newest.put(key, "{\"key\":\"" + key + "\",\"value\":\"" + Base64.getEncoder().encodeToString(value) + "\",\"offset\":" + i + "}");
                }
                return json(200, "{\"items\":[" + String.join(",", newest.values()) + "],\"more\":false,\"end\":" + log.size() + "}");
            }
            default:
                return json(404, "{}");
        }
    }
}
