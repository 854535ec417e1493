import java.io.*;
import java.net.*;
import java.nio.charset.StandardCharsets;
import java.util.*;

/** A little HTTP/1.1: heads and bodies of requests and answers over a socket. */
final class Http {
    static final class Message {
        String start;
        final List<String[]> headers = new ArrayList<>();
        byte[] body = new byte[0];
        /** Whether the body ended as its framing says. */
        boolean complete;

        String header(String name) {
            for (String[] h : headers) if (h[0].equalsIgnoreCase(name)) return h[1];
            return null;
        }

        String method() { return start.split(" ")[0]; }

        String target() { return start.split(" ")[1]; }

        int status() { return Integer.parseInt(start.split(" ")[1]); }

        String text() { return new String(body, StandardCharsets.UTF_8); }
    }

    /** Called with the bytes of an answer's body that have arrived so far. */
    interface Progress { void on(byte[] soFar) throws IOException; }

    private Http() {}

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int b;
        while ((b = in.read()) >= 0) {
            if (b == '\n') {
                String s = out.toString(StandardCharsets.ISO_8859_1);
                return s.endsWith("\r") ? s.substring(0, s.length() - 1) : s;
            }
            out.write(b);
        }
        return null;
    }

    /** Reads a head; returns null at the end of the connection. */
    static Message head(InputStream in) throws IOException {
        String first = line(in);
        if (first == null || first.isEmpty()) return null;
        Message m = new Message();
        m.start = first;
        String l;
        while ((l = line(in)) != null && !l.isEmpty()) {
            int colon = l.indexOf(':');
            m.headers.add(new String[] {l.substring(0, colon).trim(), l.substring(colon + 1).trim()});
        }
        if (l == null) throw new EOFException("within a head");
        return m;
    }

    /** Reads a request with its body; returns null at the end of the connection. */
    static Message request(InputStream in) throws IOException {
        Message m = head(in);
        if (m == null) return null;
        String length = m.header("Content-Length");
        if (length != null) m.body = in.readNBytes(Integer.parseInt(length));
        m.complete = true;
        return m;
    }

    /** Reads an answer; the end of the connection within the body leaves it incomplete. */
    static Message answer(InputStream in, Progress progress) throws IOException {
        Message m = head(in);
        if (m == null) return null;
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            String length = m.header("Content-Length");
            if ("chunked".equalsIgnoreCase(m.header("Transfer-Encoding"))) {
                while (true) {
                    String size = line(in);
                    if (size == null) break;
                    int n = Integer.parseInt(size.split(";")[0].trim(), 16);
                    if (n == 0) {
                        line(in);
                        m.complete = true;
                        break;
                    }
                    byte[] piece = in.readNBytes(n);
                    body.write(piece);
                    if (piece.length < n || line(in) == null) break;
                    if (progress != null) progress.on(body.toByteArray());
                }
            } else if (length != null) {
                int n = Integer.parseInt(length);
                body.write(in.readNBytes(n));
                m.complete = body.size() == n;
            } else {
                body.write(in.readAllBytes());
                m.complete = true;
            }
        } catch (IOException broken) {
            m.complete = false;
        }
        m.body = body.toByteArray();
        return m;
    }

    static byte[] encode(String start, List<String> headers, byte[] body, boolean withLength) {
        StringBuilder s = new StringBuilder(start).append("\r\n");
        for (String h : headers) s.append(h).append("\r\n");
        if (withLength) s.append("Content-Length: ").append(body.length).append("\r\n");
        s.append("\r\n");
        byte[] head = s.toString().getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = Arrays.copyOf(head, head.length + body.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }

    static int freePort(String host) throws IOException {
        try (ServerSocket s = new ServerSocket()) {
            s.bind(new InetSocketAddress(host, 0));
            return s.getLocalPort();
        }
    }
}
