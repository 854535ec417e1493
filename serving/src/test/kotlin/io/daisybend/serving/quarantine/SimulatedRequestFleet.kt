package io.daisybend.serving.quarantine

import io.daisybend.serving.endpoint.Incarnation
import kotlin.random.Random

/** The size, the demand and the failures of a simulated fleet of engines of a plain service. */
internal data class RequestFleetSettings(
    val vmCount: Int = 9,
    val engineCount: Int = 3,
    val requestsPerSecond: Double = 8.0,
    /** Share of the sound requests that come again all the time with the same caller, path and body. */
    val recurringShare: Double = 0.2,
    /** Time between arrivals of the crashing request, in milliseconds. */
    val crashingEveryMs: Int = Int.MAX_VALUE,
    val reportIntervalMs: Long = 250,
    val earlyPauseMs: Long = 10,
    val lossPercent: Int = 2,
    /** Mean time between ends of all engines of a rack at once, a third of all, in milliseconds. */
    val rackEndsEveryMs: Int = Int.MAX_VALUE,
    /** Mean time between engines that end for another reason, in milliseconds. */
    val otherEndsEveryMs: Int = Int.MAX_VALUE,
    val restartsEveryMs: Int = Int.MAX_VALUE,
    val cutsEveryMs: Int = Int.MAX_VALUE,
    val isNaive: Boolean = false,
)

/**
 * Simulates VMs that send plain requests to engines. An engine ends while it runs the crashing request, with all others
 * that it runs, before any response head. VMs send a struck request once more, and its caller repeats it.
 */
internal class SimulatedRequestFleet(private val random: Random, private val settings: RequestFleetSettings) {
    private data class Request(
        val number: Int,
        val part: String,
        val vm: Int,
        val attemptsLeft: Int,
        val repeatsLeft: Int,
    ) {
        val isCrashing get() = part == CRASHING
    }

    private class Run(val request: Request, val endsAtMs: Long)

    private class Arrival(val atMs: Long, val request: Request)

    private class Engine(val index: Int) {
        var bornMs = 0L
        var backAtMs = 0L
        val running = ArrayList<Run>()
        val incarnation get() = Incarnation("engine-$index", bornMs)
    }

    private val peers = SimulatedPeers(
        random,
        PeerSettings(settings.vmCount, settings.reportIntervalMs, settings.earlyPauseMs, settings.lossPercent),
    )
    private val vms get() = peers.vms
    private val engines = List(settings.engineCount) { Engine(it) }
    private val arrivals = ArrayList<Arrival>()
    private var nowMs = 0L
    private var nextCrashingAtMs = 0L
    private var lastNumber = 0
    private val refusedNumbers = HashSet<Int>()

    private val crashesMs = ArrayList<Long>()
    private val crashingSendsMs = ArrayList<Long>()

    /** Engines that the crashing request ended. */
    val crashes: Int get() = crashesMs.size
    var soundRequests = 0
        private set

    /** Sound requests that were refused as quarantined at least once. */
    val soundRefusals: Int get() = refusedNumbers.size

    fun simulate(durationMs: Long): SimulatedRequestFleet {
        while (nowMs < durationMs) {
            nowMs += STEP_MS
            disturb()
            arrive()
            engines.forEach(::run)
            peers.report(nowMs)
        }
        return this
    }

    /** Sends of the crashing request, by VMs in contact, later than [marginMs] after the third crash. */
    fun sendsAfterThirdCrash(marginMs: Long): Int {
        val thirdMs = crashesMs.getOrNull(2) ?: return 0
        return crashingSendsMs.count { it > thirdMs + marginMs }
    }

    private fun disturb() {
        if (happens(settings.otherEndsEveryMs)) end(engines.random(random))
        if (happens(settings.rackEndsEveryMs)) engines.filter { it.index % 3 == 0 }.forEach(::end)
        if (happens(settings.restartsEveryMs)) peers.restartAny(nowMs)
        if (happens(settings.cutsEveryMs)) peers.cutSome(nowMs)
    }

    private fun happens(everyMs: Int) = everyMs < Int.MAX_VALUE && random.nextInt(everyMs / STEP_MS.toInt()) == 0

