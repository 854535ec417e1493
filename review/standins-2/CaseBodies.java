import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.util.*;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Two of three machines are lost while clients send long bodies; short requests follow when those have ended. */
public final class CaseBodies {
    /** The requests of all clients together, a second. */
    private static final int REQUESTS_PER_S = 21;
    private static final int BEFORE_MS = 4_000;
    private static final int AFTER_MS = 12_000;
    private static final int PAUSE_MS = 10_000;

    /** Below the `maxBodyBytes` of the configuration, 4,194,304. */
    private static final int BODY_BYTES = 4_000_000;
    private static final int PIECE_BYTES = 16_384;
    private static final byte[] PIECE = new byte[PIECE_BYTES];

    /** A usual request of the site. */
    private static final int SHORT_BYTES = 1_700;

    /** What the link of a machine carries, 1,000 Mbit/s, for all its clients together. */
    private static final long LINK_BYTES_PER_MS = 125_000;

    /** Deadline of the clients, and timeout of the route. */
    private static final int TIMEOUT_MS = 15_000;
    private static final int RULE_SLACK_MS = 500;
    private static final int SHORT_REQUESTS = 24;

    private final List<Machine> machines = new ArrayList<>();
    private final AtomicInteger sent = new AtomicInteger();
    private final Map<String, AtomicInteger> results = new ConcurrentHashMap<>();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private volatile boolean isOver;

    /** A VM with its link. */
    private static final class Machine {
        final Site.Vm vm;
        private long linkFreeAtNanos = System.nanoTime();
        volatile boolean isLost;

        Machine(Site.Vm vm) { this.vm = vm; }

        /** Waits until the link has carried what was sent before, and [bytes] more. */
        void awaitLink(int bytes) throws InterruptedException {
            long waitNanos;
            synchronized (this) {
                linkFreeAtNanos = Math.max(linkFreeAtNanos, System.nanoTime()) + bytes * 1_000_000L / LINK_BYTES_PER_MS;
                waitNanos = linkFreeAtNanos - System.nanoTime();
            }
            if (waitNanos > 0) Thread.sleep(waitNanos / 1_000_000L, (int) (waitNanos % 1_000_000L));
        }
    }

    public static void main(String[] args) throws Exception {
        Site.run(args[0], site -> new CaseBodies().play(site));
    }

    private boolean play(Site site) throws Exception {
        site.store.put("keyed.op", "config", CaseFrozen.CONFIG);
        for (int i = 1; i <= 6; i++) {
            site.new Engine("e-" + i, "127.0.0.2" + i, "llm", "models=m1", "events=13", "gapMs=20").start().awaitListening(20_000);
        }
        List<Integer> cores = Site.cores();
        for (int i = 1; i <= 3; i++) {
            Site.Vm vm = site.new Vm("vm-" + i, "127.0.0.1" + i);
            vm.core = cores.get(Math.max(0, cores.size() - i));
            machines.add(new Machine(vm));
            vm.start();
        }
        for (Machine m : machines) m.vm.awaitReady(30_000);
        Thread.sleep(2_000);
        Thread platform = new Thread(() -> restart(site));
        platform.setDaemon(true);
        platform.start();

        site.note(REQUESTS_PER_S + " requests a second with bodies of " + BODY_BYTES + " bytes");
        List<Thread> clients = new ArrayList<>();
        long startMs = site.nowMs();
        boolean isDone = !Site.TROUBLE;
        for (int n = 0; n * 1_000 < (BEFORE_MS + AFTER_MS) * REQUESTS_PER_S; n++) {
            long waitMs = startMs + n * 1_000L / REQUESTS_PER_S - site.nowMs();
            if (waitMs > 0) Thread.sleep(waitMs);
            if (!isDone && site.nowMs() - startMs >= BEFORE_MS) {
                isDone = true;
                for (Machine lost : machines.subList(1, 3)) {
                    lost.isLost = true;
                    lost.vm.kill();
                }
            }
            String id = "b" + n;
            Thread client = new Thread(() -> uploadWithRetry(id));
            client.start();
            clients.add(client);
        }
        for (Thread t : clients) t.join();
        site.note("the clients are gone; " + sent + " requests: " + new TreeMap<>(results));

        Thread.sleep(PAUSE_MS);
        site.note("short requests to vm-1");
        List<Thread> later = new ArrayList<>();
        for (int i = 0; i < SHORT_REQUESTS; i++) {
            String id = "q" + i;
            Thread t = new Thread(() -> ask(site, id));
            t.start();
            later.add(t);
            Thread.sleep(250);
        }
        for (Thread t : later) t.join();
        isOver = true;
        long outOfMemory;
        try (var lines = Files.lines(site.folder.resolve("vm-1.log"))) {
            outOfMemory = lines.filter(l -> l.contains("OutOfMemoryError")).count();
        }
        site.note("short requests: " + served + " of " + SHORT_REQUESTS + " served, " + unanswered + " without an answer " + RULE_SLACK_MS + " ms after the timeout of their route; the log of vm-1 has "
            + outOfMemory + " lines with OutOfMemoryError; its process " + (machines.get(0).vm.process.isAlive() ? "is there" : "has ended"));
        if (!Site.TROUBLE && served.get() < SHORT_REQUESTS) throw new Site.CannotRun("undisturbed requests were not served");
        return unanswered.get() >= 8 && unanswered.get() * 4 > SHORT_REQUESTS;
    }

