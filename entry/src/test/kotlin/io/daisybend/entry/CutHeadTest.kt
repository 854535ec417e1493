package io.daisybend.entry

import io.daisybend.entry.standin.Behaviour
import io.daisybend.entry.standin.FakeEndpoint
import io.daisybend.entry.standin.Site
import io.daisybend.entry.standin.TestCaller
import io.daisybend.entry.standin.withSite
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import java.io.IOException
import kotlin.time.Duration.Companion.seconds

private val allEvents = (1..FakeEndpoint.EVENTS).joinToString("") { "id: $it\ndata: $it\n\n" }
private val eventsBeforeBreak = (1..3).joinToString("") { "id: $it\ndata: $it\n\n" }
private const val CHUNKED = "Transfer-Encoding: chunked\r\n"
private const val MANY = 30

/** Time in which bytes arrive, or a request would run, in milliseconds. */
private const val TIME_TO_ARRIVE_MS = 500L

/** More retries than a test makes. */
private const val LARGE_BUDGET = "bounds.budgetExtra=100000"

/** The head of a success for the request [id], with the header lines of its [framing]. */
private fun headOf(id: String, framing: String = "Content-Length: 1234\r\n", statusLine: String = "HTTP/1.1 200 OK") =
    "$statusLine\r\nX-Daisybend-Attempt-Id: $id\r\nX-Daisybend-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" +
        "X-Daisybend-Server-Load: 1,0,6\r\n$framing\r\n"

private fun String.withLineFeedsAlone() = replace("\r\n", "\n")

/** What arrives of a head, by the place of its cut. */
private val cuts: Map<String, (String) -> String> = mapOf(
    "before its first byte" to { "" },
    "in the version" to { "HTTP/1" },
    "in the status" to { "HTTP/1.1 20" },
    "in the reason" to { "HTTP/1.1 200 O" },
    "before the line feed of the status line" to { "HTTP/1.1 200 OK\r" },
    "after the status line" to { "HTTP/1.1 200 OK\r\n" },
    "in a header name" to { headOf(it).substringBefore("sponse-Seal") },
    "in a header value" to { headOf(it).substringBefore(".600.") },
    "after the seal" to { headOf(it).substringBefore("X-Daisybend-Server-Load") },
    "in the digits of the length" to { headOf(it).substringBefore("34\r\n") },
    "after the length" to { headOf(it).removeSuffix("\r\n") },
    "after the coding" to { headOf(it, CHUNKED).removeSuffix("\r\n") },
    "before the last line feed" to { headOf(it).removeSuffix("\n") },
    "after a line that ends with a line feed alone" to { headOf(it).withLineFeedsAlone().removeSuffix("\n") },
    "after a whole head with line feeds alone" to { headOf(it).withLineFeedsAlone() },
    "in a folded value" to { headOf(it).substringBefore("0,6") + "\r\n 0," },
    "after a length that is folded" to { headOf(it, "Content-Length: 5\r\n 00\r\n") + "hello" },
    "in an interim head" to { "HTTP/1.1 103 Early Hints\r\nX-Daisybend-Attempt-Id: $it\r\nLi" },
    "after an interim head" to { headOf(it, "", statusLine = "HTTP/1.1 103 Early Hints") },
    "in the head that follows an interim one" to { "HTTP/1.1 100 Continue\r\n\r\n" + headOf(it).removeSuffix("\r\n") },
    "after more bytes than a head may have" to { "HTTP/1.1 200 OK\r\nX-Filler: " + "x".repeat(40_000) },
    "in a refusal" to { "HTTP/1.1 503 X\r\nX-Daisybend-Attempt-Id: $it\r\nX-Daisybend-Not-Executed: 1\r\n" },
    "in the head of another instance" to { "HTTP/1.1 421 X\r\n" },
)

/** Sets what the endpoints write as [Behaviour.RAW], and how they end it. */
private fun Site.setRawAnswer(endsWithReset: Boolean = false, answer: (String) -> String) = endpoints.forEach {
    it.rawAnswer = answer
    it.rawEndsWithReset = endsWithReset
}

/** Lets both endpoints answer, so that neither is ejected and the VM has connections to them only if [isKept]. */
private suspend fun Site.warmUp(caller: TestCaller, isKept: Boolean) {
    endpoints.forEach {
        it.behaviours.clear()
        it.ran.clear()
        it.keepsConnections = isKept
    }
    withTimeout(10.seconds) {
        while (endpoints.any { it.ran.isEmpty() }) {
            // The second endpoint gets what the first one refuses.
            if (endpoints[0].ran.isNotEmpty()) endpoints[0].behaviours.add(Behaviour.REJECT)
            caller.call("GET", "/safe/x").status shouldBe 200
        }
    }
    endpoints.forEach {
        it.behaviours.clear()
        it.ran.clear()
    }
}

