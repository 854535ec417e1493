package io.daisybend.entry

import io.daisybend.entry.standin.Behaviour
import io.daisybend.entry.standin.FakeEndpoint
import io.daisybend.entry.standin.Site
import io.daisybend.entry.standin.linesOf
import io.daisybend.entry.standin.withSite
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.seconds

/** Time in which the VM reads the list of endpoints again, in milliseconds. */
private const val LIST_READ_MS = 1_500L

/** Sends idempotent calls until [endpoint] has got one; returns how many requests it got. */
private suspend fun Site.callUntilReached(endpoint: FakeEndpoint): Int {
    eventually(10.seconds) {
        runCatching { connect().call("GET", "/safe/x") }
        arrivals(endpoint) shouldBeGreaterThan 0
    }
    return arrivals(endpoint)
}

private fun arrivals(endpoint: FakeEndpoint) = endpoint.ran.size + endpoint.turnedAway.size

private suspend fun Site.shouldNotReach(endpoint: FakeEndpoint, arrivalsBefore: Int) {
    repeat(12) { connect().call("GET", "/safe/x").status shouldBe 200 }
    arrivals(endpoint) shouldBe arrivalsBefore
}

class EndpointDepartureTest : FunSpec({
    test("an endpoint that the list shows as draining is logged as leaving once") {
        withSite {
            configure()
            val leaving = endpoints[0].apply { isDraining = true }
            val lines = linesOf("endpoint-leaving") {
                repeat(2) {
                    leaving.register()
                    delay(LIST_READ_MS)
                }
            }
            lines.map { it["endpoint"] to it["source"] } shouldBe listOf(leaving.id to "list")
        }
    }

    test("an endpoint that says in a response that it is leaving gets no further request, whatever the list says") {
        withSite {
            configure()
            val leaving = endpoints[0].apply { isLeaving = true }
            val arrivals = callUntilReached(leaving)
            shouldNotReach(leaving, arrivals)
            store.put("keyed.servers", leaving.id, null)
            delay(LIST_READ_MS)
            leaving.register()
            delay(LIST_READ_MS)
            shouldNotReach(leaving, arrivals)
        }
    }

    test("an endpoint that says so in a refusal, an interim head or a response that breaks off gets no further one") {
        listOf(Behaviour.REJECT, Behaviour.LEAVE_IN_INTERIM_HEAD, Behaviour.RESET_WITH_LENGTH).forEach { behaviour ->
            withClue(behaviour) {
                withSite {
                    configure()
                    val leaving = endpoints[0]
                    leaving.isLeaving = behaviour != Behaviour.LEAVE_IN_INTERIM_HEAD
                    leaving.behaviours.add(behaviour)
                    val arrivals = callUntilReached(leaving)
                    // An endpoint that failed is not used for a while anyway.
                    delay(LIST_READ_MS)
                    shouldNotReach(leaving, arrivals)
                }
            }
        }
    }

    test("a new incarnation of an endpoint that left gets requests again") {
        withSite {
            configure()
            val restarted = endpoints[0].apply { isLeaving = true }
            callUntilReached(restarted)
            restarted.isLeaving = false
            restarted.crash()
            restarted.ran.clear()
            callUntilReached(restarted)
        }
    }

    test("a stream in progress goes on at an endpoint that is leaving") {
        withSite {
            configure()
            val caller = connect()
            val leaving = endpoints[0].apply { isLeaving = true }
            queueForAll(Behaviour.SLOW)
            caller.send("POST", "/events/x", "prompt")
            eventually(5.seconds) { leaving.ran.size shouldBe 1 }
            delay(LIST_READ_MS / 2)
            endpoints[1].behaviours.clear()
            shouldNotReach(leaving, arrivalsBefore = 1)
            caller.read().body shouldBe (1..FakeEndpoint.EVENTS).joinToString("") { "id: $it\ndata: $it\n\n" }
        }
    }

    test("requests are refused as not run once all endpoints are leaving") {
        withSite {
            configure()
            endpoints.forEach { it.isLeaving = true }
            eventually(10.seconds) { connect().call("GET", "/safe/x").status shouldBe 503 }
            endpoints.forEach { it.ran.clear() }
            repeat(5) { connect().call("GET", "/safe/x").status shouldBe 503 }
            ran.shouldBeEmpty()
        }
    }
})
