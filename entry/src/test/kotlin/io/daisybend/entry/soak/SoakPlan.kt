/*
 * What a soak does, drawn from its seed: the site, the callers and the faults. How long each step takes depends on the
 * processes, so two runs of a seed are alike but not equal.
 */
package io.daisybend.entry.soak

import kotlin.random.Random

/** What happens to a link. */
internal enum class LinkFault { DELAY, SILENCE, RESET }

/** Something that is done to the site; VMs and engines are meant by their index. */
internal sealed interface SoakAction {
    /**
     * SIGTERM once the VM is ready, unless it [isHasty], a second one after [secondAfterMs] if that is set, the exit,
     * and a new process at once.
     */
    data class Stop(val vm: Int, val isHasty: Boolean, val secondAfterMs: Long?, val hangUpAfterStartMs: Long?) :
        SoakAction

    data class HangUp(val vm: Int) : SoakAction

    data object Configure : SoakAction

    data class EngineLeave(val engine: Int, val isAnnounced: Boolean, val isReplacedFirst: Boolean) : SoakAction

    data class EngineCrash(val engine: Int, val downMs: Long, val keepsId: Boolean, val isUnlisted: Boolean) :
        SoakAction

    data class EngineSilence(val engine: Int, val lastsMs: Long) : SoakAction

    data class EngineMoodChange(val engine: Int, val mood: EngineMood, val lastsMs: Long) : SoakAction

    /** Half of the requests of the engine meet [refusal]. */
    data class EngineRefuses(val engine: Int, val refusal: EngineRefusal, val lastsMs: Long) : SoakAction

    /** Another instance goes on at the engine's address, and the list names it [staleMs] later. */
    data class EngineInstanceChange(val engine: Int, val staleMs: Long) : SoakAction

    data class EngineLink(val engine: Int, val fault: LinkFault, val lastsMs: Long) : SoakAction

    data class CallerLink(val vm: Int, val fault: LinkFault, val lastsMs: Long) : SoakAction

    /** The link between the store and [vm], or all VMs if that is null. */
    data class StoreLink(val vm: Int?, val fault: LinkFault, val lastsMs: Long) : SoakAction

    data class StoreRefuses(val lastsMs: Long) : SoakAction

    data class Freeze(val vm: Int, val lastsMs: Long) : SoakAction

    data class Kill(val vm: Int) : SoakAction
}

/** [action] after [delayMs]; the next step waits for its end unless [isAsync]. */
internal data class SoakStep(val delayMs: Long, val action: SoakAction, val isAsync: Boolean)

/** The plan of [seed] for [seconds] of traffic. */
internal class SoakPlan(val seed: Long, val seconds: Int) {
    private var random = Random(seed)
    val vms = random.nextInt(2, 5)
    val tightVms: Set<Int> = (0 until vms).shuffled(random).take(random.nextInt(0, 3)).toSet()
    val modelEngines = random.nextInt(2, 4)
    val plainEngines = random.nextInt(2, 4)
    val engines = modelEngines + plainEngines + OTHER_ENGINES
    val callers = random.nextInt(20, 61)

    /** Longest pause between events after which callers leave a stream, and the target latency that it follows from. */
    val streamTargetMs = listOf(500L, 1_000L, 1_500L).random(random)
    val callerGapMs = maxOf(2_000, 4 * streamTargetMs)

    /** Engines that go on with a run whose connection was closed. */
    val ignoringEngines: Set<Int> = (0 until engines).filter { random.nextInt(8) == 0 }.toSet()
    val proxiedEngines: Set<Int> = (0 until engines).filter { random.nextInt(3) == 0 }.toSet()

    /** Whether engines list the requests that they work on in their reports; drawn apart from what else a seed does. */
    val enginesListRuns = Random(seed * MAX_TRACKS + MAX_TRACKS - 1).nextInt(4) > 0

    /** Engines that write refusals once more; drawn apart, too. */
    val repeatingEngines: Set<Int> = Random(seed * MAX_TRACKS + MAX_TRACKS - 2)
        .let { drawn -> (0 until engines).filter { drawn.nextBoolean() }.toSet() }

    /** Whether only planned work is done to VMs, links and the store. */
    val isCalm = random.nextInt(5) < 2

    /** What is done beside each other; the steps of a shorter run are the first ones of a longer run. */
    val tracks: List<List<SoakStep>> =
        listOf(::stops, ::hangUps, ::configurations, ::engineFaults, ::unplanned, ::refusals)
            .mapIndexed { index, draw ->
                random = Random(seed * MAX_TRACKS + index)
                if (isCalm && draw == ::unplanned) emptyList() else draw()
            }

