/*
 * Carries out the steps of a plan at the processes, links and stand-ins of a site, and watches over the processes.
 */
package io.daisybend.entry.soak

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withContext

/** The faults of [plan] at [site]. */
internal class SoakFaults(
    private val plan: SoakPlan,
    private val site: SoakSite,
    private val scope: CoroutineScope,
    private val ledger: SoakLedger,
    private val timeline: SoakTimeline,
) {
    private val jobs = ArrayList<Job>()

    fun start() {
        plan.tracks.mapTo(jobs) { steps -> scope.launch { runTrack(this, steps) } }
        site.vms.mapTo(jobs) { vm -> scope.launch { watch(vm) } }
    }

    /** Begins no more faults, and waits for the end of those under way. */
    suspend fun stop() {
        jobs.forEach { it.cancel() }
        jobs.forEach { it.join() }
    }

    private suspend fun runTrack(trackScope: CoroutineScope, steps: List<SoakStep>) = steps.forEach { step ->
        delay(step.delayMs)
        // A fault that has begun is brought to its end.
        val job = trackScope.launch { withContext(NonCancellable) { carryOut(step.action) } }
        if (!step.isAsync) job.join()
    }

    private suspend fun carryOut(action: SoakAction) {
        when (action) {
            is SoakAction.Stop -> stop(site.vms[action.vm], action)
            is SoakAction.HangUp -> hangUp(site.vms[action.vm])
            SoakAction.Configure -> site.configure()
            is SoakAction.EngineLeave -> replace(action)
            is SoakAction.EngineCrash -> {
                val engine = site.engines[action.engine]
                engine.crash(action.downMs, if (action.keepsId) engine.id else site.nextEngineId(), action.isUnlisted)
            }
            is SoakAction.EngineSilence -> {
                val engine = site.engines[action.engine]
                timeline.note("engine ${engine.id} is silent for ${action.lastsMs} ms")
                engine.silentUntilMs = timeline.nowMs + action.lastsMs
            }
            is SoakAction.EngineMoodChange -> {
                val engine = site.engines[action.engine]
                timeline.note("engine ${engine.id} is ${action.mood} for ${action.lastsMs} ms")
                engine.mood = action.mood
                delay(action.lastsMs)
                engine.mood = EngineMood.SOUND
            }
            is SoakAction.EngineRefuses -> {
                val engine = site.engines[action.engine]
                timeline.note("engine ${engine.id}: ${action.refusal} for ${action.lastsMs} ms")
                engine.refusal = action.refusal
                delay(action.lastsMs)
                engine.refusal = null
            }
            is SoakAction.EngineInstanceChange ->
                site.engines[action.engine].changeInstance(site.nextEngineId(), action.staleMs)
            is SoakAction.EngineLink -> {
                val engine = site.engines[action.engine]
                engine.proxy?.let { disturb(listOf(it), engine.id, action.fault, action.lastsMs) }
            }
            is SoakAction.CallerLink -> {
                val vm = site.vms[action.vm]
                disturb(listOf(vm.callerProxy), callersOf(vm.name), action.fault, action.lastsMs)
            }
            is SoakAction.StoreLink -> {
                val vms = action.vm?.let { listOf(site.vms[it]) } ?: site.vms
                val subject = action.vm?.let { storeOf(site.vms[it].name) } ?: SoakTimeline.STORE
                disturb(vms.map { it.storeProxy }, subject, action.fault, action.lastsMs)
            }
            is SoakAction.StoreRefuses -> during(SoakTimeline.STORE, "refusing all calls") {
                site.store.isDown = true
                delay(action.lastsMs)
                site.store.isDown = false
            }
            is SoakAction.Freeze -> freeze(site.vms[action.vm], action.lastsMs)
            is SoakAction.Kill -> kill(site.vms[action.vm])
        }
    }

    private suspend fun during(subject: String, text: String, fault: suspend () -> Unit) {
        val disruption = timeline.begin(subject, text)
        fault()
        timeline.end(disruption)
    }

    private suspend fun disturb(links: List<SoakProxy>, subject: String, fault: LinkFault, lastsMs: Long) =
        during(subject, "link $fault") {
            when (fault) {
                LinkFault.DELAY -> links.forEach { it.delayMs = DELAY_MS }
                LinkFault.SILENCE -> links.forEach { it.isSilent = true }
                LinkFault.RESET -> links.forEach { it.resetAll() }
            }
            if (fault != LinkFault.RESET) delay(lastsMs)
            links.forEach {
                it.delayMs = 0
                it.isSilent = false
            }
        }

    private suspend fun replace(action: SoakAction.EngineLeave) {
        val leaving = site.engines[action.engine]
        if (action.isReplacedFirst) site.engines[action.engine] = site.newEngine(action.engine)
        leaving.leave(action.isAnnounced)
        if (!action.isReplacedFirst) site.engines[action.engine] = site.newEngine(action.engine)
    }

    private suspend fun stop(vm: SoakVm, action: SoakAction.Stop) = vm.lifecycle.withLock {
        val readyByMs = timeline.nowMs + READY_TIMEOUT_MS
        while (!action.isHasty && timeline.nowMs < readyByMs && !vm.isReady) delay(WATCH_MS)
        if (!vm.process.isAlive) return@withLock
        val stopAtMs = timeline.nowMs
        timeline.plan(PlannedWork.Stop(vm.name, stopAtMs))
        vm.process.signal("TERM")
        val second = scope.launch {
            delay(action.secondAfterMs ?: return@launch)
            if (!vm.process.isAlive) return@launch
            timeline.note("second SIGTERM to ${vm.name}")
            vm.process.signal("TERM")
        }
        val code = vm.process.awaitExit(SoakTimeline.GRACE_MS)
        second.cancel()
        val isDisrupted = timeline.isDisrupted(vm.name, stopAtMs, timeline.nowMs)
        when (code) {
            0 -> timeline.note("${vm.name} has exited ${timeline.nowMs - stopAtMs} ms after SIGTERM")
            null -> if (!isDisrupted) ledger.report("GRACE", "${vm.name} still runs 8 s after the SIGTERM of $stopAtMs")
            else -> ledger.report("EXIT", "${vm.name} exits with $code after the SIGTERM of $stopAtMs")
        }
        vm.process.close()
        timeline.note("${vm.name} starts")
        vm.start()
        delay(action.hangUpAfterStartMs ?: return@withLock)
        hangUp(vm)
    }

    private fun hangUp(vm: SoakVm) {
        if (!vm.process.isAlive) return
        timeline.plan(PlannedWork.ReadSettings(vm.name, timeline.nowMs))
        vm.process.signal("HUP")
    }

    private suspend fun freeze(vm: SoakVm, lastsMs: Long) {
        // The quota of a tight VM would end the pause.
        if (vm.isTight || !vm.process.isAlive) return
        during(vm.name, "pause of $lastsMs ms") {
            vm.process.signal("STOP")
            delay(lastsMs)
            vm.process.signal("CONT")
        }
    }

    private suspend fun kill(vm: SoakVm) = vm.lifecycle.withLock {
        during(vm.name, "SIGKILL") {
            vm.process.close()
            vm.start()
        }
    }

    /** Reports each end of [vm] that nothing here has caused, and starts it again. */
    private suspend fun watch(vm: SoakVm) {
        while (true) {
            delay(WATCH_MS)
            vm.lifecycle.withLock {
                if (vm.process.isAlive) return@withLock
                val disruption = timeline.begin(vm.name, "own end")
                ledger.report("EXIT", "${vm.name} has ended by itself with code ${vm.process.awaitExit(1)}")
                vm.start()
                timeline.end(disruption)
            }
        }
    }

    companion object {
        private const val DELAY_MS = 150L

        /** Time after which a VM is stopped although it is not ready, in milliseconds. */
        private const val READY_TIMEOUT_MS = 8_000L
        private const val WATCH_MS = 50L

        fun callersOf(vm: String) = "callers of $vm"

        fun storeOf(vm: String) = "store of $vm"
    }
}
