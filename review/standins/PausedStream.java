import java.io.*;
import java.util.*;
import java.util.concurrent.atomic.*;

/** During a planned stop of a VM, an engine preempts a stream for a while, and the other engine is full. */
final class PausedStream {
    static final long PAUSE_MS = 3_500;

    public static void main(String[] args) throws Exception { Rig.main(args, PausedStream::run); }

    static int run(Rig rig) throws Exception {
        Rig.Engine one = rig.new Engine("e-1", "llm", Set.of("m1")), two = rig.new Engine("e-2", "llm", Set.of("m1"));
        AtomicReference<String> watched = new AtomicReference<>();
        AtomicReference<Rig.Engine> runner = new AtomicReference<>();
        for (Rig.Engine engine : List.of(one, two)) {
            engine.handler = (m, in, out, s) -> {
                if (!m.header("X-Daisybend-Attempt-Id").equals(watched.get())) { engine.stream(m, in, out, s); return; }
                if (!runner.compareAndSet(null, engine) && runner.get() != engine) {
                    rig.note("engine " + engine.id + " is full: 503, not executed, Last-Event-Id " + m.header("Last-Event-Id"));
                    Rig.respond(out, 503, "X-Daisybend-Attempt-Id: " + watched.get() + "\r\nX-Daisybend-Not-Executed: 1\r\n",
                        new byte[0]);
                    return;
                }
                out.write(("HTTP/1.1 200 OK\r\n" + engine.own(m) + "Content-Type: text/event-stream\r\n"
                    + "Transfer-Encoding: chunked\r\n\r\n").getBytes());
                String last = m.header("Last-Event-Id");
                for (int i = last == null ? 1 : Integer.parseInt(last) + 1; i <= 13; i++) {
                    if (i == 6 && Rig.hasTrouble() && last == null) {
                        rig.note("engine " + engine.id + " preempts the stream for " + PAUSE_MS + " ms");
                        s.setSoTimeout((int) PAUSE_MS);
                        int next = 0;
                        try { next = in.read(); } catch (java.net.SocketTimeoutException stillOpen) { /* the VM waits */ }
                        if (next < 0) { rig.note("engine " + engine.id + ": the VM closed the connection"); throw new EOFException(); }
                        s.setSoTimeout(0);
                        rig.note("engine " + engine.id + " goes on with the stream");
                    }
                    Rig.sleep(20);
                    Rig.chunk(out, "id: " + i + "\ndata: " + i + "\n\n");
                }
                out.write("0\r\n\r\n".getBytes());
                out.flush();
            };
        }
        rig.configure(1, Rig.route("review", "streaming", "llm", 15000, 2500, true), Rig.modelService("llm", 1),
            Rig.tenant("red", "k1"));
        Rig.Vm stopped = rig.new Vm("vm-1"), other = rig.new Vm("vm-2");
        stopped.start();
        other.start();
        if (!Rig.await(20_000, () -> stopped.isReady() && other.isReady())) return 2;
        // The platform is calm for longer than stableMs.
        Rig.sleep(6_000);
        Rig.Call first = ask(rig, stopped);
        first.join();
        if (!first.outcome.equals("answered")) return 2;
        Rig.sleep(500);
        long stopAtMs = rig.nowMs();
        stopped.signal("TERM");
        Rig.sleep(300);
        String id = String.format("%016x", new Random().nextLong());
        watched.set(id);
        Rig.Call call = rig.send(id, stopped.front, null, "POST", "/review/1", HEADERS, "prompt".getBytes(), 15_000);
        call.join();
        long endedMs = call.endedAtMs - stopAtMs;
        if (runner.get() == null) return 2;
        boolean isLost = !call.outcome.equals("answered") && !call.outcome.equals("timed out") && endedMs < 6_600;
        rig.note((isLost ? "LOST " : "kept ") + call.id + ": " + call.outcome + ", ended " + endedMs
            + " ms after the stop began and " + (call.endedAtMs - call.sentAtMs) + " ms after it was sent");
        stopped.recordLog("\"stopping\"", "\"stopped\"", "\"request\"", "send-failed");
        return isLost ? 1 : 0;
    }

    static final String HEADERS = "X-Daisybend-Model: m1\r\nX-Daisybend-Token-Usage: 9190,52\r\n"
        + "X-Daisybend-Prompt-Prefix: a1:2520,b1:3780,c1:2890\r\n";

    static Rig.Call ask(Rig rig, Rig.Vm vm) {
        return rig.send(vm.front, null, "POST", "/review/1", HEADERS, "prompt".getBytes(), 15_000);
    }
}
