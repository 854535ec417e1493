package io.daisybend.entry

import io.daisybend.entry.standin.Behaviour
import io.daisybend.entry.standin.FakeEndpoint
import io.daisybend.entry.standin.Site
import io.daisybend.entry.standin.TestCaller
import io.daisybend.entry.standin.linesOf
import io.daisybend.entry.standin.withSite
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.collections.shouldNotBeIn
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlin.system.measureTimeMillis
import kotlin.time.Duration.Companion.seconds

private const val LONG_TIMEOUT_MS = 15_000L

/** Time in which the VM reads the list of endpoints again, in milliseconds. */
private const val LIST_READ_MS = 2_500L

/** Time in which the VM finds out that an endpoint has ended, in milliseconds. */
private const val ENDED_CHECK_MS = 500L

/** Statuses that promise that a request has not run and never will. */
private val promises = listOf(408, 421, 429, 503)

/** Sends a stream to an engine that is silent and then refuses it; returns the caller and the other engine. */
private suspend fun Site.streamAtRefusingEngine(): Pair<TestCaller, FakeEndpoint> {
    endpoints.forEach { it.pauseMs = 4_400 }
    queueForAll(Behaviour.REJECT_LATE)
    val caller = connect()
    caller.send("POST", "/stream/x", "prompt")
    eventually(1.seconds) { endpoints.sumOf { it.turnedAway.size } shouldBe 1 }
    return caller to endpoints.single { it.turnedAway.isEmpty() }.apply { behaviours.clear() }
}

