/*
 * Fake endpoint that follows the platform's published interface. A queue of behaviours determines how it handles the
 * next requests; it serves requests normally while the queue is empty.
 */
package io.daisybend.entry.standin

import io.daisybend.entry.http.ByteSource
import io.daisybend.entry.http.encodeChunk
import io.daisybend.entry.http.encodeHead
import io.daisybend.entry.http.writeAll
import io.daisybend.entry.http.writeLastChunk
import io.daisybend.platform.Header
import kotlinx.coroutines.delay
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.random.Random

/** How the endpoint handles one request. */
internal enum class Behaviour {
    SERVE,
    LOSE_RESPONSE,
    REJECT,

    /** Turns the request away after a pause of [FakeEndpoint.pauseMs]. */
    REJECT_LATE,

    /** Says that the request is meant for another instance. */
    MISDIRECT,

    /** Turns the request away for the time of [FakeEndpoint.shedFor]. */
    SHED,

    /** Writes the last refusal on the connection once more, and then serves the request. */
    REPEAT_REFUSAL,

    /** As [REPEAT_REFUSAL], but the repeated refusal does not name the request. */
    REPEAT_REFUSAL_UNNAMED,

    /** Says in an interim head that the endpoint is leaving, and then serves the request. */
    LEAVE_IN_INTERIM_HEAD,

    /** Sends half of a stream, and then a byte now and then without end. */
    DRIP,

    /** Serves a stream with a pause of [FakeEndpoint.pauseMs] in its middle. */
    SLOW,

    /** Serves a stream after a pause of [FakeEndpoint.pauseMs]. */
    LATE,

    /** Sends half of a stream, stops listening and leaves the connection open. */
    VANISH,
    FAIL,
    EXTRA_RESPONSE,
    BREAK_MID_EVENT,

    /** Responds with neither a length nor chunks, and ends the connection after the response. */
    UNFRAMED,

    /** As [UNFRAMED], but ends the connection within an event. */
    UNFRAMED_BREAK_MID_EVENT,

    /** As [UNFRAMED], but the process ends between two events, or after half of a whole response. */
    UNFRAMED_CRASH,

    /** Resets the connection after the head and half of the response, which has a length. */
    RESET_WITH_LENGTH,

    /** As [RESET_WITH_LENGTH], but in chunks. */
    RESET_CHUNKED,

    /** As [RESET_WITH_LENGTH], but with neither a length nor chunks. */
    RESET_UNFRAMED,
    HANG,

    /** Responds at about the deadline that the request names. */
    AT_DEADLINE,
    UNSEALED,
    ENDLESS_HEAD,
    ENDLESS_BODY,
    ENDLESS_EVENT,
    LARGE_RESPONSE,

    /** Writes [FakeEndpoint.rawAnswer], and then ends the connection. */
    RAW,

    /** Ends the connection in the middle of a stream, and handles the rest as [RAW]. */
    RAW_REST,
}

internal class FakeEndpoint(val id: String) {
    /** Ends the process of the endpoint; called when it begins to answer a prompt with [DEADLY_PART]. */
    var crash: () -> Unit = {}

    /** The framing of the half of a response that [crashesUnder] sends, or null to send nothing. */
    @Volatile
    var crashFraming: List<Header>? = null

    /** Returns whether the process of the endpoint ends when it begins to run a request. */
    @Volatile
    var crashesUnder: (FakeServerCall) -> Boolean = { false }

    /** The id of the instance that has taken over the address of the endpoint, or null. */
    @Volatile
    var successorId: String? = null

    /** The status of [Behaviour.FAIL]. */
    @Volatile
    var failureStatus = 500

    /** Number of open connections of the endpoint. */
    var connectionCount: () -> Int = { 0 }

    /** The port of the endpoint. */
    @Volatile
    var port = 0

    /** Closes the listening socket of the endpoint. */
    var stopListening: () -> Unit = {}

    /** Length of the pauses of [Behaviour.SLOW] and [Behaviour.LATE], in milliseconds. */
    @Volatile
    var pauseMs = 1_700L

    /** Time between half of a response and what follows it, in milliseconds; a reset discards what has not arrived. */
    @Volatile
    var halfMs = 50L

    /** Whether the entry in the list says that the endpoint drains. */
    @Volatile
    var isDraining = false

    /** Whether the entry in the list shows an engine, which holds no model and takes orders. */
    @Volatile
    var takesOrders = false

    /** The failure domain that the list of endpoints names. */
    @Volatile
    var zone = "north"

