package io.daisybend.membership

import io.daisybend.kernel.FailureDomainId
import io.daisybend.kernel.ModelId
import io.daisybend.kernel.TeamId
import io.daisybend.kernel.VmEntry
import io.daisybend.kernel.VmId
import io.daisybend.kernel.VmState
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.random.Random

internal fun entry(number: Int, state: VmState = VmState.LIVE) = VmEntry(
    vmId = VmId("vm-$number"),
    failureDomainId = FailureDomainId("domain-${number % 3}"),
    region = "region",
    callerAddress = "127.0.0.1:${10_000 + number}",
    peerAddress = "127.0.0.1:${20_000 + number}",
    state = state,
)

class VmChoiceTest : FunSpec({
    val own = VmId("vm-0")
    val team = TeamId("team")
    val model = ModelId("model")

    fun view(entries: List<VmEntry>) = VmView(own).apply { handle(VmEvent.ListRead(entries), nowMs = 0) }

    test("callers are sent to the holders of the shards of their team") {
        val holders = listOf(VmId("vm-4"), VmId("vm-5"), VmId("vm-6"))
        val chosen = chooseVms(view(List(9) { entry(it) }), team, model, holders, nowMs = 0)
        chosen.map { it.vmId } shouldContainExactlyInAnyOrder holders
    }

    test("no choice has a leaving VM, and every choice spans failure domains if the live VMs do") {
        checkAll(PropTestConfig(seed = 1, iterations = 2_000), Arb.long()) { seed ->
            val random = Random(seed)
            val entries = List(random.nextInt(1, 12)) {
                entry(it, if (random.nextInt(3) == 0) VmState.LEAVING else VmState.LIVE)
            }
            val holders = entries.map { it.vmId }.shuffled(random).take(3)
            val chosen = chooseVms(view(entries), team, model, holders, nowMs = 0)
            val live = entries.filter { it.state == VmState.LIVE }
            chosen shouldHaveSize minOf(3, live.size)
            chosen.toSet() shouldHaveSize chosen.size
            chosen.forEach { it.state shouldBe VmState.LIVE }
            val domains = live.map { it.failureDomainId }.toSet().size
            if (live.size > 1) chosen.map { it.failureDomainId }.toSet().size shouldBeInRange minOf(2, domains)..3
        }
    }

    test("the loss of a VM that was not chosen does not change the choice") {
        val entries = List(9) { entry(it) }
        val before = chooseVms(view(entries), team, model, emptyList(), nowMs = 0)
        val lost = entries.first { it !in before }
        chooseVms(view(entries - lost), team, model, emptyList(), nowMs = 0) shouldBe before
    }

    test("a suspected VM is chosen only when no other is left, and is no longer suspected after a contact") {
        val view = view(List(4) { entry(it) })
        repeat(3) { view.handle(VmEvent.ContactFailed(VmId("vm-1")), nowMs = 0) }
        chooseVms(view, team, model, emptyList(), nowMs = 0).map { it.vmId } shouldNotContain VmId("vm-1")
        chooseVms(view, team, model, emptyList(), nowMs = 0, count = 4).last().vmId shouldBe VmId("vm-1")
        view.handle(VmEvent.ContactSucceeded(VmId("vm-1")), nowMs = 0)
        view.isSuspected(VmId("vm-1")) shouldBe false
    }

    test("a list without this VM removes no VM, and a peer that announced its stop is not live") {
        val view = view(List(3) { entry(it) })
        view.handle(VmEvent.ListRead(emptyList()), nowMs = 1)
        view.known() shouldHaveSize 3
        view.handle(VmEvent.PeerLeaving(VmId("vm-2")), nowMs = 1)
        view.live(nowMs = 2).map { it.vmId } shouldNotContain VmId("vm-2")
    }

    test("cells have similar sizes, and each team has a home cell") {
        val cells = cellNames("region", 5)
        val assigned = assignCells(List(60) { entry(it) }, cells)
        assigned.values.forEach { it.size shouldBeInRange 8..16 }
        assigned.values.sumOf { it.size } shouldBe 60
        (homeCell(team, cells)) shouldBeIn cells
    }
})
