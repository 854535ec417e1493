package io.daisybend.entry.exchange

import com.github.michaelbull.result.get
import io.daisybend.entry.EventLog
import io.daisybend.entry.peers.PromptPartsReport
import io.daisybend.entry.peers.toPrefixSends
import io.daisybend.kernel.decodeCbor
import io.daisybend.kernel.encodeCbor
import io.daisybend.serving.endpoint.EndpointEntry
import io.daisybend.serving.endpoint.EndpointTable
import io.daisybend.serving.endpoint.EngineHoldings
import io.daisybend.serving.endpoint.Incarnation
import io.daisybend.serving.endpoint.ModelDemand
import io.daisybend.serving.endpoint.PromptPart
import io.daisybend.serving.endpoint.promptPrefix
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe

private class PrefixVm(capacity: Long = 200_000, bornMs: Long = 1) {
    val table = EndpointTable().also { table ->
        val engine = Incarnation("engine-1", bornMs)
        table.put(EndpointEntry(engine, "s", "10.0.0.1", 80, "north", 6, false, EngineHoldings(0, emptyMap())), 0)
    }
    val endpoint = table.find("engine-1")!!
    val caches = PrefixCaches(table, { capacity }, EventLog("vm-1")) { 0L }
    val heldTokens get() = endpoint.prefixCache.heldTokens
}

class EndpointPrefixReportTest : FunSpec({
    val demand = ModelDemand("m1", null, 9_190, 100, listOf(PromptPart("hot", 6_300), PromptPart("own", 2_890)))

    test("a peer learns what was sent, in few bytes, and only for the same incarnation") {
        val sender = PrefixVm()
        sender.caches.onSent(sender.endpoint, demand) shouldBe 0
        val reports = sender.caches.reportChanges()
        val bytes = encodeCbor(PromptPartsReport.serializer(), reports.single())
        println("one entry of promptParts: ${bytes.size} bytes")
        bytes.size shouldBeLessThan 80
        val received = listOf(decodeCbor(PromptPartsReport.serializer(), bytes).get()!!)
        val peer = PrefixVm().also { it.caches.onPeerReport(received) }
        peer.endpoint.prefixCache.cachedTokens(demand.promptPrefix()!!, 0) shouldBe 6_300
        PrefixVm(bornMs = 2).also { it.caches.onPeerReport(received) }.heldTokens shouldBe 0
    }

    test("nothing is expected or reported without a configured KV cache") {
        val vm = PrefixVm(capacity = 0)
        vm.caches.onSent(vm.endpoint, demand) shouldBe 0
        vm.caches.prefixFor("s", demand) shouldBe null
        vm.caches.reportChanges().shouldBeEmpty()
        vm.heldTokens shouldBe 0
    }

    test("malformed entries of a report are ignored, and so are more than a VM would send") {
        val valid = PromptPartsReport("engine-1", 1, 7, listOf(1L), listOf(6_300))
        val malformed = listOf(
            valid.copy(tokens = emptyList()),
            valid.copy(tokens = listOf(-1)),
            valid.copy(tokens = listOf(Int.MAX_VALUE)),
            valid.copy(unsharedTokens = -1),
            valid.copy(hashes = List(99) { it.toLong() }, tokens = List(99) { 600 }),
        )
        malformed.toPrefixSends().shouldBeEmpty()
        List(500) { valid }.toPrefixSends().size shouldBe 16
    }
})
