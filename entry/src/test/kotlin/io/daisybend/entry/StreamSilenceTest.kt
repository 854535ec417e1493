package io.daisybend.entry

import io.daisybend.entry.standin.Behaviour
import io.daisybend.entry.standin.FakeEndpoint
import io.daisybend.entry.standin.withSite
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlin.system.measureTimeMillis

private val allEvents = (1..FakeEndpoint.EVENTS).joinToString("") { "id: $it\ndata: $it\n\n" }

/** Time in which the VM reads the list of endpoints again, in milliseconds. */
private const val LIST_READ_MS = 1_500L

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
})
