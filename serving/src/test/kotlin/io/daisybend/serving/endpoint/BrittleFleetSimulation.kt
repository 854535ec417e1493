/*
 * A fleet of VMs in front of brittle engines, in steps of simulated time. Requests take some milliseconds to an engine,
 * and what the VMs report takes an interval.
 */
package io.daisybend.serving.endpoint

import kotlin.math.ln
import kotlin.random.Random

/** What a simulated fleet is like. */
internal data class BrittleScenario(
    val vms: Int,
    val limit: Int,
    val engines: Int = 8,
    val slots: Int = 6,
    /** Offered load during bursts, as a multiple of what the engines run. */
    val loadFactor: Double = 2.0,
    val hearEachOther: Boolean = true,
    /** Share of the VMs that get requests during the odd bursts. */
    val activeShare: Double = 1.0,
    /** VMs that start during a burst and that the others learn of later. */
    val starting: Int = 0,
    val runMs: Double = 200.0,
    val seed: Int = 1,
)

/** What happened from 3 s after the engines became brittle. */
internal data class BrittleResult(val mostTurnedAway: Int, val falls: Int, val servedShare: Double)

internal class BrittleFleetSimulation(private val scenario: BrittleScenario) {
    private val random = Random(scenario.seed)
    private val reportMs = maxOf(250L, 10L * (scenario.vms + scenario.starting))
    private var now = 0L

    private class Run(val vm: Vm, val endpoint: Int, val writtenAtMs: Long, val endsAtMs: Long)

    private inner class Engine(val index: Int) {
        val runs = ArrayList<Run>()
        val turnedAwayAtMs = ArrayList<Long>()
        var downUntilMs = 0L
        var falls = 0

        fun arrive(vm: Vm, writtenAtMs: Long) {
            // A few may wait at first; a waiting request is simply a longer run.
            val places = scenario.slots + if (now < STABLE_MS) WAITING else 0
            if (runs.size < places) {
                val runMs = -ln(1 - random.nextDouble()) * scenario.runMs * RANDOM_SHARE +
                    scenario.runMs * (1 - RANDOM_SHARE)
                runs.add(Run(vm, index, writtenAtMs, now + runMs.toLong()))
                return
            }
            later { vm.onTurnedAway(index, writtenAtMs) }
            turnedAwayAtMs.add(now)
            if (now < STABLE_MS || turnedAwayAtMs.count { now - it < 1_000 } <= scenario.limit) return
            falls++
            downUntilMs = now + DOWN_MS
            runs.forEach { run -> later { run.vm.onEnded(index, run.writtenAtMs) } }
            runs.clear()
        }

        fun end() {
            val ended = runs.filter { it.endsAtMs <= now }
            runs.removeAll(ended)
            ended.forEach { run -> later { run.vm.onEnded(index, run.writtenAtMs) } }
            if (now >= STABLE_MS) served += ended.size
        }
    }

    private inner class Vm(val index: Int) {
        val name = "vm-$index"
        val table = EndpointTable().apply { engines.forEach { put(entryOf(it.index), 0) } }
        val endpoints = table.ofService("s")
        val uses = PeerUseIndex()
        val heardAtMs = HashMap<String, Long>()
        val brittle = BrittleEngines(name, { endpoints }, { uses.useOf(it).inFlight }, Random(index))
        val queue = ArrayDeque<Long>()
        var known = emptySet<String>()
        val startedAtMs = if (now == 0L) -SETTLE_MS else now
        val reportOffsetMs = random.nextLong(reportMs)

        fun maintain() {
            val inTouch = scenario.hearEachOther &&
                known.all { it == name || now - (heardAtMs[it] ?: Long.MIN_VALUE / 2) < 2 * reportMs + 300 }
            brittle.setFleet(BrittleFleet(known, now - startedAtMs >= SETTLE_MS, inTouch, reportMs), now)
            brittle.removeExpired(now)
        }

        fun sendQueued() {
            while (queue.isNotEmpty() && now - queue.first() > MAX_WAIT_MS) queue.removeFirst()
            while (queue.isNotEmpty()) {
                val open = endpoints.filterIndexed { index, endpoint ->
                    engines[index].downUntilMs <= now && brittle.waitMs(endpoint, now) == 0L
                }
                val target = open.minByOrNull { it.inFlight + uses.useOf(it.incarnation.id).inFlight } ?: return
                if (!brittle.take(target, now)) return
                table.onExchangeStarted(target, NO_TOKENS)
                brittle.onBegun(target, now)
                queue.removeFirst()
                if (brittle.maySend(target, now, now)) {
                    val writtenAtMs = now
                    later { engines[endpoints.indexOf(target)].arrive(this, writtenAtMs) }
                } else {
                    table.onExchangeEnded(target, NO_TOKENS, isPrefilled = false)
                }
            }
        }

        private fun onAnswer(endpoint: Endpoint) {
            if (now >= BRITTLE_AT_MS) brittle.onAnswer(endpoint, scenario.limit, now)
        }

        fun onEnded(index: Int, writtenAtMs: Long) {
            val endpoint = endpoints[index]
            onAnswer(endpoint)
            brittle.onAnswered(endpoint, writtenAtMs)
            table.onExchangeEnded(endpoint, NO_TOKENS, isPrefilled = false)
            brittle.onEnded(endpoint, isAborted = false, now)
        }

        fun onTurnedAway(index: Int, writtenAtMs: Long) {
            val endpoint = endpoints[index]
            onAnswer(endpoint)
            brittle.onTurnedAway(endpoint, writtenAtMs, now)
            table.onExchangeEnded(endpoint, NO_TOKENS, isPrefilled = false)
            queue.addLast(now)
        }

        fun report() {
            val use = endpoints.filter { it.inFlight > 0 }
                .associate { it.incarnation.id to EndpointLoad(it.inFlight, 0, 0) }
            val services = brittle.reports(now)
            val others = running.filter { it !== this }
            later {
                others.forEach {
                    it.heardAtMs[name] = now
                    it.uses.onReport(name, use)
                    it.brittle.onPeerReport(name, services, now)
                }
            }
        }
    }

