package io.daisybend.entry

import io.daisybend.entry.standin.Behaviour
import io.daisybend.entry.standin.FakeEndpoint
import io.daisybend.entry.standin.Site
import io.daisybend.entry.standin.withSite
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import java.io.IOException
import kotlin.time.Duration.Companion.seconds

private val allEvents = (1..FakeEndpoint.EVENTS).joinToString("") { "id: $it\ndata: $it\n\n" }
private val eventsBeforeBreak = (1..3).joinToString("") { "id: $it\ndata: $it\n\n" }
private const val MANY = 20

/** Time in which the test tells the other endpoint how to respond, in milliseconds. */
private const val TIME_FOR_THE_OTHER_MS = 600L
private val resets = listOf(Behaviour.RESET_WITH_LENGTH, Behaviour.RESET_CHUNKED, Behaviour.RESET_UNFRAMED)

/** Time after which an endpoint that was ejected, or that crashed, is used again, in milliseconds. */
private const val RECOVERY_MS = 1_400L

/** Lets both endpoints serve requests, so that the VM keeps a connection to each. */
private suspend fun Site.warmUp() {
    endpoints.forEach { it.behaviours.clear() }
    delay(RECOVERY_MS)
    repeat(4) { connect().call("GET", "/safe/x").status shouldBe 200 }
    endpoints.forEach { it.ran.clear() }
}

class BrokenAnswerTest : FunSpec({
    test("a stream without length or chunks whose engine crashes between two events does not look complete") {
        withSite {
            configure()
            queueForAll(Behaviour.UNFRAMED_CRASH)
            shouldThrow<IOException> { connect().call("POST", "/events/x", "prompt") }
        }
    }

    test("a stream without length or chunks whose engine crashes between two events is resumed where that is allowed") {
        withSite {
            configure()
            repeat(4) {
                endpoints[0].behaviours.add(Behaviour.UNFRAMED_CRASH)
                connect().call("POST", "/stream/x", "prompt").body shouldBe allEvents
                warmUp()
            }
        }
    }

    test("a whole response without a length whose engine crashes does not look complete") {
        withSite {
            configure()
            queueForAll(Behaviour.UNFRAMED_CRASH)
            connect().call("POST", "/once/x", "1").status shouldBe 502
            ran shouldHaveSize 1
            warmUp()
            endpoints[0].behaviours.add(Behaviour.UNFRAMED_CRASH)
            repeat(3) { connect().call("GET", "/safe/x").body.substringAfter(':') shouldBe "" }
        }
    }

    test("an answer that is reset after its head does not look complete, in any framing, on a new or kept connection") {
        withSite {
            configure()
            for (reset in resets) {
                withClue(reset) {
                    warmUp()
                    queueForAll(reset)
                    connect().call("POST", "/once/x", "1").status shouldBe 502
                    warmUp()
                    queueForAll(reset)
                    shouldThrow<IOException> { connect().call("POST", "/events/x", "prompt") }
                    warmUp()
                    endpoints[0].behaviours.add(reset)
                    repeat(2) { connect().call("POST", "/stream/x", "prompt").body shouldBe allEvents }
                }
            }
        }
    }

    // Reported by other operators: the error of the next engine stood in the middle of the stream, or ended it.
    test("an error of the next engine is no part of a stream that broke off, and does not make it look complete") {
        withSite {
            configure()
            for (error in listOf(Behaviour.FAIL, Behaviour.REJECT, Behaviour.UNSEALED, Behaviour.LOSE_RESPONSE)) {
                withClue(error) {
                    warmUp()
                    queueForAll(Behaviour.RESET_CHUNKED)
                    endpoints.forEach { it.halfMs = TIME_FOR_THE_OTHER_MS }
                    val caller = connect()
                    caller.send("POST", "/stream/x", "prompt")
                    eventually(2.seconds) { ran shouldHaveSize 1 }
                    val other = endpoints.single { it.ran.isEmpty() }
                    other.behaviours.clear()
                    repeat(MANY) { other.behaviours.add(error) }
                    caller.readBroken() shouldBe eventsBeforeBreak
                    (other.ran + other.turnedAway).isNotEmpty() shouldBe true
                }
            }
        }
    }
})
