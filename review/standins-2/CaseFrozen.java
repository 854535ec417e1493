import java.net.Socket;
import java.util.List;

/** A machine stands still while an engine crashes in the middle of a stream that ends with its connection. */
public final class CaseFrozen {
    static final String CONFIG = "{\"version\":7,\"routes\":[{\"name\":\"r1\",\"host\":\"site.example\",\"pathPrefix\":\"/vip/\",\"routeType\":\"streaming\",\"timeoutMs\":15000,\"targetLatencyMs\":3000,\"priority\":1,\"service\":\"llm\",\"maxAttempts\":1,\"public\":false,\"sticky\":true,\"resumable\":false,\"gapAimMs\":250}],"
        + "\"services\":[{\"name\":\"llm\",\"healthCheck\":\"/healthz\",\"maxConns\":370,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,\"kvCapacity\":232000,\"weightsMb\":140000.0,\"adapterSlots\":8,\"hostMb\":140000.0,\"diskMb\":540000.0,\"loadsPerS\":2.8,"
        + "\"models\":[{\"name\":\"m1\",\"weightsMb\":34300.0,\"loadS\":6.0,\"adapters\":0,\"adapterMb\":40.0,\"warmS\":0.28,\"diskS\":0.4}]}}],"
        + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
        + "\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"k1\"],\"ratePerS\":0,\"burst\":0,\"unit\":\"token_stream\",\"plainTokens\":200}]}";

    public static void main(String[] args) throws Exception {
        Site.run(args[0], CaseFrozen::play);
    }

    private static boolean play(Site site) throws Exception {
        site.store.put("keyed.op", "config", CONFIG);
        Site.Engine engine = site.new Engine("e-1", "127.0.0.21", "llm", "models=m1", "framing=close", "events=13", "gapMs=200").start();
        engine.awaitListening(20_000);
        for (int i = 2; i <= 4; i++) {
            site.new Engine("e-" + i, "127.0.0.2" + i, "llm", "models=", "framing=close", "events=13", "gapMs=200").start().awaitListening(20_000);
        }
        Site.Vm vm = site.new Vm("vm-1", "127.0.0.11").start();
        vm.awaitReady(30_000);
        Thread.sleep(1_500);
        Thread trouble = new Thread(() -> {
            try {
                long end = site.nowMs() + 10_000;
                while (site.ran.isEmpty() && site.nowMs() < end) Thread.sleep(10);
                Thread.sleep(900);
                vm.freeze();
                Thread.sleep(300);
                engine.kill();
                Thread.sleep(1_600);
                engine.start();
                engine.awaitListening(5_000);
                Thread.sleep(500);
                vm.thaw();
            } catch (Exception e) {
                site.note("trouble: " + e);
            }
        });
        if (Site.TROUBLE) trouble.start();
        try (Socket s = vm.connect()) {
            s.setSoTimeout(20_000);
            s.getOutputStream().write(Http.encode("POST /vip/a HTTP/1.1", List.of("Host: site.example", "X-Daisybend-Attempt-Id: a1", "X-Daisybend-Model: m1", "X-Daisybend-Token-Usage: 9190,52",
                "X-Daisybend-Prompt-Prefix: 5c1e07a2:6300,e4402b7d:2890", "X-Daisybend-Deadline-Ms: 17000", "X-Api-Key: k1"), "prompt".getBytes(), true));
            site.note("client sends a1");
            int[] seen = {0};
            Http.Message m = Http.answer(s.getInputStream(), soFar -> {
                if (Site.eventsIn(soFar) != seen[0]) site.note("client has " + (seen[0] = Site.eventsIn(soFar)) + " events");
            });
            if (m == null) {
                site.note("client: connection closed without an answer");
                return false;
            }
            int events = Site.eventsIn(m.body);
            site.note("client: status " + m.status() + ", seal " + m.header("X-Daisybend-Response-Seal") + ", " + events + " of 13 events, answer " + (m.complete ? "complete" : "broken off"));
            if (trouble.isAlive()) trouble.join();
            if (!Site.TROUBLE && !(m.complete && events == 13)) throw new Site.CannotRun("the undisturbed stream was not served");
            return m.status() == 200 && m.complete && events < 13;
        }
    }
}
