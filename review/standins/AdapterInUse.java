import java.util.*;

/** A VM freezes while an engine runs its stream with an adapter; another VM needs places for further adapters. */
final class AdapterInUse {
    public static void main(String[] args) throws Exception { Rig.main(args, AdapterInUse::run); }

    static int run(Rig rig) throws Exception {
        Rig.Engine engine = rig.new Engine("e-1", "llm", Set.of("m1"));
        engine.handler = (m, in, out, s) -> {
            boolean isLong = m.target().startsWith("/letter/long");
            out.write(("HTTP/1.1 200 OK\r\n" + engine.own(m) + "Content-Type: text/event-stream\r\n"
                + "Transfer-Encoding: chunked\r\n\r\n").getBytes());
            for (int i = 1; i <= (isLong ? 73 : 5); i++) {
                Rig.sleep(isLong ? 150 : 20);
                Rig.chunk(out, "id: " + i + "\ndata: " + i + "\n\n");
            }
            out.write("0\r\n\r\n".getBytes());
            out.flush();
        };
        rig.configure(1, Rig.route("letter", "streaming", "llm", 15000, 400, false), Rig.modelService("llm", 1, 31),
            Rig.tenant("red", "k1"));
        Rig.Vm holder = rig.new Vm("vm-1"), frozen = rig.new Vm("vm-2");
        holder.start();
        if (!Rig.await(20_000, holder::isReady)) return 2;
        // The first VM takes the order duty before the second one starts.
        Rig.sleep(3_000);
        Rig.Call warm = ask(rig, holder, "short", "a1", 15_000);
        warm.join();
        if (!warm.outcome.equals("answered") || warm.status != 200) return 2;
        frozen.start();
        if (!Rig.await(20_000, frozen::isReady)) return 2;
        Rig.sleep(5_000);
        Rig.Call longOne = ask(rig, frozen, "long", "a1", 15_000);
        if (!Rig.await(3_000, () -> engine.got.contains(longOne.id))) return 2;
        Rig.sleep(1_000);
        for (int i = 2; i <= 8; i++) {
            Rig.Call call = ask(rig, holder, "short", "a" + i, 15_000);
            call.join();
            if (!call.outcome.equals("answered") || call.status != 200) return 2;
        }
        synchronized (engine) { if (engine.adapterPlaces.size() != 8 || engine.overload != null) return 2; }
        if (Rig.hasTrouble()) frozen.signal("STOP");
        Rig.sleep(2_000);
        Rig.Call ninth = ask(rig, holder, "short", "a9", 15_000);
        ninth.join();
        rig.note("the run with a1 " + (engine.done.contains(longOne.id) ? "has ended" : "goes on"));
        if (Rig.hasTrouble()) frozen.signal("CONT");
        longOne.join();
        rig.note(engine.overload == null ? "kept" : "LIMIT " + engine.overload);
        holder.recordLog("order-sent", "order-answered");
        return engine.overload == null ? 0 : 1;
    }

    static Rig.Call ask(Rig rig, Rig.Vm vm, String kind, String adapter, long waitMs) {
        return rig.send(vm.front, null, "POST", "/letter/" + kind, "X-Daisybend-Model: m1/" + adapter
            + "\r\nX-Daisybend-Token-Usage: 826,292\r\nX-Daisybend-Prompt-Prefix: a1:119,b1:79,c" + adapter + ":628\r\n",
            "prompt".getBytes(), waitMs);
    }
}