/** Calls [path], which may run only once, for a raw answer on a new or a kept connection; the caller gets none. */
private suspend fun Site.callForNoAnswer(caller: TestCaller, path: String, isKept: Boolean) = withTimeout(10.seconds) {
    do {
        warmUp(caller, isKept)
        queueForAll(Behaviour.RAW)
        val response = caller.call("POST", path, "prompt")
        response.status shouldBe 502
        response.body shouldBe ""
        ran shouldHaveSize 1
        // The VM keeps no connection whose response overtakes the end of the write.
    } while (ran.single().isFirst && isKept)
    ran.single().isFirst shouldBe !isKept
}

/** Calls a `safe` route until the first endpoint has written its raw answer. */
private suspend fun Site.callBesideRawAnswer(caller: TestCaller) {
    endpoints[0].behaviours.add(Behaviour.RAW)
    while (endpoints[0].behaviours.isNotEmpty()) {
        val response = caller.call("GET", "/safe/x")
        response.status shouldBe 200
        response.body shouldBe "e-2:"
    }
}

/** Begins a stream at an endpoint with [behaviour]; the other endpoint, which is returned too, cuts its heads. */
private suspend fun Site.beginStreamBesideCutHeads(behaviour: Behaviour): Pair<TestCaller, FakeEndpoint> {
    queueForAll(behaviour)
    val caller = connect()
    caller.send("POST", "/stream/x", "prompt")
    eventually(2.seconds) { ran shouldHaveSize 1 }
    val other = endpoints.single { it.ran.isEmpty() }
    other.behaviours.clear()
    repeat(MANY) { other.behaviours.add(Behaviour.RAW) }
    return caller to other
}

/** Calls [check] for both ends of a connection, new and kept. */
private suspend fun forEachEnd(check: suspend (endsWithReset: Boolean, isKept: Boolean) -> Unit) {
    for (endsWithReset in listOf(false, true)) for (isKept in listOf(false, true)) check(endsWithReset, isKept)
}

