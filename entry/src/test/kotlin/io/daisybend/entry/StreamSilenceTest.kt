package io.daisybend.entry

import io.daisybend.entry.standin.Behaviour
import io.daisybend.entry.standin.FakeEndpoint
import io.daisybend.entry.standin.Response
import io.daisybend.entry.standin.Site
import io.daisybend.entry.standin.withSite
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlin.system.measureTimeMillis
import kotlin.time.Duration.Companion.seconds

private val allEvents = (1..FakeEndpoint.EVENTS).joinToString("") { "id: $it\ndata: $it\n\n" }

/** Time in which the VM reads the list of endpoints again, in milliseconds. */
private const val LIST_READ_MS = 1_500L

/** A time to the first event from which callers wait 10 s for the next event, in milliseconds. */
private const val LONG_TARGET_MS = 2_500L
private const val LONG_TIMEOUT_MS = 15_000L

/** A time to the first event, in milliseconds, and how long its callers wait for the next one. */
private const val TARGET_MS = 1_000L
private const val CALLER_GAP_MS = 4 * TARGET_MS

/** Sends a stream that one endpoint handles as [behaviour]; the other one handles what comes to it as [others]. */
private suspend fun Site.streamWithOther(behaviour: Behaviour, others: Behaviour): Response {
    queueForAll(behaviour)
    val caller = connect()
    caller.send("POST", "/stream/x", "prompt")
    eventually(2.seconds) { ran shouldHaveSize 1 }
    val other = endpoints.single { it.ran.isEmpty() }
    other.behaviours.clear()
    repeat(MANY) { other.behaviours.add(others) }
    return caller.read()
}

private const val MANY = 30

class StreamSilenceTest : FunSpec({
    test("a slow but sound stream is not cut while no other engine can go on with it") {
        withSite {
            configure()
            store.put("keyed.servers", "e-2", null)
            delay(LIST_READ_MS)
            endpoints[0].behaviours.add(Behaviour.SLOW)
            connect().call("POST", "/stream/x", "prompt").body shouldBe allEvents
            ran shouldHaveSize 1
        }
    }

    test("a slow but sound stream that may not be resumed is not cut") {
        withSite {
            configure()
            queueForAll(Behaviour.SLOW)
            connect().call("POST", "/events/x", "prompt").body shouldBe allEvents
        }
    }

    test("a stalled stream whose engine sends a byte now and then goes on at another engine") {
        withSite {
            configure()
            endpoints[0].behaviours.add(Behaviour.DRIP)
            while (endpoints[0].behaviours.isNotEmpty()) {
                val tookMs = measureTimeMillis {
                    connect().call("POST", "/stream/x", "prompt").body shouldBe allEvents
                }
                tookMs shouldBeLessThan 2_500
            }
        }
    }

    test("a stalled stream that no other engine can go on with ends at its deadline and does not look complete") {
        withSite {
            configure()
            queueForAll(Behaviour.DRIP)
            val caller = connect()
            val tookMs = measureTimeMillis {
                caller.send("POST", "/events/x", "prompt")
                runCatching { caller.read() }.isFailure shouldBe true
            }
            tookMs shouldBeLessThan 4_500
        }
    }

    // Streams of sound engines that paused were given up after 1.2 s and went on at a second engine.
    test("a stream stays at its sound engine during a pause that its callers wait for") {
        withSite {
            configure(timeoutMs = LONG_TIMEOUT_MS, targetLatencyMs = LONG_TARGET_MS)
            endpoints.forEach { it.pauseMs = 3_500 }
            streamWithOther(Behaviour.SLOW, Behaviour.SERVE).body shouldBe allEvents
            ran shouldHaveSize 1
        }
    }

    // Streams of engines that went on after a pause went on at a second engine, too.
    test("a stream stays at a silent engine that says that it works on it") {
        withSite {
            configure(timeoutMs = LONG_TIMEOUT_MS, service = Site.MODEL_SERVICE)
            endpoints.forEach {
                it.pauseMs = 1_900
                it.listsRuns = true
            }
            streamWithOther(Behaviour.SLOW, Behaviour.SERVE).body shouldBe allEvents
            ran shouldHaveSize 1
        }
    }

    // Such a stream stayed at its engine until its caller left.
    test("a stream whose connection has died goes on at another engine, although its engine works on it") {
        withSite {
            configure(timeoutMs = LONG_TIMEOUT_MS, targetLatencyMs = TARGET_MS, service = Site.MODEL_SERVICE)
            endpoints.forEach {
                it.pauseMs = LONG_TIMEOUT_MS
                it.listsRuns = true
                it.eventsMade = FakeEndpoint.EVENTS
            }
            val tookMs = measureTimeMillis {
                streamWithOther(Behaviour.SLOW, Behaviour.SERVE).body shouldBe allEvents
            }
            tookMs shouldBeLessThan CALLER_GAP_MS
            ran shouldHaveSize 2
        }
    }

    test("a silent stream goes on at another engine if the reports of its engine do not list it") {
        withSite {
            configure(timeoutMs = LONG_TIMEOUT_MS, service = Site.MODEL_SERVICE)
            endpoints.forEach { it.pauseMs = 1_900 }
            streamWithOther(Behaviour.SLOW, Behaviour.SERVE).body shouldBe allEvents
            ran shouldHaveSize 2
        }
    }

    // A paused stream was broken off: its engine had been given up before the next one refused the rest.
    test("a paused stream goes on at its engine if the other one refuses the rest") {
        withSite {
            configure(timeoutMs = LONG_TIMEOUT_MS)
            endpoints.forEach { it.pauseMs = 3_500 }
            streamWithOther(Behaviour.SLOW, Behaviour.REJECT).body shouldBe allEvents
            ran shouldHaveSize 1
            endpoints.flatMap { it.turnedAway }.isNotEmpty() shouldBe true
        }
    }

    // The same before the first event, after 4 s.
    test("a request that waits at its engine for long stays there if the other one refuses it") {
        withSite {
            configure(timeoutMs = LONG_TIMEOUT_MS, targetLatencyMs = LONG_TARGET_MS)
            endpoints.forEach { it.pauseMs = 5_500 }
            streamWithOther(Behaviour.LATE, Behaviour.REJECT).body shouldBe allEvents
            ran shouldHaveSize 1
            endpoints.flatMap { it.turnedAway }.isNotEmpty() shouldBe true
        }
    }

    test("a request that waits at its engine for long goes on at the other one if that accepts it") {
        withSite {
            configure(timeoutMs = LONG_TIMEOUT_MS, targetLatencyMs = LONG_TARGET_MS)
            val tookMs = measureTimeMillis {
                streamWithOther(Behaviour.HANG, Behaviour.SERVE).body shouldBe allEvents
            }
            tookMs shouldBeLessThan 6_000
            eventually(2.seconds) { endpoints.flatMap { it.abandoned } shouldHaveSize 1 }
        }
    }

    test("a silent stream whose engine accepts no connections any more goes on at the other one before callers leave") {
        withSite {
            configure(timeoutMs = LONG_TIMEOUT_MS, targetLatencyMs = LONG_TARGET_MS)
            val tookMs = measureTimeMillis {
                streamWithOther(Behaviour.VANISH, Behaviour.SERVE).body shouldBe allEvents
            }
            tookMs shouldBeLessThan 3_000
            ran shouldHaveSize 2
        }
    }
})