    private fun arrive() {
        if (settings.crashingEveryMs < Int.MAX_VALUE && nowMs >= nextCrashingAtMs) {
            nextCrashingAtMs = nowMs + random.nextLong(settings.crashingEveryMs / 2L, settings.crashingEveryMs * 3L / 2)
            arrivals.add(Arrival(nowMs, newRequest(CRASHING, repeats = 0)))
        }
        if (random.nextDouble() < settings.requestsPerSecond * STEP_MS / 1_000) {
            soundRequests++
            val isRecurring = random.nextDouble() < settings.recurringShare
            val part = fingerprint(if (isRecurring) "recurring-${random.nextInt(2)}" else "sound-$lastNumber")
            arrivals.add(Arrival(nowMs, newRequest(part, repeats = 3)))
        }
        val due = arrivals.filter { it.atMs <= nowMs }
        arrivals.removeAll(due)
        due.forEach { send(it.request) }
    }

    private fun newRequest(part: String, repeats: Int) =
        Request(lastNumber++, part, random.nextInt(vms.size), attemptsLeft = 2, repeats)

    private fun send(request: Request) {
        val quarantine = vms[request.vm].quarantine
        val parts = listOf(request.part)
        if (!settings.isNaive && quarantine.check(parts, nowMs) is QuarantineVerdict.Refused) {
            if (!request.isCrashing) refusedNumbers.add(request.number)
            return repeatLater(request, REFUSED_REPEAT_MS)
        }
        val engine = engines.filter { it.backAtMs <= nowMs && it.running.size < SLOTS }.minByOrNull { it.running.size }
            ?: return repeatLater(request, FAILED_REPEAT_MS)
        if (!settings.isNaive && !quarantine.onSent(parts, nowMs)) return
        if (request.isCrashing && vms[request.vm].cutUntilMs < nowMs) crashingSendsMs.add(nowMs)
        engine.running.add(Run(request, nowMs + random.nextLong(50, if (request.isCrashing) 110 else 300)))
    }

    private fun repeatLater(request: Request, afterMs: Long) {
        if (request.repeatsLeft == 0) return
        val delayMs = random.nextLong(afterMs / 2, afterMs * 3 / 2)
        val repeated =
            request.copy(vm = random.nextInt(vms.size), attemptsLeft = 2, repeatsLeft = request.repeatsLeft - 1)
        arrivals.add(Arrival(nowMs + delayMs, repeated))
    }

    private fun run(engine: Engine) {
        val done = engine.running.filter { it.endsAtMs <= nowMs }
        if (done.any { it.request.isCrashing }) {
            crashesMs.add(nowMs)
            return end(engine)
        }
        engine.running.removeAll(done)
        done.forEach { run ->
            val quarantine = vms[run.request.vm].quarantine
            if (quarantine.hasFingerprints) quarantine.onAnswerProven(listOf(run.request.part), nowMs)
        }
    }

    private fun end(engine: Engine) {
        if (engine.backAtMs > nowMs) return
        val struck = engine.running.map { it.request }
        engine.running.clear()
        struck.groupBy { it.vm }.forEach { (vm, requests) ->
            val suspects = requests.map { SuspectRequest(listOf(it.part), hasStarted = false) }
            peers.onEngineEnded(vms[vm], engine.incarnation, suspects, nowMs)
        }
        engine.bornMs = nowMs + BACK_MS
        engine.backAtMs = nowMs + BACK_MS
        struck.forEach(::sendOnceMore)
    }

    private fun sendOnceMore(request: Request) {
        val quarantine = vms[request.vm].quarantine
        val fingerprint = checkNotNull(RequestFingerprint.ofPart(request.part))
        val mayEndEngines = !settings.isNaive && quarantine.endsUnder(fingerprint) > 1
        if (request.attemptsLeft == 1 || mayEndEngines) return repeatLater(request, FAILED_REPEAT_MS)
        send(request.copy(attemptsLeft = request.attemptsLeft - 1))
    }

    private companion object {
        fun fingerprint(name: String) = RequestFingerprint.ofHash(name).part

        val CRASHING = fingerprint("crashing")
        const val STEP_MS = 10L
        const val SLOTS = 6
        const val BACK_MS = 3_000L
        const val FAILED_REPEAT_MS = 400L
        const val REFUSED_REPEAT_MS = 1_000L
    }
}