    /** The platform starts a process again that exits. */
    private void restart(Site site) {
        Site.Vm vm = machines.get(0).vm;
        while (!isOver) {
            try {
                Thread.sleep(500);
                if (vm.process.isAlive() || isOver) continue;
                site.note("VM vm-1 has ended by itself with code " + vm.process.exitValue());
                vm.start();
            } catch (IOException | InterruptedException failed) {
                return;
            }
        }
    }

    private static byte[] head(String id, int bodyBytes) {
        return Http.encode("POST /vip/a HTTP/1.1", List.of("Host: site.example", "X-Daisybend-Attempt-Id: " + id, "X-Daisybend-Model: m1", "X-Daisybend-Token-Usage: 826,292",
            "X-Daisybend-Deadline-Ms: " + TIMEOUT_MS, "X-Api-Key: k1", "Content-Length: " + bodyBytes), new byte[0], false);
    }

    /** Sends the request to a machine that is there, and once more after a refusal, as the clients of the site do. */
    private void uploadWithRetry(String id) {
        try {
            Long retryAfterMs = upload(id);
            if (retryAfterMs == null) return;
            Thread.sleep(retryAfterMs);
            upload(id + "r");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns after how long the request may come again, or null. */
    private Long upload(String id) throws InterruptedException {
        List<Machine> there = machines.stream().filter(m -> !m.isLost).toList();
        Machine machine = there.get(ThreadLocalRandom.current().nextInt(there.size()));
        String result;
        Long retryAfterMs = null;
        sent.incrementAndGet();
        try (Socket s = machine.vm.connect()) {
            s.setSoTimeout(TIMEOUT_MS);
            try {
                s.getOutputStream().write(head(id, BODY_BYTES));
                for (int left = BODY_BYTES; left > 0; left -= PIECE_BYTES) {
                    int n = Math.min(PIECE_BYTES, left);
                    machine.awaitLink(n);
                    s.getOutputStream().write(PIECE, 0, n);
                }
            } catch (IOException closedEarly) {
                // There may be an answer all the same.
            }
            Http.Message m = Http.answer(s.getInputStream(), null);
            result = m == null ? "closed" : m.complete ? "status " + m.status() : "broken off";
            String retryAfter = m == null ? null : m.header("Retry-After");
            if (retryAfter != null) retryAfterMs = (long) (Double.parseDouble(retryAfter) * 1_000);
        } catch (IOException failed) {
            result = String.valueOf(failed.getMessage());
        }
        results.computeIfAbsent(result, r -> new AtomicInteger()).incrementAndGet();
        return retryAfterMs;
    }

    /** Sends a short request over a connection of its own; a connection that does not open is not counted. */
    private void ask(Site site, String id) {
        String result;
        try (Socket s = machines.get(0).vm.connect()) {
            s.setSoTimeout(TIMEOUT_MS + RULE_SLACK_MS);
            s.getOutputStream().write(head(id, SHORT_BYTES));
            s.getOutputStream().write(PIECE, 0, SHORT_BYTES);
            try {
                Http.Message m = Http.answer(s.getInputStream(), null);
                result = m == null ? "closed" : "status " + m.status() + (m.complete ? "" : ", broken off");
                if (m != null && m.status() == 200 && m.complete) served.incrementAndGet();
            } catch (SocketTimeoutException silent) {
                result = "no answer";
                unanswered.incrementAndGet();
            }
        } catch (IOException failed) {
            result = failed.toString();
        }
        site.note("request " + id + ": " + result);
    }
}