    private fun upTo(maxMs: Long, minMs: Long = 0) = random.nextLong(minMs, maxMs)

    private fun steps(minDelayMs: Long, maxDelayMs: Long, draw: () -> SoakAction): List<SoakStep> {
        val count = (seconds * MILLIS_PER_SECOND / minDelayMs).toInt()
        return List(count) { SoakStep(upTo(maxDelayMs, minDelayMs), draw(), isAsync = true) }
    }

    private fun stop(vm: Int) = SoakAction.Stop(
        vm,
        isHasty = random.nextInt(10) == 0,
        secondAfterMs = upTo(4_000, 1_000).takeIf { random.nextInt(3) == 0 },
        hangUpAfterStartMs = upTo(1_000).takeIf { random.nextInt(6) == 0 },
    )

    private fun stops() = buildList {
        repeat(seconds / 4) {
            val order = (0 until vms).shuffled(random)
            when (random.nextInt(10)) {
                in 0 until 5 -> order.forEach { add(SoakStep(upTo(1_500), stop(it), isAsync = false)) }
                in 5 until 8 -> order.take(2).forEach { add(SoakStep(upTo(1_500), stop(it), isAsync = true)) }
                else -> add(SoakStep(upTo(3_000), stop(order[0]), isAsync = false))
            }
        }
    }

    private fun hangUps() = steps(1_500, 7_000) { SoakAction.HangUp(random.nextInt(vms)) }

    private fun configurations() = steps(1_000, 5_000) { SoakAction.Configure }

    private fun engineFaults() = steps(700, 3_500) {
        val engine = random.nextInt(engines)
        when (random.nextInt(10)) {
            0, 1 -> SoakAction.EngineLeave(engine, random.nextInt(3) > 0, random.nextBoolean())
            2, 3 -> SoakAction.EngineCrash(engine, upTo(3_000, 200), random.nextBoolean(), random.nextBoolean())
            4, 5, 6 -> SoakAction.EngineSilence(engine, upTo(6_000, 1_000))
            7 -> SoakAction.EngineLink(engine, LinkFault.entries.random(random), upTo(2_000, 100))
            else -> SoakAction.EngineMoodChange(engine, EngineMood.entries.random(random), upTo(1_500, 100))
        }
    }

    private fun refusals() = steps(500, 2_500) {
        val engine = random.nextInt(engines)
        val status = listOf(503, 429).random(random)
        when (random.nextInt(10)) {
            0, 1 -> SoakAction.EngineInstanceChange(engine, upTo(1_500))
            2, 3 -> SoakAction.EngineSilence(engine, upTo(1_500, 700))
            4, 5, 6 -> SoakAction.EngineRefuses(engine, EngineRefusal.Late(upTo(5_000, 1_000)), upTo(3_000, 1_000))
            7, 8 -> SoakAction.EngineRefuses(engine, EngineRefusal.AtOnce(status), upTo(1_500, 100))
            else -> SoakAction.EngineRefuses(engine, EngineRefusal.Unmarked(status), upTo(600, 100))
        }
    }

    private fun unplanned() = steps(5_000, 14_000) {
        val vm = random.nextInt(vms)
        when (random.nextInt(8)) {
            0, 1 -> SoakAction.Freeze(vm, upTo(3_000, 200))
            2 -> SoakAction.Kill(vm)
            3, 4 -> SoakAction.CallerLink(vm, LinkFault.entries.random(random), upTo(2_000, 100))
            5, 6 -> SoakAction.StoreLink(
                vm.takeIf { random.nextInt(3) > 0 },
                LinkFault.entries.random(random),
                upTo(3_000, 300),
            )
            else -> SoakAction.StoreRefuses(upTo(2_500, 300))
        }
    }

    override fun toString() = "seed $seed: $vms VMs (tight: $tightVms), $modelEngines model engines, $plainEngines " +
        "plain engines, $callers callers, gap $callerGapMs ms, calm: $isCalm, engines that ignore a close: " +
        "$ignoringEngines, behind proxies: $proxiedEngines, engines list their runs: $enginesListRuns, engines that " +
        "write refusals once more: $repeatingEngines"

    companion object {
        /** Engines of the service that routes are moved to and from. */
        const val OTHER_ENGINES = 1
        private const val MAX_TRACKS = 10
        private const val MILLIS_PER_SECOND = 1_000L
    }
}
