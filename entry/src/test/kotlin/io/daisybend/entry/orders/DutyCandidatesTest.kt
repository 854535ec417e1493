package io.daisybend.entry.orders

import io.daisybend.entry.peers.PeerReport
import io.daisybend.entry.peers.peerReport
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

private val vms = listOf("vm-1", "vm-2", "vm-3")

/** Returns the candidates as [vm] sees them while [cutOff] reach no engine. */
private fun candidatesOf(vm: String, cutOff: Set<String>): DutyCandidates {
    fun peers(): List<PeerReport> = (vms - vm).map { peerReport(it, sequence = 1) }
    return DutyCandidates(vm, ::peers, { vm in cutOff }) { it.vm !in cutOff }
}

class DutyCandidatesTest : FunSpec({
    test("VMs that reach engines have the ranks 0, 1 and so on, and those that are cut off have none") {
        val all = vms.associateWith { candidatesOf(it, emptySet()).rank() }
        all.values.toSet() shouldBe setOf(0, 1, 2)
        val first = all.entries.first { it.value == 0 }.key
        val others = (vms - first).map { candidatesOf(it, setOf(first)).rank() }
        others.toSet() shouldBe setOf(0, 1)
        candidatesOf(first, setOf(first)).rank() shouldBe null
    }

    test("all VMs are candidates while none reaches an engine, and the holder keeps the duty") {
        vms.map { candidatesOf(it, vms.toSet()).rank() }.toSet() shouldBe setOf(0, 1, 2)
        vms.forEach { candidatesOf(it, vms.toSet()).shouldHandOver() shouldBe false }
    }

    test("only a VM that is cut off while another one is not must hand over") {
        candidatesOf("vm-1", setOf("vm-1", "vm-2")).shouldHandOver() shouldBe true
        candidatesOf("vm-3", setOf("vm-1", "vm-2")).shouldHandOver() shouldBe false
        DutyCandidates("vm-1", { emptyList() }, { true }).shouldHandOver() shouldBe false
    }
})
