package io.daisybend.placement

import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.VmId
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe

class OwnershipPlannerTest : FunSpec({
    val vms = (1..9).map { VmId("vm-$it") }
    val endpointId = EndpointId("engine-1")
    val first = checkNotNull(preferredOwner(endpointId, vms))
    val second = checkNotNull(preferredOwner(endpointId, vms - first))
    val settings = OwnershipSettings(takeoverDelayMs = 2_000, handOverDelayMs = 10_000)

    fun entry(vmId: VmId?) =
        EndpointEntry(endpointId, fence = 7, vmId?.let { OwnerId(it, "run-1") }, EndpointCapacity(memoryBytes = 1))

    test("an endpoint without an owner is claimed immediately, by the first-ranked VM only") {
        OwnershipPlanner(OwnerId(first, "run-1")).plan(endpointId, null, vms, 0) shouldBe OwnerEvent.TakeOver(NO_FENCE)
        OwnershipPlanner(OwnerId(second, "run-1")).plan(endpointId, null, vms, 0) shouldBe null
    }

    test("an endpoint whose owner is missing from the list is taken over after the takeover delay") {
        val planner = OwnershipPlanner(OwnerId(second, "run-1"), settings)
        planner.plan(endpointId, entry(first), vms - first, nowMs = 0) shouldBe null
        planner.plan(endpointId, entry(first), vms - first, nowMs = 1_999) shouldBe null
        planner.plan(endpointId, entry(first), vms - first, nowMs = 2_000) shouldBe OwnerEvent.TakeOver(7)
    }

    test("an owner that is listed again before the takeover delay ends keeps the endpoint") {
        val planner = OwnershipPlanner(OwnerId(second, "run-1"), settings)
        planner.plan(endpointId, entry(first), vms - first, nowMs = 0) shouldBe null
        planner.plan(endpointId, entry(first), vms, nowMs = 1_000) shouldBe null
        planner.plan(endpointId, entry(first), vms - first, nowMs = 2_500) shouldBe null
    }

    test("a restarted daemon claims the endpoints of its former run, whatever its rank") {
        OwnershipPlanner(OwnerId(second, "run-2")).plan(endpointId, entry(second), vms, 0) shouldBe
            OwnerEvent.TakeOver(7)
        OwnershipPlanner(OwnerId(first, "run-2")).plan(endpointId, entry(first), vms, 0) shouldBe OwnerEvent.TakeOver(7)
    }

    test("a leaving owner hands over immediately, and an owner that lost the first rank after a delay") {
        OwnershipPlanner(OwnerId(first, "run-1"), settings).plan(endpointId, entry(first), vms - first, 0) shouldBe
            OwnerEvent.HandOver
        val outrankedPlanner = OwnershipPlanner(OwnerId(second, "run-1"), settings)
        outrankedPlanner.plan(endpointId, entry(second), vms, nowMs = 0) shouldBe null
        outrankedPlanner.plan(endpointId, entry(second), vms, nowMs = 10_000) shouldBe OwnerEvent.HandOver
    }

    test("every endpoint has one preferred owner among the live VMs") {
        (1..100).forEach { vms shouldContain preferredOwner(EndpointId("engine-$it"), vms) }
    }
})
