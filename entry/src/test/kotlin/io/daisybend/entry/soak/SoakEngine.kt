/*
 * An engine of the site, model engine or plain. It records its runs, and can be silent, fail, refuse, drain and end.
 */
package io.daisybend.entry.soak

import io.daisybend.entry.http.ByteSource
import io.daisybend.entry.http.encodeChunk
import io.daisybend.entry.http.encodeHead
import io.daisybend.entry.http.writeAll
import io.daisybend.entry.http.writeLastChunk
import io.daisybend.entry.standin.FakeServer
import io.daisybend.entry.standin.FakeServerCall
import io.daisybend.entry.standin.FakeStore
import io.daisybend.platform.Header
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import java.io.IOException
import java.util.Random
import java.util.concurrent.ConcurrentHashMap

/** How an engine handles requests. */
internal enum class EngineMood { SOUND, FAILING, REFUSING, BREAKING, EXTRA_ANSWERS }

/** How an engine turns some of its requests away, or seems to. */
internal sealed interface EngineRefusal {
    data class AtOnce(val status: Int) : EngineRefusal

    /** After a silence of [silenceMs]. */
    data class Late(val silenceMs: Long) : EngineRefusal

    /** Runs the request, and answers with [status] and no word on whether it has run. */
    data class Unmarked(val status: Int) : EngineRefusal
}

/** Header with the shape of the answer that a caller wants: events, pause between them in ms, bytes of padding. */
internal const val SHAPE_HEADER = "X-Soak-Shape"

