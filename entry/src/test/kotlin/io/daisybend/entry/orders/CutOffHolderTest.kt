package io.daisybend.entry.orders

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlin.time.Duration.Companion.seconds

private const val HANDOVER_GAP_MS = 3_000L
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
            orderOf("a1") shouldBe "vm-0"
            vms[0].unreached = allEngines
            orderOf("a2") shouldNotBe "vm-0"
            breachesOfOne(orders).shouldBeEmpty()
        }
    }
})