/** Callers were told "not run" although an endpoint had run their request. */
class RefusedAndRanTest : FunSpec({
    test("a request is not answered by the copy of its refusal after its address has passed to another instance") {
        withSite(prepare = { endpoints[1].zone = "south" }) {
            configure(timeoutMs = LONG_TIMEOUT_MS)
            val (renamed, other) = endpoints
            val caller = connect()
            // The VM may send a request to the endpoint of the other failure domain first.
            eventually(30.seconds) {
                endpoints.forEach {
                    it.behaviours.clear()
                    it.turnedAway.clear()
                    it.ran.clear()
                }
                renamed.behaviours.addAll(listOf(Behaviour.MISDIRECT, Behaviour.REPEAT_REFUSAL))
                other.pauseMs = 2_000
                other.behaviours.add(Behaviour.REJECT_LATE)
                caller.send("POST", "/once/x", "prompt")
                eventually(2.seconds) { endpoints.sumOf { it.turnedAway.size } shouldNotBe 0 }
                if (renamed.turnedAway.isEmpty()) caller.read()
                renamed.turnedAway shouldHaveSize 1
                other.ran.shouldBeEmpty()
            }
            store.put("keyed.servers", renamed.id, null)
            renamed.successorId = "e-3"
            renamed.register()
            val response = caller.read()
            ran shouldHaveSize 1
            response.status shouldBe 200
        }
    }

    test("a stream that another engine may have run is not refused as not run by the engine that was silent") {
        withSite {
            configure(timeoutMs = LONG_TIMEOUT_MS)
            val (caller, other) = streamAtRefusingEngine()
            other.pauseMs = 3_000
            other.behaviours.add(Behaviour.LATE)
            endpoints.forEach { endpoint -> repeat(MANY) { endpoint.behaviours.add(Behaviour.REJECT) } }
            val response = caller.read()
            ran shouldHaveSize 1
            response.status shouldNotBeIn promises
        }
    }

    test("a stream is served by the engine that was offered it, although the silent engine refuses it meanwhile") {
        withSite {
            configure(timeoutMs = LONG_TIMEOUT_MS)
            val (caller, other) = streamAtRefusingEngine()
            other.pauseMs = 1_500
            other.behaviours.add(Behaviour.LATE)
            endpoints.forEach { endpoint -> repeat(MANY) { endpoint.behaviours.add(Behaviour.REJECT) } }
            caller.read().status shouldBe 200
            ran shouldHaveSize 1
        }
    }

    test("the end of a silent engine is noticed while another engine holds an offer") {
        withSite {
            configure(timeoutMs = LONG_TIMEOUT_MS)
            endpoints.forEach { it.pauseMs = 1_500 }
            queueForAll(Behaviour.HANG)
            val caller = connect()
            caller.send("POST", "/stream/x", "prompt")
            eventually(1.seconds) { ran shouldHaveSize 1 }
            val (silent, other) = endpoints.sortedBy { it.ran.isEmpty() }
            other.behaviours.clear()
            other.behaviours.add(Behaviour.LATE)
            eventually(6.seconds) { ran shouldHaveSize 2 }
            val ended = linesOf("engine-ended") {
                silent.crash()
                caller.read().status shouldBe 200
                delay(ENDED_CHECK_MS)
            }
            ended.map { it["endpoint"] } shouldBe listOf(silent.id)
        }
    }

    test("an engine that did not answer an offer in time is not sent the request again") {
        withSite {
            configure(timeoutMs = LONG_TIMEOUT_MS)
            val (caller, other) = streamAtRefusingEngine()
            other.behaviours.add(Behaviour.HANG)
            caller.read().status shouldNotBeIn promises
            other.ran shouldHaveSize 1
        }
    }

    test("requests of two callers that bear one attempt id at the same time get their own answers") {
        withSite {
            configure()
            val kinds = listOf(Behaviour.SERVE, Behaviour.REJECT, Behaviour.REPEAT_REFUSAL, Behaviour.LATE)
            repeat(200) { round ->
                endpoints.forEach { it.behaviours.add(kinds[round % kinds.size]) }
                val callers = List(3) { connect() }
                callers.forEachIndexed { index, it -> it.send("POST", "/once/x", "$round-$index", id = "same-$round") }
                callers.forEachIndexed { index, it ->
                    val response = it.read()
                    val runs = ran.count { run -> run.body.decodeToString() == "$round-$index" }
                    withClue("round $round, caller $index, status ${response.status}") {
                        if (response.status in promises) runs shouldBe 0
                        if (response.status == 200) response.body.substringAfter(':') shouldBe "$round-$index"
                        runs shouldBeLessThanOrEqual 1
                    }
                    it.close()
                }
            }
        }
    }

    test("a prompt that is quarantined while an engine has it is not refused as not run") {
        withSite {
            configure(timeoutMs = LONG_TIMEOUT_MS)
            queueForAll(Behaviour.HANG)
            val caller = connect()
            caller.send("POST", "/events/x", "prompt", model = "m1", prompt = "shared:10,dead:10,own:10")
            eventually(1.seconds) { ran shouldHaveSize 1 }
            val (silent, crashing) = endpoints.sortedBy { it.behaviours.size }
            silent.isDraining = true
            silent.register()
            crashing.behaviours.clear()
            // The list is read every 0.85 s.
            delay(2_000)
            val response = scope.async { caller.read() }
            eventually(12.seconds) {
                runCatching { connect().prompt("shared:10,dead:10,other:10") }
                response.isCompleted shouldBe true
            }
            silent.abandoned shouldHaveSize 1
            response.await().status shouldBe 502
        }
    }

    test("a failure that an endpoint does not mark as not run is never passed on as a promise") {
        withSite {
            configure()
            listOf(503, 429, 408).forEach { status ->
                endpoints.forEach {
                    it.ran.clear()
                    it.failureStatus = status
                }
                queueForAll(Behaviour.FAIL)
                withClue(status) {
                    val response = connect().call("POST", "/once/x", "prompt")
                    ran shouldHaveSize 1
                    response.status shouldBe 502
                }
                endpoints.forEach { it.behaviours.clear() }
                // An endpoint that failed is not used for a while.
                delay(600)
            }
        }
    }

    test("a failure that no other endpoint can mend is answered at once, also if it is not marked as not run") {
        withSite {
            configure(timeoutMs = LONG_TIMEOUT_MS)
            store.put("keyed.servers", "e-2", null)
            delay(LIST_READ_MS)
            listOf(503 to 502, 500 to 500).forEach { (status, expected) ->
                endpoints[0].failureStatus = status
                endpoints[0].behaviours.add(Behaviour.FAIL)
                val tookMs = measureTimeMillis {
                    connect().run {
                        send("POST", "/stream/x", "prompt", model = "m1")
                        read().status shouldBe expected
                    }
                }
                tookMs shouldBeLessThan 1_000
                // An endpoint that failed is not used for a while.
                delay(600)
            }
        }
    }
}) {
    private companion object {
        const val MANY = 30
    }
}
