package io.daisybend.entry

import io.daisybend.entry.standin.Behaviour
import io.daisybend.entry.standin.Response
import io.daisybend.entry.standin.Site
import io.daisybend.entry.standin.withSite
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlin.system.measureTimeMillis
import kotlin.time.Duration.Companion.seconds

private const val MANY = 100

/** Lets endpoint [index] turn away all requests for [seconds]. */
private fun Site.shed(index: Int, seconds: String) {
    endpoints[index].shedFor = seconds
    repeat(MANY) { endpoints[index].behaviours.add(Behaviour.SHED) }
}

private fun retryAfterS(response: Response) =
    response.head.headers.first { it.name == "Retry-After" }.value.toDouble()

class EndpointPauseTest : FunSpec({
    test("an endpoint that turned a request away for a time gets none until then, and then again") {
        withSite {
            configure()
            shed(0, "2.5")
            eventually(5.seconds) {
                connect().call("GET", "/safe/x").status shouldBe 200
                endpoints[0].turnedAway shouldHaveSize 1
            }
            repeat(20) {
                connect().call("GET", "/safe/x").status shouldBe 200
                delay(100)
            }
            endpoints[0].turnedAway shouldHaveSize 1
            endpoints[0].behaviours.clear()
            eventually(5.seconds) {
                connect().call("GET", "/safe/x").status shouldBe 200
                endpoints[0].ran.size shouldBeGreaterThan 0
            }
        }
    }

    test("requests wait while all endpoints want none, if that ends in time") {
        withSite {
            configure()
            endpoints.forEach {
                it.shedFor = "0.4"
                it.behaviours.add(Behaviour.SHED)
            }
            val calls = (1..6).map { scope.async { connect().call("GET", "/safe/x").status } }
            calls.awaitAll().toSet() shouldBe setOf(200)
        }
    }

    test("requests are refused at once while all endpoints want none for long, with the soonest end as Retry-After") {
        withSite {
            configure()
            shed(0, "9")
            shed(1, "5")
            eventually(5.seconds) {
                connect().call("GET", "/safe/x").status shouldBe 503
                endpoints.forEach { it.turnedAway shouldHaveSize 1 }
            }
            repeat(5) {
                val tookMs = measureTimeMillis {
                    val response = connect().call("POST", "/once/x", "1")
                    response.status shouldBe 503
                    retryAfterS(response) shouldBeLessThanOrEqual 5.0
                    (retryAfterS(response) > 1.0) shouldBe true
                }
                tookMs shouldBeLessThan 500
            }
            endpoints.forEach { it.turnedAway shouldHaveSize 1 }
        }
    }

    test("a time that is absurdly long is a pause, and one that is no decimal number changes nothing") {
        withSite {
            configure()
            listOf("-1", "NaN", "Infinity", "1e9", "soon", "", "0").forEach { value ->
                withClue(value) {
                    endpoints.forEach {
                        it.shedFor = value
                        it.behaviours.clear()
                        it.ran.clear()
                        it.turnedAway.clear()
                        it.behaviours.add(Behaviour.SHED)
                    }
                    eventually(5.seconds) {
                        connect().call("GET", "/safe/x")
                        endpoints[0].turnedAway shouldHaveSize 1
                        endpoints[0].ran.size shouldBeGreaterThan 0
                    }
                }
            }
            endpoints.forEach { it.behaviours.clear() }
            endpoints[0].turnedAway.clear()
            shed(0, "9".repeat(400))
            repeat(10) { connect().call("GET", "/safe/x").status shouldBe 200 }
            endpoints[0].turnedAway shouldHaveSize 1
        }
    }

    test("a pause ends with a new incarnation of its endpoint, and the metrics show it until then") {
        withSite {
            configure()
            shed(0, "60")
            eventually(5.seconds) {
                connect().call("GET", "/safe/x")
                endpoints[0].turnedAway shouldHaveSize 1
            }
            fun paused(text: String) =
                readMetrics(text).keys.any { it == "daisybend_endpoint_paused_seconds{endpoint=\"e-1\"}" }
            paused(metrics()) shouldBe true
            endpoints[0].behaviours.clear()
            endpoints[0].crash()
            eventually(10.seconds) {
                connect().call("GET", "/safe/x")
                endpoints[0].ran.size shouldBeGreaterThan 0
            }
        }
    }
})
