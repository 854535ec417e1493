/*
 * The sends of one request: each opens or reuses a connection to one endpoint, writes the request and waits for the
 * head of the response. A send is withdrawn when the prompt of its request is quarantined.
 */
package io.daisybend.entry.exchange

import io.daisybend.entry.EventLog
import io.daisybend.entry.http.Connection
import io.daisybend.platform.EndpointResponseHeaders
import io.daisybend.platform.SendHeaders
import io.daisybend.serving.endpoint.Endpoint
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import java.util.concurrent.CopyOnWriteArrayList

/** Whether the endpoint got no request or said that it has not run and will not run it. */
internal val SendStart?.isKnownUnrun: Boolean
    get() = this is SendStart.NotSent || (this is SendStart.HeadReceived && headers.didNotRun)

/** A send to the endpoint of [selected]. */
internal class Send(private val selected: EndpointSelection.Selected, val tracked: TrackedExchange) {
    val endpoint: Endpoint get() = selected.endpoint

    /** When the endpoint was reserved, in milliseconds of the monotonic clock. */
    val reservedAtMs: Long get() = selected.reservedAtMs

    /** What the endpoint responded, or null. */
    @Volatile
    var start: SendStart? = null

    /** Exchanges that the connection had completed when the request was written, or null before that. */
    @Volatile
    var connectionUses: Int? = null

    /** The VM that relays the connection, or null for a direct one. */
    @Volatile
    var relayedBy: String? = null

    /** When the request began to be written, in milliseconds of the monotonic clock, or null before that. */
    @Volatile
    var writtenAtMs: Long? = null

    /** The response, if its head was received. */
    val received: SendStart.HeadReceived? get() = start as? SendStart.HeadReceived

    /** Whether the endpoint may run, or may have run, the request. */
    val mayHaveRun: Boolean get() = connectionUses != null && !start.isKnownUnrun

    /** What is known of the send, for the log. */
    fun describe(): String {
        val connection = when (val uses = connectionUses) {
            null -> "no connection"
            0 -> "new connection"
            else -> "connection used $uses times"
        } + relayedBy?.let { " through $it" }.orEmpty()
        val state = when (val start = start) {
            null -> if (connectionUses == null) "not written" else "written"
            is SendStart.NotSent -> "not sent"
            is SendStart.NoResponse -> "no response"
            is SendStart.HeadReceived -> if (start.headers.didNotRun) "refused" else "status ${start.head.status}"
        }
        return "${endpoint.incarnation.id}: $state, $connection"
    }
}

