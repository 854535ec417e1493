package io.daisybend.entry

import io.daisybend.entry.standin.Behaviour
import io.daisybend.entry.standin.EntryProcess
import io.daisybend.entry.standin.withProcessSite
import io.daisybend.entry.standin.withSite
import io.daisybend.serving.site.SystemClockPair
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private const val GRACE_MS = 8_000L
private const val EXIT_TIMEOUT_MS = 2 * GRACE_MS
private const val SHORT_GRACE_MS = 3_000L

/** Time from a request to stop until the VM has started and can begin to stop, in milliseconds. */
private const val LATE_MS = 1_500L

/** Processes that are stopped at once. */
private const val STOPS = 3

/** A pause that ends a stream after the grace period, in milliseconds. */
private const val ENDLESS_PAUSE_MS = 20_000L

/** When the process of a stop had ended, and how long the stop took by its own log, in milliseconds since SIGTERM. */
private data class StopTimes(val exitedMs: Long, val loggedMs: Long)

private suspend fun EntryProcess.stopAndMeasure(): StopTimes {
    val signalledAt = TimeSource.Monotonic.markNow()
    signal("TERM")
    awaitExit(EXIT_TIMEOUT_MS) shouldBe 0
    val exitedMs = signalledAt.elapsedNow().inWholeMilliseconds
    val stopped = log.filter { "\"stopped\"" in it } shouldHaveSize 1
    return StopTimes(exitedMs, Regex("\"tookMs\":(\\d+)").find(stopped.single())!!.groupValues[1].toLong())
}

class StopDurationTest : FunSpec({
    // Processes were killed at the end of the grace period: the JVM waits up to 300 ms before it ends.
    test("a process whose requests last beyond the grace period ends within it, but not before its last sixth") {
        withProcessSite {
            val vms = List(STOPS) { startProcess("bounds.graceS=${GRACE_MS / 1_000}") }
            site.endpoints.forEach { it.pauseMs = ENDLESS_PAUSE_MS }
            repeat(STOPS) { site.queueForAll(Behaviour.SLOW) }
            vms.forEach { site.connect(it.callerPort).send("POST", "/events/x", "prompt") }
            eventually(2.seconds) { site.ran shouldHaveSize STOPS }
            val stops = coroutineScope { vms.map { async { it.stopAndMeasure() } }.awaitAll() }
            println("stops of $GRACE_MS ms: $stops")
            stops.forEach {
                withClue(it) {
                    it.exitedMs shouldBeLessThan GRACE_MS
                    it.loggedMs shouldBeGreaterThanOrEqual GRACE_MS * 5 / 6
                }
            }
        }
    }

    // The grace period counted from the end of the start: a process still ran 8 s after SIGTERM and would be killed.
    test("a stop that is requested while the VM still starts ends within the grace period since the request") {
        withSite("bounds.graceS=${SHORT_GRACE_MS / 1_000}") {
            configure()
            queueForAll(Behaviour.HANG)
            connect().send("POST", "/once/x", "call")
            eventually(2.seconds) { ran shouldHaveSize 1 }
            val requestedAtMs = SystemClockPair.read().steadyMs - LATE_MS
            vm.stop(requestedAtMs)
            SystemClockPair.read().steadyMs - requestedAtMs shouldBeLessThan SHORT_GRACE_MS
        }
    }
})