// Reported by other operators: callers got a 200 with an empty or short body, framed as whole.
class CutHeadTest : FunSpec({
    test("an answer that is cut at any byte of its head is not passed on, and only a safe request runs again") {
        withSite(LARGE_BUDGET) {
            configure()
            val caller = connect()
            for (endsWithReset in listOf(false, true)) {
                for (cutBytes in 0..headOf("id-1000").length) {
                    withClue("cut after $cutBytes bytes, reset: $endsWithReset") {
                        setRawAnswer(endsWithReset) { headOf(it).take(cutBytes) }
                        callForNoAnswer(caller, "/once/x", isKept = cutBytes % 2 == 0)
                        warmUp(caller, isKept = cutBytes % 2 == 0)
                        callBesideRawAnswer(caller)
                    }
                }
            }
        }
    }

    test("an answer whose head is cut is not passed on, on any route, on a new or kept connection") {
        withSite(LARGE_BUDGET) {
            configure()
            val caller = connect()
            forEachEnd { endsWithReset, isKept ->
                for ((place, cut) in cuts) {
                    withClue("head cut $place, reset: $endsWithReset, kept: $isKept") {
                        setRawAnswer(endsWithReset, cut)
                        callForNoAnswer(caller, "/once/x", isKept)
                        callForNoAnswer(caller, "/events/x", isKept)
                        warmUp(caller, isKept)
                        callBesideRawAnswer(caller)
                        warmUp(caller, isKept)
                        endpoints[0].behaviours.add(Behaviour.RAW)
                        while (endpoints[0].behaviours.isNotEmpty()) {
                            caller.call("POST", "/stream/x", "prompt").body shouldBe allEvents
                        }
                        warmUp(caller, isKept)
                        queueForAll(Behaviour.RAW)
                        caller.call("POST", "/stream/x", "prompt").status shouldBe 502
                        ran shouldHaveSize 2
                    }
                }
            }
        }
    }

    test("a connection whose answer was cut in its head takes no further request") {
        withSite(LARGE_BUDGET) {
            configure()
            val caller = connect()
            setRawAnswer { headOf(it).removeSuffix("\r\n") }
            warmUp(caller, isKept = true)
            queueForAll(Behaviour.RAW)
            caller.call("POST", "/once/x", "1").status shouldBe 502
            val cutAt = endpoints.single { it.ran.isNotEmpty() }
            endpoints.forEach { it.behaviours.clear() }
            eventually(5.seconds) {
                caller.call("GET", "/safe/x").status shouldBe 200
                cutAt.ran shouldHaveSize 2
            }
            cutAt.ran[1].isFirst shouldBe true
        }
    }

    test("a stream whose rest is answered with a cut head breaks off after its events") {
        withSite(LARGE_BUDGET) {
            configure()
            val warmUpCaller = connect()
            for (endsWithReset in listOf(false, true)) {
                for ((place, cut) in cuts) {
                    withClue("head cut $place, reset: $endsWithReset") {
                        setRawAnswer(endsWithReset, cut)
                        warmUp(warmUpCaller, isKept = true)
                        queueForAll(Behaviour.RAW_REST)
                        val caller = connect()
                        caller.send("POST", "/stream/x", "prompt")
                        caller.readBroken() shouldBe eventsBeforeBreak
                        ran shouldHaveSize 2
                        caller.close()
                    }
                }
            }
        }
    }

    test("a stream stays at its engine if another one accepts it with a head that is cut") {
        withSite {
            configure(timeoutMs = 15_000)
            endpoints.forEach { it.pauseMs = 3_500 }
            setRawAnswer { headOf(it, CHUNKED).removeSuffix("\r\n") }
            val (caller, _) = beginStreamBesideCutHeads(Behaviour.SLOW)
            caller.read().body shouldBe allEvents
            ran shouldHaveSize 2
        }
    }

    test("a stream does not look complete if its engine has vanished and the others cut the heads of their answers") {
        withSite {
            configure()
            setRawAnswer { headOf(it, CHUNKED).removeSuffix("\r\n") }
            val (caller, other) = beginStreamBesideCutHeads(Behaviour.VANISH)
            caller.readBroken() shouldBe eventsBeforeBreak
            other.ran shouldHaveSize 1
        }
    }

    test("an answer in chunks that is cut at any byte of its body or trailers is not passed on as whole") {
        withSite(LARGE_BUDGET) {
            configure()
            val caller = connect()
            val body = "f\r\nid: 1\ndata: 1\n\n\r\n0\r\nX-Checksum: 1\r\nX-Other: 2\r\n\r\n"
            for (endsWithReset in listOf(false, true)) {
                for (cutBytes in body.indices) {
                    withClue("cut after $cutBytes bytes of the body, reset: $endsWithReset") {
                        setRawAnswer(endsWithReset) { headOf(it, CHUNKED) + body.take(cutBytes) }
                        callForNoAnswer(caller, "/once/x", isKept = cutBytes % 2 == 0)
                        warmUp(caller, isKept = cutBytes % 2 == 0)
                        queueForAll(Behaviour.RAW)
                        val broken = connect()
                        val status = try {
                            broken.call("POST", "/events/x", "prompt").status
                        } catch (expectedBreak: IOException) {
                            null
                        }
                        // A reset may overtake the head.
                        status shouldBeIn if (endsWithReset) listOf(null, 502) else listOf(null)
                        broken.close()
                    }
                }
            }
            warmUp(caller, isKept = true)
            setRawAnswer { headOf(it, CHUNKED) + body }
            queueForAll(Behaviour.RAW)
            caller.call("POST", "/events/x", "prompt").body shouldBe "id: 1\ndata: 1\n\n"
        }
    }

    // A 200 with a length of 0 was passed on for an answer whose body had not begun.
    test("a success with neither a length nor chunks that ends after its head is not passed on as an empty answer") {
        withSite(LARGE_BUDGET) {
            configure()
            val caller = connect()
            forEachEnd { endsWithReset, isKept ->
                withClue("reset: $endsWithReset, kept: $isKept") {
                    setRawAnswer(endsWithReset) { headOf(it, framing = "") }
                    callForNoAnswer(caller, "/once/x", isKept)
                    warmUp(caller, isKept)
                    callBesideRawAnswer(caller)
                    warmUp(caller, isKept)
                    endpoints[0].behaviours.add(Behaviour.RAW)
                    while (endpoints[0].behaviours.isNotEmpty()) {
                        caller.call("POST", "/stream/x", "prompt").body shouldBe allEvents
                    }
                }
            }
        }
    }

    // The status of the head that was cut came with the headers and the body of the one that followed it.
    test("a head that is cut and followed by another one is not passed on with the first one's status") {
        withSite(LARGE_BUDGET) {
            configure()
            val caller = connect()
            val error = "HTTP/1.1 500 Internal Server Error"
            for (cutBytes in 1..headOf("id-1000").length) {
                withClue("200 cut after $cutBytes bytes, followed by 500") {
                    setRawAnswer { headOf(it).take(cutBytes) + headOf(it, "Content-Length: 0\r\n", error) }
                    callForNoAnswer(caller, "/once/x", isKept = cutBytes % 2 == 0)
                }
                withClue("503 cut after $cutBytes bytes, followed by 200") {
                    setRawAnswer {
                        headOf(it, statusLine = "HTTP/1.1 503 X").take(cutBytes) +
                            headOf(it, "Content-Length: 5\r\n") + "hello"
                    }
                    callForNoAnswer(caller, "/once/x", isKept = cutBytes % 2 == 0)
                }
            }
        }
    }

    test("a caller's request that is cut at any byte does not run") {
        withSite {
            configure()
            val request = "POST /once/x HTTP/1.1\r\nHost: site.example\r\nX-Daisybend-Attempt-Id: cut\r\n" +
                "X-Api-Key: k1\r\nTransfer-Encoding: chunked\r\n\r\n12\r\n${"x".repeat(0x12)}\r\n0\r\nX-T: 1\r\n\r\n"
            val cutCallers = request.indices.map { cutBytes ->
                connect().also { it.sendRaw(request.take(cutBytes)) }
            }
            delay(TIME_TO_ARRIVE_MS)
            cutCallers.forEach { it.close() }
            delay(TIME_TO_ARRIVE_MS)
            ran.shouldBeEmpty()
            val caller = connect()
            caller.sendRaw(request)
            caller.read().status shouldBe 200
            ran shouldHaveSize 1
        }
    }
})
