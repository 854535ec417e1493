/*
 * The VMs of a simulated fleet as far as their quarantines go: the reports between them, cuts, restarts, and the evidence
 * that the store keeps.
 */
package io.daisybend.serving.quarantine

import io.daisybend.serving.endpoint.Incarnation
import kotlin.random.Random

/** How many VMs there are, and how they hear of each other. */
internal data class PeerSettings(
    val vmCount: Int,
    val reportIntervalMs: Long,
    val earlyPauseMs: Long,
    val lossPercent: Int,
)

/** One VM of a simulated fleet. */
internal class SimulatedVm(index: Int, vmCount: Int) {
    private val newQuarantine = {
        CrashQuarantine(
            rankOf = { key -> (index - key.hashCode()).mod(vmCount) },
            requestEarlyReport = { wantsReport = true },
        )
    }
    var quarantine = newQuarantine()
        private set
    var lastReportMs = 0L
    var wantsReport = false
    var cutUntilMs = 0L

    /** Loses the memory of the VM. */
    fun restart() {
        quarantine = newQuarantine()
    }
}

/** The VMs of a simulated fleet and the store between them. */
internal class SimulatedPeers(private val random: Random, private val settings: PeerSettings) {
    val vms = List(settings.vmCount) { SimulatedVm(it, settings.vmCount) }
    private val store = LinkedHashMap<Incarnation, Pair<Long, EngineEnd>>()

    /** Restarts a VM, which reads the evidence of the store. */
    fun restartAny(nowMs: Long) {
        val vm = vms.random(random)
        vm.restart()
        val kept = store.values.map { (atMs, end) -> end.copy(agoMs = nowMs - atMs) }
        vm.quarantine.onEvidence(CrashEvidence(kept), nowMs)
    }

    /** Cuts about a third of the VMs from the others for some seconds. */
    fun cutSome(nowMs: Long) {
        val untilMs = nowMs + random.nextLong(500, 6_000)
        vms.filter { random.nextInt(3) == 0 }.forEach { it.cutUntilMs = untilMs }
    }

    /** Records that [vm] saw [engine] end under [suspects]. */
    fun onEngineEnded(vm: SimulatedVm, engine: Incarnation, suspects: List<SuspectRequest>, nowMs: Long) {
        vm.quarantine.onEngineEnded(engine, suspects, nowMs, nowMs)
        keep(vm, nowMs)
    }

    /** Sends the reports that are due. */
    fun report(nowMs: Long) = vms.filter { isDue(it, nowMs) }.forEach { report(it, nowMs) }

    private fun isDue(vm: SimulatedVm, nowMs: Long) = nowMs - vm.lastReportMs >=
        if (vm.wantsReport) settings.earlyPauseMs else settings.reportIntervalMs

    private fun report(vm: SimulatedVm, nowMs: Long) {
        vm.lastReportMs = nowMs
        vm.wantsReport = false
        val changes = vm.quarantine.reportChanges(nowMs)
        vms.filter { it !== vm && it.cutUntilMs < nowMs && vm.cutUntilMs < nowMs }
            .filter { random.nextInt(100) >= settings.lossPercent }
            .forEach {
                // A VM that was cut off or restarted gets all evidence once it is heard again.
                val isUninformed = nowMs - it.cutUntilMs < 2 * settings.reportIntervalMs
                it.quarantine.onEvidence(if (isUninformed) vm.quarantine.evidence(nowMs) else changes, nowMs)
                keep(it, nowMs)
            }
    }

    private fun keep(vm: SimulatedVm, nowMs: Long) = vm.quarantine.ownQuarantinedEnds(nowMs).forEach {
        store[it.engine] = nowMs - it.agoMs to it
    }
}
