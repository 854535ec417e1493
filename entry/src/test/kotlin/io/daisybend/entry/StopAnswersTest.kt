package io.daisybend.entry

import io.daisybend.entry.standin.Behaviour
import io.daisybend.entry.standin.FakeEndpoint
import io.daisybend.entry.standin.Response
import io.daisybend.entry.standin.Site
import io.daisybend.entry.standin.withSite
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.system.measureTimeMillis
import kotlin.time.Duration.Companion.seconds

private const val LONG_TIMEOUT_MS = 15_000L
private const val LONG_TARGET_MS = 2_500L

/** Time in which a response that was written reaches its caller, in milliseconds. */
private const val ARRIVAL_MS = 200L

/** How long a stream lasts before the stop, in milliseconds. */
private const val STREAM_BEFORE_STOP_MS = 300L

/** Time from the beginning of a stop to its last answers, in milliseconds. */
private const val LAST_ANSWER_MS = 2_500L

/** A request without a response after this time waits for its model, in milliseconds. */
private const val WAITING_MS = 600L
private const val DUTY_TIMEOUT_MS = 20_000L

private val allEvents = (1..FakeEndpoint.EVENTS).joinToString("") { "id: $it\ndata: $it\n\n" }

/** Stops the VM and returns the result of [response], which must be there by the time at which the process would end. */
private suspend fun Site.stopAndGet(response: Deferred<Response>): Response {
    vm.stop()
    delay(ARRIVAL_MS)
    response.isCompleted.shouldBeTrue()
    return response.await()
}

/** Sends a stream for a model that no engine holds until the VM lets it wait: it does so once a VM gives orders. */
private suspend fun Site.waitForModel(): Deferred<Response> = withTimeout(DUTY_TIMEOUT_MS) {
    while (true) {
        val caller = connect()
        caller.send("POST", "/stream/x", "prompt", model = "m1")
        val response = scope.async { caller.read() }
        if (withTimeoutOrNull(WAITING_MS) { response.join() } == null) return@withTimeout response
    }
    error("not reached")
}

class StopAnswersTest : FunSpec({
    // Callers of a model that was being loaded got no answer: the process ended while their requests waited.
    test("a request that waits for a model is refused as not run before its VM stops") {
        withSite {
            configure(timeoutMs = LONG_TIMEOUT_MS, targetLatencyMs = LONG_TARGET_MS, service = Site.MODEL_SERVICE)
            val response = waitForModel()
            val stopping = scope.async { vm.stop() }
            // The VM gives up its duty last, and requests of this single VM then wait for nobody's orders.
            val refused = withTimeoutOrNull(LAST_ANSWER_MS) { response.await() }.shouldNotBeNull()
            refused.status shouldBe 503
            refused.head.headers.any { it.name == "Retry-After" } shouldBe true
            stopping.await()
            ran.shouldBeEmpty()
        }
    }

    // The same end of the process cut off requests that waited for an endpoint that wanted none for some time.
    test("a request that waits for a paused endpoint is refused at once if the pause ends after the stop") {
        withSite {
            configure(timeoutMs = LONG_TIMEOUT_MS, targetLatencyMs = LONG_TARGET_MS)
            endpoints.forEach { it.shedFor = "6" }
            queueForAll(Behaviour.SHED)
            val caller = connect()
            caller.send("POST", "/once/x", "1")
            val response = scope.async { caller.read() }
            eventually(2.seconds) { endpoints.flatMap { it.turnedAway } shouldHaveSize 2 }
            delay(ARRIVAL_MS)
            val stopping = scope.async { vm.stop() }
            val tookMs = measureTimeMillis { response.await().status shouldBe 503 }
            tookMs shouldBeLessThan 500
            stopping.await()
            ran.shouldBeEmpty()
        }
    }

    // Requests that came late in the grace period were passed on and cut off at its end.
    test("a call that runs at a silent endpoint when its VM stops is answered as possibly run") {
        withSite {
            configure(timeoutMs = LONG_TIMEOUT_MS)
            queueForAll(Behaviour.HANG)
            val caller = connect()
            caller.send("POST", "/once/x", "1")
            val response = scope.async { caller.read() }
            eventually(2.seconds) { ran shouldHaveSize 1 }
            stopAndGet(response).status shouldBe 502
            ran shouldHaveSize 1
        }
    }

    // As above, on a connection whose response had begun before the stop and so did not announce its end.
    test("a request behind a stream is served late in a stop, but refused as not run if the stop ends too soon") {
        requestBehindStream(graceS = 3).status shouldBe 200
        requestBehindStream(graceS = 2).status shouldBe 503
    }
})

/** Returns the response to a request behind a stream that ends 1.4 s after the beginning of a stop. */
private suspend fun requestBehindStream(graceS: Int): Response {
    var response: Response? = null
    withSite("bounds.graceS=$graceS") {
        configure(timeoutMs = LONG_TIMEOUT_MS, targetLatencyMs = LONG_TARGET_MS)
        queueForAll(Behaviour.SLOW)
        val caller = connect()
        caller.send("POST", "/events/x", "prompt")
        eventually(2.seconds) { ran shouldHaveSize 1 }
        endpoints.forEach { it.behaviours.clear() }
        caller.send("POST", "/once/x", "1")
        delay(STREAM_BEFORE_STOP_MS)
        val stopping = scope.async { vm.stop() }
        caller.read().body shouldBe allEvents
        response = caller.read()
        stopping.await()
    }
    return response.shouldNotBeNull()
}
