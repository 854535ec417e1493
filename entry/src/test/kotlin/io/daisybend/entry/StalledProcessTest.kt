package io.daisybend.entry

import io.daisybend.entry.standin.EntryProcess
import io.daisybend.entry.standin.ProcessSite
import io.daisybend.entry.standin.TestCaller
import io.daisybend.entry.standin.withProcessSite
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** As many as a selector needs some time to read from. */
private const val CALLERS = 150
private const val ANSWER_TIMEOUT_MS = 5_000L

/** Idle time-out of callers' connections, in milliseconds: longer than it takes to open all of them, and [IDLE_MS]. */
private const val IDLE_TIMEOUT_MS = 4_000L

/** Age of the last contact with the store up to which keys are accepted, in milliseconds: well over the pause. */
private const val KEYS_CONFIRMED_MS = 20_000L

/** Time between the last answer and the next request on its connection, in milliseconds. */
private const val IDLE_MS = 500L

/** Times after SIGTERM: before the close of the listening socket, and from there to after it, in milliseconds. */
private const val BEFORE_CLOSE_MS = 1_500L
private const val BEYOND_CLOSE_MS = 2_000L

private const val LIMITS = """"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":3000,""" +
    """"idleTimeoutMs":$IDLE_TIMEOUT_MS}"""

private suspend fun ProcessSite.connectCallers(vm: EntryProcess): List<TestCaller> =
    List(CALLERS) { site.connect(vm.callerPort).also { caller -> caller.call("GET", "/safe/x").status shouldBe 200 } }

/** What each of the callers reads, or why it reads nothing. */
private suspend fun List<TestCaller>.answers(): List<String> = map { caller ->
    try {
        withTimeoutOrNull(ANSWER_TIMEOUT_MS) { "status ${caller.read().status}" } ?: "nothing"
    } catch (ended: IOException) {
        "an end: ${ended.message}"
    }
}

/** Stands [vm] still while the callers send their next requests, until [standsMs] after that. */
private suspend fun List<TestCaller>.sendWhileStandingStill(vm: EntryProcess, standsMs: Long) {
    vm.signal("STOP")
    forEach { it.send("GET", "/safe/x") }
    delay(standsMs)
    vm.signal("CONT")
}

class StalledProcessTest : FunSpec({
    // A VM that had stood still closed connections as idle whose next request had arrived within the idle time-out.
    test("a request that came within the idle time-out while the VM stood still is answered") {
        withProcessSite {
            // With older keys than this a VM that was away from the store refuses requests, before or after the pause.
            val vm = startProcess("bounds.revokeMs=$KEYS_CONFIRMED_MS")
            val configuration = site.configurationOf(2, "\"k1\"", 15_000, 2_500).removeSuffix("}") + ",$LIMITS}"
            site.store.put("keyed.op", "config", configuration)
            eventually(5.seconds) { vm.log.any { "\"version\":2" in it } shouldBe true }
            val connectedAt = TimeSource.Monotonic.markNow()
            val callers = connectCallers(vm)
            delay(IDLE_MS)
            connectedAt.elapsedNow().inWholeMilliseconds shouldBeLessThan IDLE_TIMEOUT_MS * 4 / 5
            callers.sendWhileStandingStill(vm, IDLE_TIMEOUT_MS)
            val answers = callers.answers()
            val refusal = vm.log.lastOrNull { "request-refused" in it }
            withClue("${answers.count { it == "status 200" }} of $CALLERS answered, last refusal: $refusal") {
                answers.filter { it != "status 200" }.shouldBeEmpty()
            }
        }
    }

    // A VM that had stood still closed connections as idle whose next request had come before its listening socket
    // closed.
    test("a request that came during a stop while the VM stood still is answered") {
        withProcessSite {
            val vm = startProcess("bounds.graceS=8")
            val callers = connectCallers(vm)
            vm.signal("TERM")
            delay(BEFORE_CLOSE_MS)
            callers.sendWhileStandingStill(vm, BEYOND_CLOSE_MS)
            val answers = callers.answers()
            withClue("${answers.count { it.startsWith("status ") }} of $CALLERS answered") {
                answers.filter { !it.startsWith("status ") }.shouldBeEmpty()
            }
        }
    }
})
