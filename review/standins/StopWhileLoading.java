import java.util.*;

/** A VM is stopped as planned while callers wait on it for a model that is being loaded. */
final class StopWhileLoading {
    public static void main(String[] args) throws Exception { Rig.main(args, StopWhileLoading::run); }

    static int run(Rig rig) throws Exception {
        Rig.Engine engine = rig.new Engine("e-1", "llm", Set.of("m1"));
        rig.new Engine("d-1", "desk", null);
        rig.configure(1, Rig.route("review", "streaming", "llm", 15000, 2500, true) + ","
            + Rig.route("check", "safe", "desk", 1500, 193, false),
            Rig.modelService("llm", 12) + "," + Rig.plainService("desk"), Rig.tenant("red", "k1"));
        Rig.Vm stopped = rig.new Vm("vm-1"), other = rig.new Vm("vm-2");
        stopped.start();
        other.start();
        if (!Rig.await(20_000, () -> stopped.isReady() && other.isReady())) return 2;
        // The order duty is taken, and the platform is calm for longer than stableMs.
        Rig.sleep(8_000);
        Rig.Call first = rig.send(stopped.front, null, "GET", "/check/1", "", new byte[0], 1_500);
        first.join();
        if (!first.outcome.equals("answered")) return 2;
        // A caller's cached address is good for ttlS after the stop began.
        rig.note("directory: " + Rig.get(stopped.directory, "/daisybend/resolve?name=site.example&region=home&zone=north").text());
        long stopAtMs = rig.nowMs();
        if (Rig.hasTrouble()) stopped.signal("TERM");
        List<Rig.Call> calls = new ArrayList<>();
        for (int delayMs : new int[] {1000, 1400, 1700}) {
            Rig.sleep(stopAtMs + delayMs - rig.nowMs());
            calls.add(ask(rig, stopped, cold(engine, calls.size())));
        }
        for (Rig.Call call : calls) call.join();
        boolean isBroken = false;
        for (Rig.Call call : calls) {
            long heldMs = call.endedAtMs - call.sentAtMs;
            boolean isLost = call.sentAtMs >= 0 && !call.outcome.equals("answered") && !call.outcome.equals("timed out")
                && heldMs > 200 && !engine.got.contains(call.id) && call.endedAtMs - stopAtMs <= 9_000;
            rig.note((isLost ? "LOST " : "kept ") + call.id + " sent " + (call.sentAtMs - stopAtMs)
                + " ms after the stop began, ended after " + heldMs + " ms: " + call.outcome);
            isBroken |= isLost;
        }
        stopped.recordLog("\"stopping\"", "\"stopped\"", "\"request\"");
        return isBroken ? 1 : 0;
    }

    static Rig.Call ask(Rig rig, Rig.Vm vm, String model) {
        return rig.send(vm.front, null, "POST", "/review/1", "X-Daisybend-Model: " + model
            + "\r\nX-Daisybend-Token-Usage: 9190,52\r\nX-Daisybend-Prompt-Prefix: a1:2520,b" + model + ":3780,c1:2890\r\n",
            "prompt".getBytes(), 15_000);
    }

    /** Returns the model without a copy on the engine that is the [n]th from the end of the list. */
    static String cold(Rig.Engine engine, int n) {
        synchronized (engine) {
            for (int i = 12 - n; i > 1; i--) if (!engine.onDisk.contains("m" + i)) return "m" + i;
        }
        throw new IllegalStateException("no cold model is left");
    }
}