    /** The remaining cold time that the list of endpoints names, as JSON. */
    @Volatile
    var coldLeftMs = "0"

    /** Writes the entry of the endpoint to the list, as its heartbeats do. */
    var register: () -> Unit = {}

    /** The limit of requests that responses name, or null. */
    @Volatile
    var namedLimit: String? = null

    /** The version of its software that the list of endpoints names. */
    @Volatile
    var version = "v1"

    /** Whether all responses say that the endpoint is leaving. */
    @Volatile
    var isLeaving = false

    /** Seconds for which [Behaviour.SHED] turns requests away, as written in the response, or null to name none. */
    @Volatile
    var shedFor: String? = null

    /** The bytes that [Behaviour.RAW] writes for the attempt with an id, in ISO 8859-1. */
    @Volatile
    var rawAnswer: (String) -> String = { "" }

    /** Whether [Behaviour.RAW] resets the connection instead of closing it in order. */
    @Volatile
    var rawEndsWithReset = false

    /** Length of the body of [Behaviour.LARGE_RESPONSE], in bytes. */
    @Volatile
    var largeResponseBytes = 200_000

    /** Whether responses keep their connections open. */
    @Volatile
    var keepsConnections = true

    /** Whether the reports of the endpoint list the requests that it works on. */
    @Volatile
    var listsRuns = false

    /** Number of events that the reports of the endpoint name for each request that it works on. */
    @Volatile
    var eventsMade = BREAK_AT_EVENT - 1

    /** What the endpoint takes while it is brittle and says so, or null. */
    @Volatile
    var brittle: BrittleCapacity? = null

    /** Attempt ids of the requests that the endpoint works on. */
    private val running = ConcurrentHashMap.newKeySet<String>()

    /** Requests that were turned away. */
    val turnedAway = CopyOnWriteArrayList<FakeServerCall>()

    /** The last refused attempt by connection. */
    private val refusedIds = ConcurrentHashMap<ByteSource, String>()

    /** Behaviours for the next requests. */
    val behaviours = ConcurrentLinkedQueue<Behaviour>()

    /** Orders, which are all refused, with the times of their arrivals in milliseconds of the monotonic clock. */
    val orders = CopyOnWriteArrayList<Pair<Long, String>>()

    /** Requests that ran. */
    val ran = CopyOnWriteArrayList<FakeServerCall>()

    /** Attempt ids of requests that ran and whose connection was closed before a response. */
    val abandoned = CopyOnWriteArrayList<String>()

    suspend fun handle(call: FakeServerCall) {
        if (call.header("X-Daisybend-Expect-Instance") != (successorId ?: id)) return call.respond(421)
        if (call.head.path == "/daisybend/report") {
            return call.respond(200, report().encodeToByteArray(), listOfNotNull(brittleHeader()))
        }
        if (call.head.path == "/daisybend/order") {
            orders.add(System.nanoTime() / NANOS_PER_MILLI to call.body.decodeToString())
            return call.respond(409)
        }
        brittle?.let { return serveBrittle(call, it) }
        val behaviour = behaviours.poll() ?: Behaviour.SERVE
        if (behaviour in refusals) return refuse(call, behaviour)
        refusedIds[call.source]?.let { repeatRefusal(call, behaviour, it) }
        if (behaviour == Behaviour.LEAVE_IN_INTERIM_HEAD) {
            call.sink.writeAll(encodeHead("HTTP/1.1 103 Early Hints", listOf(leaving)))
        }
        ran.add(call)
        if (crashesUnder(call)) return crashFraming?.let { sendHalf(call, it) { crash() } } ?: crash()
        val id = call.header("X-Daisybend-Attempt-Id")!!
        running.add(id)
        try {
            run(call, behaviour)
        } finally {
            running.remove(id)
        }
    }

    private fun brittleHeader() = brittle?.let { Header("Server-Brittle", it.limit.toString()) }

    private suspend fun serveBrittle(call: FakeServerCall, capacity: BrittleCapacity) {
        if (!capacity.enter(crash)) return call.respond(503, headers = ownHeaders(call) + notExecuted)
        ran.add(call)
        capacity.run { serve(call, Behaviour.SERVE) }
    }