/** The sends of [admitted]. */
internal class RequestSends(
    private val admitted: AdmittedRequest,
    private val connections: EndpointConnections,
    private val endpointPool: EndpointPool,
    private val log: EventLog,
    private val steadyMs: () -> Long,
) {
    private val sends = CopyOnWriteArrayList<Send>()

    /** Ids of the endpoints that the request was sent to, in order. */
    val endpointsUsed: List<String> get() = sends.map { it.endpoint.incarnation.id }

    /** Sends that were only offers and that were refused as not run. */
    @Volatile
    var refusedOffers = 0

    /** Number of sends that count as attempts. */
    val attempts: Int get() = sends.size - refusedOffers

    private val remainingMs: Long get() = admitted.deadlineAtMs - steadyMs()

    /** Begins a send to the endpoint of [selected] and reserves its load until [end]. */
    fun begin(selected: EndpointSelection.Selected): Send {
        val endpoint = selected.endpoint
        val tracked = endpointPool.exchanges.begin(endpoint, admitted.caller.demand)
        endpointPool.outcomes.recordBegun(endpoint, selected.reservedAtMs)
        return Send(selected, tracked).also(sends::add)
    }

    /** Whether an endpoint may run, or may have run, the request because of any send, also one that goes on. */
    val mayHaveRun: Boolean get() = sends.any { it.mayHaveRun }

    /** What is known of each send, in order, for the log. */
    fun describe(): List<String> = sends.map { it.describe() }

    /** Ends [send]; closes its connection unless the exchange is complete. */
    fun end(send: Send) {
        send.received?.exchange?.finish()
        endpointPool.exchanges.end(send.tracked)
        val isAborted = send.writtenAtMs != null && send.received?.exchange?.body?.isComplete != true
        if (endpointPool.outcomes.recordEnded(send.endpoint, isAborted)) endpointPool.onEndpointsChanged()
    }

    private fun recordAnswer(send: Send, start: SendStart) {
        val response = start as? SendStart.HeadReceived ?: return
        val outcomes = endpointPool.outcomes
        if (response.headers.isFrom(send.endpoint.incarnation.id)) {
            outcomes.recordBrittle(send.endpoint, response.headers.brittle)
        }
        val isTurnedAway = response.headers.didNotRun && response.head.status in statusesOfFullEndpoints
        send.writtenAtMs?.let { outcomes.recordAnswered(send.endpoint, it, isTurnedAway) }
    }

    /**
     * Sends the request and waits for the head of the response, which the send then has. The events after
     * [lastEventId] are requested; a long body may still be written in [writeScope] after the return.
     */
    suspend fun transmit(send: Send, lastEventId: String?, writeScope: CoroutineScope) {
        val start = unlessQuarantined {
            // A cancellation must not lose a response that has arrived: its connection would stay open.
            startSend(
                connections,
                writeScope,
                admitted.request,
                send.endpoint,
                headersFor(send.endpoint, lastEventId),
                connectTimeoutMs = remainingMs.coerceIn(1, CONNECT_TIMEOUT_MS),
                guardOf(send),
            ).also {
                send.start = it
                recordAnswer(send, it)
            }
        }
        if (send.start == null) send.start = start
    }

    private fun headersFor(endpoint: Endpoint, lastEventId: String?) = SendHeaders(
        deadlineMs = remainingMs.coerceAtLeast(1),
        expectedInstance = endpoint.incarnation.id,
        team = admitted.team?.name,
        enginePriority = admitted.service.engine?.let { admitted.priority.coerceIn(0, LOWEST_PRIORITY) },
        lastEventId = lastEventId,
    )

    private fun guardOf(send: Send) = object : SendGuard {
        private val endpoint = send.endpoint

        override fun maySend(): Boolean {
            val now = steadyMs()
            send.writtenAtMs = now
            return endpointPool.outcomes.mayStillSend(endpoint, send.reservedAtMs, now)
                .also { if (!it) send.writtenAtMs = null }
        }

        override val mayMove = admitted.route.mayRetry

        override fun onWriting(connection: Connection) {
            send.relayedBy = connection.relayedBy
            send.connectionUses = connection.completedExchanges
        }

        override fun onUnrelated(status: Int, headers: EndpointResponseHeaders) = log.write(
            "response-discarded",
            "request" to admitted.request.attemptId,
            "endpoint" to endpoint.incarnation.id,
            "named" to headers.attemptId,
            "status" to status,
            "notRun" to headers.didNotRun,
            "connectionUses" to send.connectionUses,
        )

        override fun onHead(headers: EndpointResponseHeaders) {
            if (headers.saysLeaving(endpoint.incarnation.id)) endpointPool.outcomes.recordLeaving(endpoint)
            endpointPool.loads.onResponse(endpoint, headers)
        }
    }

    /** Runs [send], or cancels it once the prompt is quarantined: an engine that has not begun the answer drops it. */
    private suspend fun unlessQuarantined(send: suspend () -> SendStart): SendStart {
        if (admitted.sharedPartIds.isEmpty()) return send()
        return coroutineScope {
            val sending = async { send() }
            val quarantined = launch { endpointPool.awaitQuarantine(admitted) }
            select {
                sending.onAwait { it }
                quarantined.onJoin { takeBack(sending) }
            }.also { quarantined.cancel() }
        }
    }

    /** Cancels [sending], unless the endpoint has already responded. */
    private suspend fun takeBack(sending: Deferred<SendStart>): SendStart {
        sending.cancel()
        return try {
            sending.await()
        } catch (expectedCancellation: CancellationException) {
            SendStart.NoResponse("its prompt parts were quarantined", withdrawn = true)
        }
    }

    private companion object {
        const val LOWEST_PRIORITY = 9

        /** Statuses of endpoints that have no room for a request, or want no more of them. */
        val statusesOfFullEndpoints = setOf(429, 503)

        /** Timeout for opening a connection, in milliseconds: a few round trips. */
        const val CONNECT_TIMEOUT_MS = 400L
    }
}
