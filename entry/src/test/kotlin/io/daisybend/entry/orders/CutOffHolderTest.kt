package io.daisybend.entry.orders

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.seconds

private const val HANDOVER_GAP_MS = 3_000L
private const val CUT_MS = 3_000L
private val allEngines = (0..3).toSet()

/** Returns the orders that follow one of another holder too soon, or one of a higher fence. */
private fun breachesOfOne(orders: List<ReceivedOrder>) = orders.groupBy { it.engine }.values
    .flatMap { it.zipWithNext() }
    .filter { (before, after) ->
        after.fence < before.fence || (before.holder != after.holder && after.atMs - before.atMs < HANDOVER_GAP_MS)
    }

private suspend fun withFleet(check: suspend DutyFleet.() -> Unit) {
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    try {
        DutyFleet(scope).start().check()
    } finally {
        scope.cancel()
    }
}

/** Lets requests wait for [adapter] until a VM has it loaded; returns the name of that VM. */
private suspend fun DutyFleet.orderOf(adapter: String): String {
    demand = listOf(adapter)
    eventually(7.seconds) { orders.any { it.adapter == adapter } shouldBe true }
    return orders.first { it.adapter == adapter }.holder
}

class CutOffHolderTest : FunSpec({
    // The holder kept the lease and sent its orders into the void until its links were back.
    test("another VM orders what requests wait for while the holder is cut off from all engines") {
        withFleet {
            val first = orderOf("a1")
            holder!!.unreached = allEngines
            orderOf("a2") shouldNotBe first
            breachesOfOne(orders).shouldBeEmpty()
        }
    }

    test("a holder that reaches the engines again before another VM has taken the duty goes on at once") {
        withFleet {
            val first = orderOf("a1")
            val vm = holder!!
            vm.unreached = allEngines
            eventually(2.seconds) { holder shouldBe null }
            delay(1_000)
            vm.unreached = emptySet()
            val healedAtMs = nowMs()
            orderOf("a2") shouldBe first
            orders.last().atMs - healedAtMs shouldBeLessThan 1_500
            breachesOfOne(orders).shouldBeEmpty()
        }
    }

    test("a holder keeps the duty and sends nothing while no VM reaches the engines, and goes on at once") {
        withFleet {
            val first = orderOf("a1")
            val vm = holder!!
            vms.forEach { it.unreached = allEngines }
            delay(DETECTION_MS + 200)
            vm.lostCalls.clear()
            demand = listOf("a2")
            delay(CUT_MS)
            holder shouldBe vm
            vm.lostCalls.filter { "order" in it }.shouldBeEmpty()
            vms.forEach { it.unreached = emptySet() }
            val healedAtMs = nowMs()
            orderOf("a2") shouldBe first
            orders.last().atMs - healedAtMs shouldBeLessThan 500
        }
    }

    test("a holder that reaches one engine only keeps the duty, and asks the others for reports at a falling rate") {
        withFleet {
            val first = orderOf("a1")
            val vm = holder!!
            vm.unreached = allEngines - 0
            orderOf("a2") shouldBe first
            delay(CUT_MS + 2_000)
            holder shouldBe vm
            vm.lostCalls.filter { "report" in it }.size shouldBeLessThan 3 * 9
        }
    }
})