    private suspend fun refuse(call: FakeServerCall, behaviour: Behaviour) {
        turnedAway.add(call)
        refusedIds[call.source] = call.header("X-Daisybend-Attempt-Id")!!
        if (behaviour == Behaviour.REJECT_LATE) delay(pauseMs)
        if (behaviour == Behaviour.MISDIRECT) return call.respond(421, headers = ownHeaders(call))
        val retryAfter = shedFor?.takeIf { behaviour == Behaviour.SHED }?.let { Header("Retry-After", it) }
        call.respond(503, headers = ownHeaders(call) + listOfNotNull(notExecuted, retryAfter))
    }

    private fun report(): String {
        val runs = running.joinToString { """["$it",100,$eventsMade,5]""" }
        return REPORT.removeSuffix("}") + if (listsRuns) ""","runs":[$runs]}""" else "}"
    }

    private suspend fun run(call: FakeServerCall, behaviour: Behaviour) {
        when (behaviour) {
            Behaviour.LOSE_RESPONSE -> call.closeConnection()
            Behaviour.FAIL -> call.respond(failureStatus, "failed".encodeToByteArray(), ownHeaders(call))
            Behaviour.HANG -> if (!call.source.fill()) abandoned.add(call.header("X-Daisybend-Attempt-Id")!!)
            Behaviour.AT_DEADLINE -> {
                val deadlineMs = call.header("X-Daisybend-Deadline-Ms")!!.toLong()
                delay(deadlineMs + Random.nextLong(-AROUND_DEADLINE_MS, AROUND_DEADLINE_MS))
                call.respond(504, headers = ownHeaders(call))
            }
            Behaviour.UNSEALED -> call.respond(200, "x".encodeToByteArray(), listOf(ownHeaders(call).first()))
            Behaviour.LARGE_RESPONSE -> call.respond(200, ByteArray(largeResponseBytes), ownHeaders(call))
            Behaviour.ENDLESS_HEAD -> sendWithoutEnd(call, "HTTP/1.1 200 OK\r\nX-Filler: ".encodeToByteArray(), filler)
            Behaviour.ENDLESS_BODY -> sendWithoutEnd(call, encodeHead("HTTP/1.1 200 OK", ownHeaders(call)), filler)
            Behaviour.ENDLESS_EVENT -> sendWithoutEnd(
                call,
                encodeHead("HTTP/1.1 200 OK", ownHeaders(call) + chunked),
                encodeChunk(filler),
            )
            Behaviour.UNFRAMED_CRASH -> sendHalf(call, emptyList()) { crash() }
            Behaviour.RESET_WITH_LENGTH ->
                sendHalf(call, listOf(Header("Content-Length", "1000"))) { call.resetConnection() }
            Behaviour.RESET_CHUNKED -> sendHalf(call, chunked) { call.resetConnection() }
            Behaviour.VANISH -> sendHalf(call, chunked) {
                stopListening()
                call.source.fill()
            }
            Behaviour.DRIP -> sendHalf(call, chunked) { drip(call) }
            Behaviour.RAW -> writeRaw(call)
            Behaviour.RAW_REST ->
                if (call.header("Last-Event-Id") == null) {
                    sendHalf(call, chunked) { call.closeConnection() }
                } else {
                    writeRaw(call)
                }
            Behaviour.RESET_UNFRAMED -> sendHalf(call, emptyList()) { call.resetConnection() }
            else -> serve(call, behaviour)
        }
    }

    private suspend fun repeatRefusal(call: FakeServerCall, behaviour: Behaviour, refusedId: String) {
        val id = Header("X-Daisybend-Attempt-Id", refusedId)
        when (behaviour) {
            Behaviour.REPEAT_REFUSAL -> call.respond(503, headers = listOf(notExecuted, id))
            Behaviour.REPEAT_REFUSAL_UNNAMED -> call.respond(503, headers = listOf(notExecuted))
            else -> Unit
        }
    }

    /** Sends half of the events of a stream, or of a whole response, with [framing], and then calls [end]. */
    private suspend fun sendHalf(call: FakeServerCall, framing: List<Header>, end: suspend () -> Unit) {
        val isStream = streamPaths.any { call.head.path.startsWith(it) }
        val firstEvent = (call.header("Last-Event-Id")?.toInt() ?: 0) + 1
        val half = if (isStream) {
            (firstEvent until BREAK_AT_EVENT).joinToString("") { "id: $it\ndata: $it\n\n" }
        } else {
            id
        }.encodeToByteArray()
        val body = if (framing == chunked) encodeChunk(half) else half
        call.sink.writeAll(encodeHead("HTTP/1.1 200 OK", ownHeaders(call) + framing), body)
        delay(halfMs)
        end()
    }

