import java.net.Socket;
import java.util.*;
import java.util.concurrent.*;
import java.util.concurrent.atomic.AtomicInteger;

/** Machines have been replaced over time; then all processes are killed and start again. */
public final class CaseReplaced {
    private static final String CONFIG = "{\"version\":7,\"routes\":[{\"name\":\"r1\",\"host\":\"site.example\",\"pathPrefix\":\"/batch/\",\"routeType\":\"streaming\",\"timeoutMs\":5000,\"targetLatencyMs\":800,\"priority\":1,\"service\":\"llm\",\"maxAttempts\":1,\"public\":false,\"sticky\":true,\"resumable\":false,\"gapAimMs\":250}],"
        + "\"services\":[{\"name\":\"llm\",\"healthCheck\":\"/healthz\",\"maxConns\":370,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,\"kvCapacity\":232000,\"weightsMb\":140000.0,\"adapterSlots\":8,\"hostMb\":140000.0,\"diskMb\":540000.0,\"loadsPerS\":2.8,"
        + "\"models\":[{\"name\":\"m1\",\"weightsMb\":34300.0,\"loadS\":6.0,\"adapters\":0,\"adapterMb\":40.0,\"warmS\":0.28,\"diskS\":0.4}]}}],"
        + "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
        + "\"tenants\":[{\"name\":\"t1\",\"apiKeys\":[\"k1\"],\"ratePerS\":57179,\"burst\":68878,\"unit\":\"token_stream\",\"plainTokens\":200}]}";
    private static final int MACHINES = 3;
    private static final int REPLACEMENTS_OF_EACH = 9;
    /** Tokens of a request; one each 291 ms is 1/1.8 of the tenant's rate. */
    private static final int TOKENS = 9_242;
    private static final int INTERVAL_MS = 291;

    private record Sent(long atMs, int status) {}

    public static void main(String[] args) throws Exception {
        Site.run(args[0], CaseReplaced::play);
    }

    private static boolean play(Site site) throws Exception {
        site.store.put("keyed.op", "config", CONFIG);
        for (int i = 1; i <= 4; i++) {
            site.new Engine("e-" + i, "127.0.0.2" + i, "llm", "models=m1", "events=13", "gapMs=20").start().awaitListening(20_000);
        }
        int[] machines = {0};
        List<Site.Vm> vms = new ArrayList<>();
        for (int i = 0; i < MACHINES; i++) vms.add(newVm(site, machines));
        for (Site.Vm vm : vms) vm.awaitReady(30_000);
        for (int round = 0; Site.TROUBLE && round < REPLACEMENTS_OF_EACH; round++) {
            List<Site.Vm> old = new ArrayList<>(vms);
            vms.clear();
            for (int i = 0; i < MACHINES; i++) vms.add(newVm(site, machines));
            for (Site.Vm vm : vms) vm.awaitReady(30_000);
            for (Site.Vm vm : old) vm.stop();
        }
        site.note("now the machines stay for 33 s");
        Thread.sleep(33_000);
        List<Sent> sent = Collections.synchronizedList(new ArrayList<>());
        ExecutorService clients = Executors.newCachedThreadPool(r -> {
            Thread t = new Thread(r);
            t.setDaemon(true);
            return t;
        });
        ScheduledExecutorService clock = Executors.newSingleThreadScheduledExecutor();
        AtomicInteger number = new AtomicInteger();
        long trafficAt = site.nowMs();
        clock.scheduleAtFixedRate(() -> clients.submit(() -> request(site, vms.get(ThreadLocalRandom.current().nextInt(MACHINES)), "a" + number.incrementAndGet(), sent)), 0, INTERVAL_MS, TimeUnit.MILLISECONDS);
        Thread.sleep(8_000);
        long faultAt = site.nowMs();
        for (Site.Vm vm : vms) vm.process.destroyForcibly();
        for (Site.Vm vm : vms) vm.kill();
        Thread.sleep(900);
        for (Site.Vm vm : vms) vm.start();
        for (Site.Vm vm : vms) vm.awaitReady(30_000);
        long backAt = site.nowMs();
        Thread.sleep(28_000);
        clock.shutdownNow();
        clients.shutdown();
        clients.awaitTermination(6, TimeUnit.SECONDS);
        double before = share(site, sent, trafficAt, faultAt - 1_500, "before the fault");
        share(site, sent, backAt, backAt + 12_000, "in the first 12 s after the machines are back");
        double after = share(site, sent, backAt + 12_000, backAt + 27_500, "sent later than recoverS (12 s) after the machines are back");
        if (before < 0.25) throw new Site.CannotRun("too little was served before the fault");
        return after < 0.25;
    }

    private static Site.Vm newVm(Site site, int[] machines) throws Exception {
        machines[0]++;
        return site.new Vm("front-" + machines[0], "127.0.1." + machines[0]).start();
    }

    private static void request(Site site, Site.Vm vm, String id, List<Sent> sent) {
        long atMs = site.nowMs();
        int status = 0;
        String retryAfter = null;
        try (Socket s = vm.connect()) {
            s.setSoTimeout(6_000);
            s.getOutputStream().write(Http.encode("POST /batch/a HTTP/1.1", List.of("Host: site.example", "X-Daisybend-Attempt-Id: " + id, "X-Daisybend-Model: m1", "X-Daisybend-Token-Usage: " + (TOKENS - 52) + ",52",
                "X-Daisybend-Prompt-Prefix: 5c1e07a2:6300,e4402b7d:2890", "X-Daisybend-Deadline-Ms: 5000", "X-Api-Key: k1"), "prompt".getBytes(), true));
            Http.Message m = Http.answer(s.getInputStream(), null);
            if (m != null && m.complete) {
                status = m.status();
                retryAfter = m.header("Retry-After");
            }
        } catch (Exception failed) {
            // Status 0 stands for no answer.
        }
        sent.add(new Sent(atMs, status));
        site.note("client " + id + " at " + vm.name + ": " + status + (retryAfter == null ? "" : ", again in " + retryAfter + " s"));
    }

    private static double share(Site site, List<Sent> sent, long fromMs, long toMs, String when) {
        int all = 0;
        int served = 0;
        synchronized (sent) {
            for (Sent s : sent) {
                if (s.atMs < fromMs || s.atMs >= toMs) continue;
                all++;
                if (s.status == 200) served++;
            }
        }
        site.note("requests " + when + ": " + served + " of " + all + " served");
        return all == 0 ? 0 : served / (double) all;
    }
}
