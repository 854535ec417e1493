package io.daisybend.entry

import io.daisybend.entry.standin.BrittleCapacity
import io.daisybend.entry.standin.Site
import io.daisybend.entry.standin.withSite
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay

private const val RUN_MS = 100L
private const val LIMIT = 3
private const val LOAD_MS = 4_000L

/** Time for VMs that have just started to know the others, in milliseconds. */
private const val SETTLE_MS = 3_000L

/** Requests a second that the two endpoints of a site serve with six slots each. */
private const val CAPACITY_PER_SECOND = 2 * 6 * 1_000.0 / RUN_MS

/** Sends requests evenly to the VMs at [ports], [loadFactor] times the capacity, and returns their statuses. */
private suspend fun Site.load(ports: List<Int>, loadFactor: Int): List<Int> {
    val callers = ports.flatMap { port -> List(CALLERS_PER_VM * loadFactor) { port } }
    val pauseMs = (callers.size * 1_000 / (CAPACITY_PER_SECOND * loadFactor)).toLong()
    val endsAtNs = System.nanoTime() + LOAD_MS * 1_000_000
    return callers.map { port ->
        scope.async {
            val caller = connect(port)
            val statuses = ArrayList<Int>()
            while (System.nanoTime() < endsAtNs) {
                val status = caller.call("GET", "/safe/x").status
                statuses.add(status)
                if (status != 200) delay(pauseMs)
            }
            statuses
        }
    }.awaitAll().flatten()
}

private const val CALLERS_PER_VM = 12

class BrittleEndpointTest : FunSpec({
    // Each VM alone would fill the endpoints, and what they turn away is tried at the other one.
    for (loadFactor in listOf(2, 5)) {
        test("brittle endpoints turn few requests away while three VMs have $loadFactor times what they take") {
            withSite {
                configure()
                val ports = listOf(callerPort) + listOf("vm-2", "vm-3").map { startPeer(it) }
                val capacities = endpoints.map { endpoint ->
                    BrittleCapacity(limit = LIMIT, runMs = RUN_MS).also { endpoint.brittle = it }
                }
                ports.forEach { connect(it).call("GET", "/safe/x").status shouldBe 200 }
                delay(SETTLE_MS)
                val before = capacities.sumOf { it.answered.get() }
                val loading = scope.async { load(ports, loadFactor) }
                delay(LOAD_MS)
                val served = capacities.sumOf { it.answered.get() } - before
                val statuses = loading.await()
                val share = served / (CAPACITY_PER_SECOND * LOAD_MS / 1_000)
                val seen = "falls ${capacities.map { it.falls.get() }}, turned away in a second " +
                    "${capacities.map { it.mostTurnedAway }}, served $share of the capacity, " +
                    "statuses ${statuses.groupingBy { it }.eachCount()}"
                println("load $loadFactor: $seen")
                withClue(seen) {
                    capacities.sumOf { it.falls.get() } shouldBe 0
                    capacities.forEach { it.mostTurnedAway shouldBeLessThanOrEqual LIMIT }
                    share shouldBeGreaterThan 0.8
                    statuses.toSet() - setOf(200, 503) shouldBe emptySet()
                }
            }
        }
    }
})