    private suspend fun serve(call: FakeServerCall, behaviour: Behaviour) {
        val isUnframed = behaviour == Behaviour.UNFRAMED || behaviour == Behaviour.UNFRAMED_BREAK_MID_EVENT
        if (streamPaths.none { call.head.path.startsWith(it) }) {
            val body = "$id:${call.body.decodeToString()}".encodeToByteArray()
            if (isUnframed) {
                call.sink.writeAll(encodeHead("HTTP/1.1 200 OK", ownHeaders(call)), body)
                return call.closeConnection()
            }
            call.respond(200, body, ownHeaders(call))
            if (behaviour == Behaviour.EXTRA_RESPONSE) {
                delay(EXTRA_DELAY_MS)
                call.respond(200, "extra".encodeToByteArray(), ownHeaders(call))
            }
            return
        }
        if (DEADLY_PART in call.header("X-Daisybend-Prompt-Prefix").orEmpty()) {
            call.sink.writeAll(encodeHead("HTTP/1.1 200 OK", ownHeaders(call) + chunked))
            return crash()
        }
        if (behaviour == Behaviour.LATE) delay(pauseMs)
        val firstEvent = (call.header("Last-Event-Id")?.toInt() ?: 0) + 1
        val framing = if (isUnframed) emptyList() else chunked
        call.sink.writeAll(encodeHead("HTTP/1.1 200 OK", ownHeaders(call) + framing))
        val breaksOff = behaviour == Behaviour.BREAK_MID_EVENT || behaviour == Behaviour.UNFRAMED_BREAK_MID_EVENT
        for (number in firstEvent..EVENTS) {
            val isCut = breaksOff && number == BREAK_AT_EVENT
            if (behaviour == Behaviour.SLOW && number == BREAK_AT_EVENT) delay(pauseMs)
            val bytes = (if (isCut) "id: $number\nda" else "id: $number\ndata: $number\n\n").encodeToByteArray()
            call.sink.writeAll(if (isUnframed) bytes else encodeChunk(bytes))
            if (isCut) return call.closeConnection()
        }
        if (isUnframed) call.closeConnection() else call.sink.writeLastChunk()
    }

    private suspend fun writeRaw(call: FakeServerCall) {
        val answer = rawAnswer(call.header("X-Daisybend-Attempt-Id")!!)
        call.sink.writeAll(answer.toByteArray(Charsets.ISO_8859_1))
        // A reset discards what has not arrived.
        delay(RAW_MS)
        if (rawEndsWithReset) call.resetConnection() else call.closeConnection()
    }

    private suspend fun drip(call: FakeServerCall) {
        while (true) {
            call.sink.writeAll(encodeChunk(byte))
            delay(DRIP_MS)
        }
    }

    /** Writes until the connection closes. */
    private suspend fun sendWithoutEnd(call: FakeServerCall, start: ByteArray, piece: ByteArray) {
        call.sink.writeAll(start)
        while (true) call.sink.writeAll(piece)
    }

    private fun ownHeaders(call: FakeServerCall) = listOfNotNull(
        Header("X-Daisybend-Attempt-Id", call.header("X-Daisybend-Attempt-Id")!!),
        Header("X-Daisybend-Response-Seal", "seal"),
        namedLimit?.let { Header("Server-Limit", it) },
        leaving.takeIf { isLeaving },
        brittleHeader(),
        Header("Connection", "close").takeIf { !keepsConnections },
    )

    companion object {
        const val EVENTS = 6
        private const val REPORT = """{"stage":"both","models":[],"busy":false,"seqNo":0,"queued":0,"running":0}"""
        const val DEADLY_PART = "dead"
        private val refusals =
            setOf(Behaviour.REJECT, Behaviour.REJECT_LATE, Behaviour.MISDIRECT, Behaviour.SHED)
        private val streamPaths = listOf("/stream/", "/events/")
        private const val BREAK_AT_EVENT = 4
        private const val EXTRA_DELAY_MS = 30L

        private const val NANOS_PER_MILLI = 1_000_000L
        private const val DRIP_MS = 250L
        private const val RAW_MS = 5L
        private const val AROUND_DEADLINE_MS = 4L
        private val byte = byteArrayOf(':'.code.toByte())
        private val leaving = Header("Server-Leaving", "1")
        private val notExecuted = Header("X-Daisybend-Not-Executed", "1")
        private val chunked = listOf(Header("Transfer-Encoding", "chunked"))
        private val filler = ByteArray(4_096) { 'x'.code.toByte() }
    }
}