/** The engine [firstId] of [service]. */
internal class SoakEngine(
    firstId: String,
    private val service: String,
    private val scope: CoroutineScope,
    private val store: FakeStore,
    private val ledger: SoakLedger,
    private val timeline: SoakTimeline,
    private val isProxied: Boolean,
    private val ignoresClose: Boolean,
    private val listsRuns: Boolean,
    /** Whether the engine writes refusals once more, where the next answer on the connection is due. */
    private val repeatsRefusals: Boolean = false,
    seed: Long = 0,
) {
    private val random = Random(seed)
    private val refusalsToRepeat = ConcurrentHashMap<ByteSource, suspend (FakeServerCall) -> Unit>()
    private val server = FakeServer(scope, ::handle)
    private val running = ConcurrentHashMap.newKeySet<Run>()

    @Volatile
    var id = firstId
        private set

    @Volatile
    private var bornMs = System.currentTimeMillis()

    @Volatile
    private var isListed = true

    @Volatile
    private var isDraining = false

    @Volatile
    private var isDown = false

    @Volatile
    var mood = EngineMood.SOUND

    /** What happens to half of the requests, or null. */
    @Volatile
    var refusal: EngineRefusal? = null

    /** The engine writes nothing before this time of the time line. */
    @Volatile
    var silentUntilMs = 0L

    var proxy: SoakProxy? = null
        private set

    private var writes = 0

    suspend fun start(selector: SelectorManager): SoakEngine {
        server.start(selector)
        if (isProxied) proxy = SoakProxy(server.port)
        publish()
        scope.launch {
            while (isActive) {
                delay(HEARTBEAT_MS)
                if (isListed) publish()
            }
        }
        return this
    }

    @Synchronized
    private fun publish() {
        val port = proxy?.port ?: server.port
        val models = if (service == "llm") ""","models":[$MODEL],"atHand":{"inMemory":[],"onDisk":["m1"]}""" else ""
        val state = if (isDraining) "draining" else "ready"
        val text = """{"service":"$service","address":"127.0.0.1:$port","zone":"north","version":"v1","slots":24,
            "state":"$state","coldLeftMs":0,"seqNo":${writes++},"busy":false,"born":$bornMs$models}"""
        if (isListed) store.put("keyed.servers", id, text)
    }

    @Synchronized
    private fun unlist() {
        isListed = false
        store.put("keyed.servers", id, null)
    }

    /** Leaves as planned: [isAnnounced] if its entry says so first; otherwise the entry goes and it serves on. */
    suspend fun leave(isAnnounced: Boolean) {
        timeline.note("engine $id leaves, announced: $isAnnounced")
        if (isAnnounced) isDraining = true else unlist()
        if (isAnnounced) publish()
        delay(DRAIN_MS)
        // Requests in progress are finished before the end, as far as that takes a few seconds.
        val endAtMs = timeline.nowMs + FINISH_MS
        while (running.isNotEmpty() && timeline.nowMs < endAtMs) delay(POLL_MS)
        unlist()
        timeline.note("engine $id is gone")
        end()
        server.stopListening()
        // What the engine has written arrives although its process ends.
        delay(IN_TRANSIT_MS)
        proxy?.close()
    }

    /** Ends at once, and is back after [downMs] under [nextId]; [isUnlisted] if its entry goes first. */
    suspend fun crash(downMs: Long, nextId: String, isUnlisted: Boolean) {
        // It has ended before.
        if (isDown) return
        timeline.note("engine $id crashes with ${running.size} runs, back in $downMs ms as $nextId")
        end()
        server.crash(downMs)
        if (isUnlisted) unlist() else isListed = false
        delay(downMs + RESTART_MS)
        if (nextId != id) unlist()
        id = nextId
        bornMs = System.currentTimeMillis()
        isDown = false
        isListed = true
        publish()
        timeline.note("engine $id is back")
    }

    /** Goes on as the instance [nextId], which the list names [staleMs] later; its runs end, open connections stay. */
    suspend fun changeInstance(nextId: String, staleMs: Long) {
        if (isDown || !isListed) return
        val before = id
        timeline.note("engine $before is now $nextId, listed in $staleMs ms")
        isListed = false
        id = nextId
        endRuns()
        delay(staleMs)
        store.put("keyed.servers", before, null)
        bornMs = System.currentTimeMillis()
        isListed = true
        publish()
    }

    private fun end() {
        isDown = true
        endRuns()
    }

    private fun endRuns() = running.forEach { it.finish(RunEnd.BROKEN_OFF, timeline.nowMs) }

    private suspend fun handle(call: FakeServerCall) {
        if (isDown) return call.closeConnection()
        refusalsToRepeat.remove(call.source)?.invoke(call)
        val expected = call.header("X-Daisybend-Expect-Instance")
        if (expected != null && expected != id) return refuse(call, 421)
        when (call.head.path) {
            "/daisybend/report" -> return call.respond(200, report().encodeToByteArray())
            "/daisybend/order" -> return call.respond(200)
        }
        val attemptId = call.header("X-Daisybend-Attempt-Id") ?: return call.respond(400, headers = listOf(notExecuted))
        val named = Header("X-Daisybend-Attempt-Id", attemptId)
        if (mood == EngineMood.REFUSING) return refuse(call, 503)
        val refusal = refusal?.takeIf { random.nextBoolean() }
        if (refusal is EngineRefusal.AtOnce) return refuse(call, refusal.status)
        if (refusal is EngineRefusal.Late) {
            delay(refusal.silenceMs)
            return refuse(call, 503)
        }
        val firstEvent = (call.header("Last-Event-Id")?.toInt() ?: 0) + 1
        val run = ledger.run(id, attemptId, firstEvent, ignoresClose)
        running.add(run)
        try {
            work(call, run, named, (refusal as? EngineRefusal.Unmarked)?.status)
        } finally {
            running.remove(run)
            run.finish(RunEnd.DROPPED, timeline.nowMs)
        }
    }

    /** Answers [call] with [status] and as not run; the answer may come once more. */
    private suspend fun refuse(call: FakeServerCall, status: Int) {
        val named = call.header("X-Daisybend-Attempt-Id")?.let { Header("X-Daisybend-Attempt-Id", it) }
        val headers = listOfNotNull(named, notExecuted)
        call.respond(status, headers = headers)
        if (named == null || !repeatsRefusals || random.nextBoolean()) return
        refusalsToRepeat[call.source] = { next ->
            timeline.note("engine $id writes the refusal of ${named.value} once more")
            next.respond(status, headers = headers)
        }
    }

    /**
     * Works on [run] until it is done or, unless this engine ignores that, its connection is closed; fails with
     * [failureStatus] if that is set.
     */
    private suspend fun work(call: FakeServerCall, run: Run, named: Header, failureStatus: Int?) = coroutineScope {
        val working = launch {
            val shape = call.header(SHAPE_HEADER).orEmpty().split(',').map { it.toInt() }
            val headers = listOf(named, Header("X-Daisybend-Response-Seal", run.seal))
            try {
                when {
                    failureStatus != null -> fail(call, run, headers, failureStatus)
                    service == "llm" -> stream(call, run, headers, shape)
                    else -> answer(call, run, headers, shape)
                }
            } catch (closed: IOException) {
                if (!ignoresClose) throw closed
                delay(shape[0] * shape[1].toLong())
            }
        }
        val watching = launch {
            try {
                while (call.source.fill()) Unit
            } catch (expectedReset: IOException) {
                timeline.note("engine $id: connection of ${run.attemptId} was reset")
            }
            if (!ignoresClose) working.cancel()
        }
        working.join()
        watching.cancel()
    }

    private suspend fun pause(ms: Long) {
        delay(ms)
        while (timeline.nowMs < silentUntilMs) delay(POLL_MS)
    }

    private suspend fun answer(call: FakeServerCall, run: Run, headers: List<Header>, shape: List<Int>) {
        pause(shape[1].toLong())
        if (mood == EngineMood.FAILING) return fail(call, run, headers)
        run.body = "$id ran ${run.attemptId} as ${run.number} with ${call.body.decodeToString().hashCode()} " +
            "x".repeat(shape[2])
        if (mood == EngineMood.BREAKING) {
            run.finish(RunEnd.BROKEN_OFF, timeline.nowMs)
            val framing = Header("Content-Length", run.body.length.toString())
            call.sink.writeAll(encodeHead("HTTP/1.1 200 OK", headers + framing), run.body.take(4).encodeToByteArray())
            return call.closeConnection()
        }
        if (!run.finish(RunEnd.DONE, timeline.nowMs)) return call.closeConnection()
        call.respond(200, run.body.encodeToByteArray(), headers)
        if (mood == EngineMood.EXTRA_ANSWERS) {
            delay(POLL_MS)
            call.respond(200, run.body.encodeToByteArray(), headers)
        }
    }

    private suspend fun stream(call: FakeServerCall, run: Run, headers: List<Header>, shape: List<Int>) {
        val (events, gapMs, padding) = shape
        pause(gapMs.toLong())
        if (mood == EngineMood.FAILING) return fail(call, run, headers)
        val framing = listOf(Header("Content-Type", "text/event-stream"), Header("Transfer-Encoding", "chunked"))
        call.sink.writeAll(encodeHead("HTTP/1.1 200 OK", headers + framing))
        for (number in run.firstEvent..events) {
            val event = "id: $number\ndata: ${run.attemptId} $number " + "x".repeat(padding) + "\n\n"
            if (mood == EngineMood.BREAKING && number > events / 2) {
                run.finish(RunEnd.BROKEN_OFF, timeline.nowMs)
                call.sink.writeAll(encodeChunk(event.take(10).encodeToByteArray()))
                return call.closeConnection()
            }
            // The instance has ended.
            if (isDown || run.end != RunEnd.WORKING) return call.closeConnection()
            run.onEvent(timeline.nowMs)
            call.sink.writeAll(encodeChunk(event.encodeToByteArray()))
            pause(gapMs.toLong())
        }
        if (!run.finish(RunEnd.DONE, timeline.nowMs)) return call.closeConnection()
        call.sink.writeLastChunk()
    }

    private suspend fun fail(call: FakeServerCall, run: Run, headers: List<Header>, status: Int = 500) {
        if (!run.finish(RunEnd.FAILED, timeline.nowMs)) return call.closeConnection()
        call.respond(status, "failed".encodeToByteArray(), headers)
    }

    private fun report() = """{"stage":"both","models":[${if (service == "llm") MODEL else ""}],"busy":false,
        "seqNo":0,"queued":0,"running":${running.size},"kvUsed":0,"kvTotal":232000,"handles":0,"born":$bornMs,
        "runs":[${if (listsRuns) running.joinToString { """["${it.attemptId}",100,${it.eventCount},5]""" } else ""}]}"""

    private companion object {
        const val HEARTBEAT_MS = 1_200L
        const val DRAIN_MS = 2_000L
        const val FINISH_MS = 5_000L

        /** Time that the stand-in takes to close its connections and to listen again, in milliseconds. */
        const val RESTART_MS = 300L
        const val POLL_MS = 10L

        /** Time in which a link carries what was written, in milliseconds. */
        const val IN_TRANSIT_MS = 500L
        const val MODEL = """{"name":"m1","version":1,"adapters":[]}"""
        val notExecuted = Header("X-Daisybend-Not-Executed", "1")
    }
}
