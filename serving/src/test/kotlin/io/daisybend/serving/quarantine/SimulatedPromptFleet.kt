package io.daisybend.serving.quarantine

import io.daisybend.serving.endpoint.Incarnation
import kotlin.random.Random

/** The size, the demand and the failures of a simulated fleet. */
internal data class PromptFleetSettings(
    val vmCount: Int = 9,
    val engineCount: Int = 8,
    val requestsPerSecond: Double = 10.0,
    val deadlyShare: Double = 0.0,
    val deadlyUntilMs: Long = Long.MAX_VALUE,
    val reportIntervalMs: Long = 250,
    val earlyPauseMs: Long = 10,
    val lossPercent: Int = 2,
    /** Mean time between engines that end for another reason, in milliseconds. */
    val otherEndsEveryMs: Int = Int.MAX_VALUE,
    /** Mean time between restarts of a VM that loses its memory, in milliseconds. */
    val restartsEveryMs: Int = Int.MAX_VALUE,
    /** Mean time between cuts of a third of the VMs from the others, in milliseconds. */
    val cutsEveryMs: Int = Int.MAX_VALUE,
    val isNaive: Boolean = false,
)

/**
 * Simulates VMs that send requests to engines. An engine ends when it begins to answer a prompt with [DEADLY_PART], and
 * cuts the answers of its other requests; it is back some seconds later as another incarnation.
 */
internal class SimulatedPromptFleet(private val random: Random, private val settings: PromptFleetSettings) {
    private class Request(val vm: Int, val parts: List<String>, val startsAtMs: Long, val provenAtMs: Long)

    private class Engine(val index: Int) {
        var bornMs = 0L
        var backAtMs = 0L
        val running = ArrayList<Request>()
        val incarnation get() = Incarnation("engine-$index", bornMs)
    }

    private val peers = SimulatedPeers(
        random,
        PeerSettings(settings.vmCount, settings.reportIntervalMs, settings.earlyPauseMs, settings.lossPercent),
    )
    private val vms get() = peers.vms
    private val engines = List(settings.engineCount) { Engine(it) }
    private var nowMs = 0L

    /** Times at which engines ended under the deadly part. */
    val deadlyEndsMs = ArrayList<Long>()

    /** Times at which requests with the deadly part were sent, by VMs that were not cut off. */
    val deadlySendsMs = ArrayList<Long>()
    val soundRefusalsMs = ArrayList<Long>()
    var soundRequests = 0
        private set
    var refusedDeadly = 0
        private set

    fun simulate(durationMs: Long): SimulatedPromptFleet {
        while (nowMs < durationMs) {
            nowMs += STEP_MS
            disturb()
            if (random.nextDouble() < settings.requestsPerSecond * STEP_MS / 1_000) arrive()
            engines.forEach(::run)
            peers.report(nowMs)
        }
        return this
    }

    /** The deadly requests sent later than [marginMs] after the fifth end. */
    fun sendsAfterFifthEnd(marginMs: Long): Int {
        val fifthMs = deadlyEndsMs.getOrNull(4) ?: return 0
        return deadlySendsMs.count { it > fifthMs + marginMs }
    }

    private fun disturb() {
        if (happens(settings.otherEndsEveryMs)) end(engines.random(random))
        if (happens(settings.restartsEveryMs)) peers.restartAny(nowMs)
        if (happens(settings.cutsEveryMs)) peers.cutSome(nowMs)
    }

    private fun happens(everyMs: Int) = everyMs < Int.MAX_VALUE && random.nextInt(everyMs / STEP_MS.toInt()) == 0

    private fun arrive() {
        val vm = vms.random(random)
        val isDeadly = nowMs < settings.deadlyUntilMs && random.nextDouble() < settings.deadlyShare
        val session = "session-${random.nextInt(SESSIONS)}"
        val parts = listOf("shared-${random.nextInt(3)}", session) + listOfNotNull(DEADLY_PART.takeIf { isDeadly })
        if (!isDeadly) soundRequests++
        if (!settings.isNaive && vm.quarantine.check(parts, nowMs) is QuarantineVerdict.Refused) {
            if (isDeadly) refusedDeadly++ else soundRefusalsMs.add(nowMs)
            return
        }
        val engine = engines.filter { it.backAtMs <= nowMs }.minByOrNull { it.running.size } ?: return
        vm.quarantine.onSent(parts, nowMs)
        if (isDeadly && vm.cutUntilMs < nowMs) deadlySendsMs.add(nowMs)
        val startsAtMs = nowMs + random.nextLong(150, 500)
        engine.running.add(Request(vms.indexOf(vm), parts, startsAtMs, startsAtMs + random.nextLong(20, 60)))
    }

    private fun run(engine: Engine) {
        val proven = engine.running.filter { nowMs in it.provenAtMs until it.provenAtMs + STEP_MS }
        if (engine.running.any {
                DEADLY_PART in it.parts && nowMs < settings.deadlyUntilMs && it.startsAtMs <= nowMs
            }
        ) {
            deadlyEndsMs.add(nowMs)
            return end(engine)
        }
        proven.forEach { vms[it.vm].quarantine.onAnswerProven(it.parts, nowMs) }
        engine.running.removeIf { it.provenAtMs + RUN_MS < nowMs }
    }

    private fun end(engine: Engine) {
        if (engine.backAtMs > nowMs) return
        val hardlyAnswered = engine.running.filter { it.provenAtMs > nowMs }.groupBy { it.vm }
        hardlyAnswered.forEach { (vm, requests) ->
            val suspects = requests.map { SuspectRequest(it.parts, hasStarted = it.startsAtMs <= nowMs) }
            peers.onEngineEnded(vms[vm], engine.incarnation, suspects, nowMs)
        }
        engine.running.clear()
        engine.bornMs = nowMs + BACK_MS
        engine.backAtMs = nowMs + BACK_MS
    }

    companion object {
        const val DEADLY_PART = "deadly"
        private const val STEP_MS = 10L
        private const val SESSIONS = 60
        private const val BACK_MS = 3_000L
        private const val RUN_MS = 600L
    }
}
