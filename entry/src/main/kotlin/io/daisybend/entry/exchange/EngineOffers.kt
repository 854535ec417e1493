/*
 * Offers the request of a silent engine to other engines. An engine has accepted it once it sends the head of a
 * successful response; the request is then ended at the silent engine.
 */
package io.daisybend.entry.exchange

import io.daisybend.entry.EventLog
import io.daisybend.platform.EngineRun
import io.daisybend.serving.endpoint.Endpoint
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap

/** The engine that has a request, and what another one needs to go on with it. */
internal class OfferedRequest(
    val engine: Endpoint,
    val lastEventId: String?,
    val failedEndpoints: Set<String>,
    /** Number of events that the engine has sent. */
    val receivedEvents: Int,
    /** Whether the engine began the stream, so that it counts the events as this VM does. */
    val isFromStart: Boolean,
)

/** Offers [admitted], whose current state [offered] returns, to other engines. */
internal class EngineOffers(
    private val admitted: AdmittedRequest,
    private val endpointPool: EndpointPool,
    private val endDetector: EngineEndDetector,
    private val engineRuns: EngineRuns,
    private val sends: RequestSends,
    private val recorder: SendRecorder,
    private val log: EventLog,
    private val steadyMs: () -> Long,
    private val offered: () -> OfferedRequest?,
) : RequestOffers {
    /** Scope of writes that go on after the return of an offer. */
    lateinit var writeScope: CoroutineScope

    /** The engine whose last report counted events that had not arrived, and how many had, or null. */
    private var undelivered: Pair<Endpoint, Int>? = null

    /** Ids of the endpoints that got an offer and neither accepted nor refused it. */
    val failedEndpoints: MutableSet<String> = ConcurrentHashMap.newKeySet()

    /** The send of the engine that has accepted the request, or null. */
    @Volatile
    var accepted: Send? = null
        private set

    /** Returns and forgets the send of the engine that has accepted the request. */
    fun takeAccepted(): Send? = accepted.also { accepted = null }

    override suspend fun hasEngineEnded(): Boolean {
        val request = offered() ?: return false
        return endpointPool.hasAlternative(admitted, others(request)) && endDetector.hasEnded(request.engine)
    }

    override suspend fun isEngineAtWork(): Boolean {
        val request = offered() ?: return false
        if (admitted.service.engine == null || !endpointPool.hasAlternative(admitted, others(request))) return false
        val run = engineRuns.find(request.engine.entry, admitted.request.attemptId)
        val wasUndelivered = undelivered == request.engine to request.receivedEvents
        undelivered = (request.engine to request.receivedEvents).takeIf { run != null && request.lacksEventsOf(run) }
        if (run == null) return false
        val isConnectionDead = wasUndelivered && undelivered != null
        log.write(
            if (isConnectionDead) "silent-connection" else "silent-engine-at-work",
            "request" to admitted.request.attemptId,
            "endpoint" to request.engine.incarnation.id,
            "eventsMade" to run.eventCount,
            "eventsReceived" to request.receivedEvents,
        )
        return !isConnectionDead
    }

    private fun OfferedRequest.lacksEventsOf(run: EngineRun) = isFromStart && (run.eventCount ?: 0) > receivedEvents

    override suspend fun offer(): Boolean {
        val request = offered() ?: return false
        val send = sends.begin(chooseOther(request) ?: return false)
        logOffer("offered", send, "from" to request.engine.incarnation.id, "lastEvent" to request.lastEventId)
        var isDecided = false
        try {
            withTimeoutOrNull(OFFER_TIMEOUT_MS) { sends.transmit(send, request.lastEventId, writeScope) }
            if (send.received?.isAcceptance == true) accepted = send else onRefused(send)
            isDecided = true
        } finally {
            if (!isDecided) logOffer("offer-withdrawn", send, "status" to send.received?.head?.status)
            if (accepted !== send) sends.end(send)
        }
        return accepted === send
    }

    override fun withdraw() {
        val send = takeAccepted() ?: return
        logOffer("offer-withdrawn", send, "status" to send.received?.head?.status)
        send.received?.exchange?.abort()
        sends.end(send)
    }

    private fun chooseOther(request: OfferedRequest): EndpointSelection.Selected? {
        val mayOffer = sends.attempts < admitted.route.maxAttempts &&
            sends.refusedOffers < MAX_REFUSED_OFFERS &&
            admitted.deadlineAtMs - steadyMs() > MIN_OFFER_TIME_MS &&
            endpointPool.hasAlternative(admitted, others(request)) &&
            endpointPool.takeRetry(admitted.service.name)
        return if (mayOffer) endpointPool.alternative(admitted, others(request)) else null
    }

    private fun others(request: OfferedRequest) = EndpointCandidates(
        request.failedEndpoints + failedEndpoints + request.engine.incarnation.id,
        request.engine.entry.softwareVersion,
        mayHaveRun = true,
    )

    private fun onRefused(send: Send) {
        if (send.start.isKnownUnrun) sends.refusedOffers++ else failedEndpoints.add(send.endpoint.incarnation.id)
        when (val start = send.start) {
            is SendStart.NotSent -> recorder.onNotSent(send, start)
            is SendStart.NoResponse -> recorder.onNoResponse(send.endpoint, start)
            is SendStart.HeadReceived -> onRefusedBy(send.endpoint, start)
            null -> Unit
        }
        logOffer("offer-refused", send, "status" to send.received?.head?.status)
    }

    private fun logOffer(message: String, send: Send, vararg fields: Pair<String, Any?>) = log.write(
        message,
        "request" to admitted.request.attemptId,
        "endpoint" to send.endpoint.incarnation.id,
        *fields,
    )

    private fun onRefusedBy(endpoint: Endpoint, response: SendStart.HeadReceived) {
        if (response.headers.didNotRun) return recorder.onRejection(endpoint, response)
        endpointPool.outcomes.recordFailure(endpoint)
        response.exchange.abort()
    }

    private companion object {
        /** Time in which an engine must accept an offer, in milliseconds: the reading of a long prompt. */
        const val OFFER_TIMEOUT_MS = 2_000L

        /** Offers of one request that engines may refuse. */
        const val MAX_REFUSED_OFFERS = 4

        /** Minimum time left for an offer, in milliseconds. */
        const val MIN_OFFER_TIME_MS = 60L
    }
}
