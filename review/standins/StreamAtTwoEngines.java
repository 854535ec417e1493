import java.util.*;
import java.util.concurrent.atomic.*;

/** An engine that finishes its requests even if their connections close preempts a stream for a while. */
final class StreamAtTwoEngines {
    /** Time for which the preempted stream waits, and time that the engine then needs to read its prompt anew. */
    static final long WAIT_MS = 1_000, READ_MS = 400;
    /** Time between events after that, so that the engine works on the stream for another second. */
    static final long STEP_MS = 125;

    public static void main(String[] args) throws Exception { Rig.main(args, StreamAtTwoEngines::run); }

    static int run(Rig rig) throws Exception {
        Rig.Engine one = rig.new Engine("e-1", "llm", Set.of("m1")), two = rig.new Engine("e-2", "llm", Set.of("m1"));
        AtomicReference<String> watched = new AtomicReference<>();
        AtomicReference<Rig.Engine> first = new AtomicReference<>();
        AtomicLong secondBeganAtMs = new AtomicLong(-1), firstEndedAtMs = new AtomicLong(-1);
        for (Rig.Engine engine : List.of(one, two)) {
            engine.handler = (m, in, out, s) -> {
                if (!m.header("X-Daisybend-Attempt-Id").equals(watched.get())) { engine.stream(m, in, out, s); return; }
                if (!first.compareAndSet(null, engine)) {
                    secondBeganAtMs.compareAndSet(-1, rig.nowMs());
                    rig.note("engine " + engine.id + " goes on with the stream after " + m.header("Last-Event-Id"));
                    engine.stream(m, in, out, s);
                    return;
                }
                out.write(("HTTP/1.1 200 OK\r\n" + engine.own(m) + "Content-Type: text/event-stream\r\n"
                    + "Transfer-Encoding: chunked\r\n\r\n").getBytes());
                for (int i = 1; i <= 13; i++) {
                    if (i == 6 && Rig.hasTrouble()) {
                        rig.note("engine " + engine.id + " preempts the stream");
                        Rig.sleep(WAIT_MS);
                        rig.note("engine " + engine.id + " reads the prompt of the stream anew");
                        Rig.sleep(READ_MS);
                    }
                    Rig.sleep(STEP_MS);
                    rig.note("engine " + engine.id + " has generated event " + i);
                    try { Rig.chunk(out, "id: " + i + "\ndata: " + i + "\n\n"); } catch (java.io.IOException closed) {
                        // It drops no request whose connection has closed.
                    }
                }
                firstEndedAtMs.set(rig.nowMs());
                out.write("0\r\n\r\n".getBytes());
                out.flush();
            };
        }
        rig.configure(1, Rig.route("review", "streaming", "llm", 15000, 2500, true), Rig.modelService("llm", 1),
            Rig.tenant("red", "k1"));
        Rig.Vm vm = rig.new Vm("vm-1"), other = rig.new Vm("vm-2");
        vm.start();
        other.start();
        if (!Rig.await(20_000, () -> vm.isReady() && other.isReady())) return 2;
        // The platform is calm for longer than stableMs.
        Rig.sleep(6_000);
        String id = String.format("%016x", new Random().nextLong());
        watched.set(id);
        Rig.Call call = rig.send(id, vm.front, null, "POST", "/review/1", PausedStream.HEADERS, "prompt".getBytes(), 15_000);
        call.join();
        if (first.get() == null || !Rig.await(5_000, () -> firstEndedAtMs.get() >= 0)) return 2;
        long second = secondBeganAtMs.get(), end = firstEndedAtMs.get();
        boolean isTwice = second >= 0 && end - second > 400;
        rig.note((isTwice ? "TWICE " : "kept ") + id + ": " + call.outcome + (second < 0 ? ", ran at one engine"
            : ", the engine before worked on it until " + (end - second) + " ms after the next one had begun"));
        vm.recordLog("\"request\"", "send-failed");
        return isTwice ? 1 : 0;
    }
}
