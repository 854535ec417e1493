import java.net.Socket;
import java.util.*;
import java.util.concurrent.atomic.AtomicInteger;

/** An engine crashes in the middle of streams that end with their connection. */
public final class CaseCrash {
    private static final int CRASHES = 12;
    private static final int STREAMS = 56;
    private static final int EVENTS = 73;

    /** Connections that other callers keep open to the engine, of the 370 that it accepts. */
    private static final int KEPT = 150;

    private final AtomicInteger complete = new AtomicInteger();
    private final AtomicInteger broken = new AtomicInteger();
    private final AtomicInteger truncated = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        Site.run(args[0], site -> new CaseCrash().play(site));
    }

    private boolean play(Site site) throws Exception {
        site.store.put("keyed.op", "config", CaseFrozen.CONFIG);
        List<Site.Engine> engines = new ArrayList<>();
        for (int i = 1; i <= 8; i++) {
            Site.Engine engine = site.new Engine("e-" + i, "127.0.0.2" + i, "llm", i == 1 ? "models=m1" : "models=", "framing=close", "events=" + EVENTS, "gapMs=20").start();
            engine.awaitListening(20_000);
            engines.add(engine);
        }
        Site.Vm vm = site.new Vm("vm-1", "127.0.0.11").start();
        vm.awaitReady(30_000);
        Thread.sleep(1_500);
        for (int round = 0; round < CRASHES; round++) {
            Site.Engine holder = awaitHolder(site, engines);
            List<Socket> kept = new ArrayList<>();
            for (int i = 0; i < KEPT; i++) kept.add(new Socket(holder.host, holder.port));
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < STREAMS; i++) {
                String id = "a" + (round * STREAMS + i);
                Thread client = new Thread(() -> stream(site, vm, id));
                client.start();
                clients.add(client);
                Thread.sleep(10);
            }
            Thread.sleep(400);
            if (Site.TROUBLE) {
                holder.kill();
                Thread.sleep(2_000);
                holder.start();
                holder.awaitListening(10_000);
            }
            for (Thread client : clients) client.join();
            for (Socket connection : kept) connection.close();
            Thread.sleep(500);
            // Another engine loads the model when it is asked for.
            if (Site.TROUBLE) stream(site, vm, "w" + round);
        }
        site.note("streams: " + complete + " complete, " + broken + " broken off or refused, " + truncated + " short of events but complete for the client");
        if (!Site.TROUBLE && broken.get() > 0) throw new Site.CannotRun("undisturbed streams were not served");
        return truncated.get() > 0;
    }

    private static Site.Engine awaitHolder(Site site, List<Site.Engine> engines) throws Exception {
        for (long end = site.nowMs() + 10_000; site.nowMs() < end; Thread.sleep(50)) {
            for (Site.Engine engine : engines) if (engine.holds("m1")) return engine;
        }
        throw new Site.CannotRun("no engine holds the model");
    }

    private void stream(Site site, Site.Vm vm, String id) {
        try (Socket s = vm.connect()) {
            s.setSoTimeout(20_000);
            s.getOutputStream().write(Http.encode("POST /vip/a HTTP/1.1", List.of("Host: site.example", "X-Daisybend-Attempt-Id: " + id, "X-Daisybend-Model: m1", "X-Daisybend-Token-Usage: 826,292",
                "X-Daisybend-Prompt-Prefix: 5c1e07a2:198,e4402b7d" + id.substring(1) + ":628", "X-Daisybend-Deadline-Ms: 15000", "X-Api-Key: k1"), "prompt".getBytes(), true));
            Http.Message m = Http.answer(s.getInputStream(), null);
            int events = m == null ? 0 : Site.eventsIn(m.body);
            boolean isSuccess = m != null && m.status() == 200 && m.complete;
            site.note("client " + id + ": " + (m == null ? "closed" : "status " + m.status() + ", " + events + " of " + EVENTS + " events, " + (m.complete ? "complete" : "broken off"))
                + (isSuccess && events < EVENTS ? ", SHORT" : ""));
            (!isSuccess ? broken : events < EVENTS ? truncated : complete).incrementAndGet();
        } catch (Exception failed) {
            broken.incrementAndGet();
            site.note("client " + id + ": " + failed);
        }
    }
}