    private val engines = List(scenario.engines) { Engine(it) }
    private val running = MutableList(scenario.vms) { Vm(it) }
    private val pending = ArrayDeque<Pair<Long, () -> Unit>>()
    private var served = 0

    private fun later(action: () -> Unit) {
        pending.addLast(now + DELAY_MS to action)
    }

    private fun entryOf(index: Int) =
        EndpointEntry(Incarnation("e-$index", 1), "s", "h", 1, "north", scenario.slots, false, null)

    /** Runs two bursts after 3 s of moderate load; the pause between them is light. */
    fun run(): BrittleResult {
        var burstMs = 0L
        running.forEach { vm -> vm.known = running.mapTo(HashSet()) { it.name } }
        while (now < END_MS) {
            now += STEP_MS
            while (pending.isNotEmpty() && pending.first().first <= now) pending.removeFirst().second()
            engines.forEach { it.end() }
            if (now == START_AT_MS) repeat(scenario.starting) { running.add(Vm(scenario.vms + it)) }
            // A VM that has not been heard before gets complete reports.
            if (now == START_AT_MS && scenario.starting > 0) running.forEach { it.report() }
            val names = running.mapTo(HashSet()) { it.name }
            running.forEach { vm ->
                val isOld = vm.index < scenario.vms && now < START_AT_MS + LIST_LAG_MS
                if (!isOld) vm.known = names
                if (now % 200 == 0L) vm.maintain()
                val reports = (now + vm.reportOffsetMs) / reportMs
                val isDue = reports != (now - STEP_MS + vm.reportOffsetMs) / reportMs
                if (scenario.hearEachOther && isDue) vm.report()
            }
            val burst = BURSTS_MS.indexOfFirst { now in it }
            if (burst >= 0) burstMs += STEP_MS
            arrive(burst)
            running.shuffled(random).forEach { it.sendQueued() }
        }
        val capacity = scenario.engines * scenario.slots / scenario.runMs
        val inBursts = served - LIGHT_LOAD * capacity * (END_MS - STABLE_MS - burstMs)
        val share = inBursts / (capacity * burstMs)
        return BrittleResult(engines.maxOf { mostInASecond(it) }, engines.sumOf { it.falls }, share)
    }

    private fun arrive(burst: Int) {
        val load = if (burst >= 0) scenario.loadFactor else LIGHT_LOAD
        val share = if (burst >= 0 && burst % 2 == 0) scenario.activeShare else 1.0
        val active = running.take((running.size * share).toInt().coerceAtLeast(1))
        val perStep = load * scenario.engines * scenario.slots / scenario.runMs * STEP_MS
        val count = perStep.toInt() + if (random.nextDouble() < perStep % 1) 1 else 0
        repeat(count) { active.random(random).queue.addLast(now) }
    }

    private fun mostInASecond(engine: Engine): Int {
        val times = engine.turnedAwayAtMs.filter { it >= STABLE_MS }
        return times.maxOfOrNull { from -> times.count { it - from in 0 until 1_000 } } ?: 0
    }

    private companion object {
        const val STEP_MS = 10L
        const val DELAY_MS = 10L
        const val BRITTLE_AT_MS = 1_000L
        const val STABLE_MS = 4_000L
        const val START_AT_MS = 6_000L
        const val SETTLE_MS = 2_000L
        const val LIST_LAG_MS = 1_500L
        const val END_MS = 16_000L
        const val DOWN_MS = 2_000L
        const val MAX_WAIT_MS = 1_500L
        const val WAITING = 4
        const val RANDOM_SHARE = 0.5
        const val LIGHT_LOAD = 0.3
        val BURSTS_MS = listOf(4_500L until 9_000L, 11_000L until 16_000L)
        val NO_TOKENS = Reservation(0, 0)
    }
}
