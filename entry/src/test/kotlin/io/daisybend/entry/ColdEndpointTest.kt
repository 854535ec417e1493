package io.daisybend.entry

import io.daisybend.entry.standin.Site
import io.daisybend.entry.standin.withSite
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.time.Duration.Companion.seconds

private const val COLD_SERVICE = """{"name":"s1","maxConns":100,"coldStartS":4.0,"coldPerS":6.5}"""

/** Requests a second of the only VM: [COLD_SERVICE] rounded down. */
private const val SHARE = 6

/** The platform's bound, 6.5 x 1.5 + 5: requests that were sent in turn may arrive together. */
private const val MOST_IN_A_SECOND = 14
private const val NANOS_PER_MILLI = 1_000_000L

/** Returns the largest number of [timesMs] within one second. */
private fun mostInASecond(timesMs: Collection<Long>): Int =
    timesMs.maxOfOrNull { from -> timesMs.count { it in from until from + 1_000 } } ?: 0

/** Returns the times at which requests arrive at endpoint [index] from now on, in milliseconds. */
private fun Site.recordArrivals(index: Int): Collection<Long> {
    val arrivals = ConcurrentLinkedQueue<Long>()
    endpoints[index].crashesUnder = {
        arrivals.add(System.nanoTime() / NANOS_PER_MILLI)
        false
    }
    return arrivals
}

class ColdEndpointTest : FunSpec({
    // A restarted endpoint that got its share of the full load at once would crash again.
    test("a restarted endpoint gets few requests a second until it is warm, and then its share again") {
        withSite("bounds.coldOver=1.5", "bounds.coldSlack=5") {
            configure(service = COLD_SERVICE)
            val arrivals = recordArrivals(0)
            endpoints[0].crash()
            eventually(5.seconds) { metrics() shouldContain "daisybend_endpoint_cold_seconds{endpoint=\"e-1\"}" }
            val statuses = (1..300).map {
                delay(5)
                scope.async { connect().call("GET", "/safe/load").status }
            }.awaitAll()
            statuses.toSet() shouldBe setOf(200)
            mostInASecond(arrivals) shouldBeLessThanOrEqual MOST_IN_A_SECOND
            eventually(8.seconds) {
                val arrivalsWarm = recordArrivals(0)
                repeat(40) { connect().call("GET", "/safe/load") }
                arrivalsWarm.size shouldBeGreaterThan 6
            }
        }
    }

    test("an unreadable remaining cold time is counted, and its endpoint stays in use") {
        withSite(prepare = { endpoints.forEach { it.coldLeftMs = "-1" } }) {
            configure(service = COLD_SERVICE)
            readMetrics(metrics()).entries
                .first { it.key.startsWith("daisybend_unreadable_cold_values") }.value shouldBe 2.0
        }
    }

    test("cold endpoints get no more than the share of this VM, and requests that cannot wait for it are refused") {
        withSite {
            endpoints.forEach { it.coldLeftMs = "30000" }
            endpoints.forEach { it.register() }
            configure(service = COLD_SERVICE)
            eventually(5.seconds) { metrics() shouldContain "daisybend_endpoint_cold_seconds" }
            // The VM has a share some time after it has read the list of VMs.
            eventually(5.seconds) { connect().call("GET", "/safe/x").status shouldBe 200 }
            val arrivals = endpoints.indices.map { recordArrivals(it) }
            val statuses = (1..60).map { scope.async { connect().call("GET", "/safe/x").status } }.awaitAll()
            statuses.toSet() shouldBe setOf(200, 503)
            arrivals.forEach {
                it.size shouldBeGreaterThan 6
                mostInASecond(it) shouldBeLessThanOrEqual MOST_IN_A_SECOND
                val seconds = (it.max() - it.min()) / 1_000 + 1
                it.size.toLong() shouldBeLessThanOrEqual seconds * SHARE + SHARE
            }
        }
    }
})
