package io.daisybend.entry

import io.daisybend.entry.standin.Cut
import io.daisybend.entry.standin.EndpointLink
import io.daisybend.entry.standin.FakeServerCall
import io.daisybend.entry.standin.Site
import io.daisybend.entry.standin.withSite
import io.kotest.assertions.assertSoftly
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.string.shouldContain
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import java.util.concurrent.CopyOnWriteArrayList

private const val VMS = 4
private const val INTERVAL_MS = 60L
private const val TRY_TIMEOUT_MS = 2_500L
private val paths = listOf("/once/x", "/safe/x", "/stream/x")
private val promises = setOf(408, 421, 429, 503)

/** Callers of VMs that were cut off from all endpoints were served far worse than those of the others. */
class CutOffVmTest : FunSpec({
    Cut.entries.forEach { cut ->
        listOf(1, VMS / 2).forEach { cutVms ->
            test("callers of $cutVms of $VMS VMs cut off from all endpoints are served as those of others: $cut") {
                withFleet { fleet -> fleet.playCut(cut, cutVms) }
            }
        }
    }

    test("callers are served while the VMs that help are cut off and killed in turn") {
        withFleet { fleet -> fleet.playLostHelpers() }
    }

    test("endpoints that are down for all VMs make none of them think that it is cut off") {
        withFleet { fleet -> fleet.playEndpointsDown() }
    }
})

private suspend fun withFleet(play: suspend (CutFleet) -> Unit) {
    val links = ArrayList<EndpointLink>()
    val lastScope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    try {
        withSite(prepare = { dialer = { EndpointLink(endpoints).also { links.add(it) } } }) {
            configure()
            val ports = listOf(callerPort) + (2..VMS).map { number ->
                val peerScope = if (number == VMS) lastScope else scope
                startPeer("vm-$number", peerScope, EndpointLink(endpoints).also { links.add(it) })
            }
            play(CutFleet(this, ports, links, killLast = { lastScope.cancel() }))
        }
    } finally {
        lastScope.cancel()
        links.forEach { it.close() }
    }
}

/** One try of a caller at the VM numbered [vm], and the status of its answer, or null without one. */
private data class Try(val vm: Int, val path: String, val id: String, val startedAtMs: Long, val status: Int?)

/** The VMs of [site], with their ports for callers and their links to the endpoints; the last one can be killed. */
private class CutFleet(
    private val site: Site,
    private val ports: List<Int>,
    private val links: List<EndpointLink>,
    private val killLast: () -> Unit,
) {
    private val tries = CopyOnWriteArrayList<Try>()
    private var number = 0

    private fun nowMs() = System.nanoTime() / 1_000_000

    suspend fun playCut(cut: Cut, cutVms: Int) {
        callFor(1_000)
        val cutAtMs = nowMs()
        links.take(cutVms).forEach { it.setCut(cut) }
        callFor(6_000)
        links.forEach { it.setCut(null) }
        callFor(2_000)
        val runsBefore = site.endpoints.associateWith { runsOf(1, it.ran) }
        val piecesBefore = site.endpoints.associateWith { links.first().piecesTo(it) }
        val healedAtMs = nowMs()
        callFor(1_500)
        delay(TRY_TIMEOUT_MS)
        val others = servedShare(cutAtMs + 3_000, cutAtMs + 6_000) { it > cutVms }
        val cutOff = servedShare(cutAtMs + 3_000, cutAtMs + 6_000) { it <= cutVms }
        assertSoftly {
            withClue("served at the others: $others, at those cut off: $cutOff") {
                others.values.min() shouldBeGreaterThanOrEqual 0.9
                paths.forEach { path ->
                    withClue(path) { cutOff.getValue(path) shouldBeGreaterThanOrEqual others.getValue(path) * 2 / 3 }
                }
            }
            withClue("after the cut: ${failures(healedAtMs)}") {
                servedShare(healedAtMs, nowMs()) { true }.values.min() shouldBeGreaterThanOrEqual 0.95
            }
            site.endpoints.forEach {
                val runs = runsOf(1, it.ran) - runsBefore.getValue(it)
                runs shouldBeGreaterThan 0
                links.first().piecesTo(it) - piecesBefore.getValue(it) shouldBeGreaterThanOrEqual runs
            }
            checkPromises()
        }
    }

    suspend fun playLostHelpers() {
        callFor(1_000)
        links[0].setCut(Cut.HANGING)
        callFor(2_000)
        links[1].setCut(Cut.HANGING)
        callFor(1_500)
        killLast()
        callFor(2_000)
        val settledAtMs = nowMs()
        callFor(3_000)
        delay(TRY_TIMEOUT_MS)
        assertSoftly {
            withClue(failures(settledAtMs)) {
                servedShare(settledAtMs, nowMs()) { it < VMS }.values.min() shouldBeGreaterThanOrEqual 0.9
            }
            checkPromises()
        }
    }

    suspend fun playEndpointsDown() {
        callFor(500)
        site.endpoints.forEach { it.crash() }
        links.indices.forEach { vm -> paths.forEach { path -> repeat(3) { call(vm + 1, path) } } }
        site.metrics() shouldContain "daisybend_cut_off 0.0"
        delay(2_000)
        val restartedAtMs = nowMs()
        callFor(1_000)
        delay(500)
        site.metrics() shouldContain "daisybend_cut_off 0.0"
        servedShare(restartedAtMs, nowMs()) { true }.values.min() shouldBeGreaterThanOrEqual 0.95
    }

    private fun failures(sinceMs: Long) =
        tries.filter { it.startedAtMs >= sinceMs && it.status != 200 }.groupingBy { it.vm to it.status }.eachCount()

    private fun checkPromises() {
        val runs = site.ran.groupingBy { it.header("X-Daisybend-Attempt-Id")!! }.eachCount()
        tries.filter { it.path == "/once/x" && (runs[it.id] ?: 0) > 1 }.shouldBeEmpty()
        tries.filter { it.status in promises && it.id in runs }.shouldBeEmpty()
    }

    private fun runsOf(vm: Int, ran: List<FakeServerCall>) =
        ran.count { it.header("X-Daisybend-Attempt-Id")!!.startsWith("vm-$vm:") }

    private fun servedShare(fromMs: Long, untilMs: Long, isCounted: (Int) -> Boolean): Map<String, Double> =
        tries.filter { it.startedAtMs in fromMs until untilMs && isCounted(it.vm) }
            .groupBy { it.path }
            .mapValues { (_, counted) -> counted.count { it.status == 200 } / counted.size.toDouble() }

    /** Makes a try at each VM and path every [INTERVAL_MS] for [durationMs]. */
    private suspend fun callFor(durationMs: Long) {
        val endsAtMs = nowMs() + durationMs
        while (nowMs() < endsAtMs) {
            ports.indices.forEach { vm -> paths.forEach { path -> site.scope.launch { call(vm + 1, path) } } }
            delay(INTERVAL_MS)
        }
    }

    private suspend fun call(vm: Int, path: String) {
        val startedAtMs = nowMs()
        val id = "vm-$vm:${synchronized(this) { number++ }}"
        val status = try {
            withTimeoutOrNull(TRY_TIMEOUT_MS) { answerTo(vm, path, id) }
        } catch (expectedBreak: IOException) {
            null
        }
        tries.add(Try(vm, path, id, startedAtMs, status))
    }

    private suspend fun answerTo(vm: Int, path: String, id: String): Int {
        val caller = site.connect(ports[vm - 1])
        try {
            caller.send("POST", path, "prompt", id = id)
            return caller.read().status
        } finally {
            caller.close()
        }
    }
}
