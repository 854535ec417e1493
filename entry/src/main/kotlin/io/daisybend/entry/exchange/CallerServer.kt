/*
 * Serves callers' connections and checks each request in this order: well-formed, known route, valid key, within the
 * rate. A request is cancelled when its caller disconnects, which also cancels the work at the endpoint.
 */
package io.daisybend.entry.exchange

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.getOrElse
import io.daisybend.entry.EventLog
import io.daisybend.entry.Metrics
import io.daisybend.entry.TeamRejections
import io.daisybend.entry.http.BodyFraming
import io.daisybend.entry.http.BodyReader
import io.daisybend.entry.http.MalformedMessage
import io.daisybend.entry.http.MalformedMessageException
import io.daisybend.entry.http.RequestHead
import io.daisybend.entry.http.parseRequestHead
import io.daisybend.entry.http.readAll
import io.daisybend.entry.http.readHeadLines
import io.daisybend.entry.store.ConfigurationWatcher
import io.daisybend.platform.CallerRequestHeaders
import io.daisybend.platform.attemptIdHeader
import io.daisybend.platform.hasSeveralKeys
import io.daisybend.platform.readCallerRequestHeaders
import io.daisybend.platform.retryAfterHeader
import io.daisybend.serving.rates.RateDecision
import io.daisybend.serving.rates.TeamRateLimiter
import io.daisybend.serving.site.Admission
import io.daisybend.serving.site.AdmissionRefusal
import io.daisybend.serving.site.CallerLimits
import io.daisybend.serving.site.Credentials
import io.daisybend.serving.site.FreshnessSettings
import io.daisybend.serving.site.admit
import io.ktor.network.sockets.Socket
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/** Serves requests of callers. */
internal class CallerServer(
    private val stop: StopState,
    private val configuration: ConfigurationWatcher,
    private val requestHandler: RequestHandler,
    private val endpointPool: EndpointPool,
    private val teamRateLimiter: TeamRateLimiter,
    private val teamRejections: TeamRejections,
    private val freshness: () -> FreshnessSettings,
    private val bodyMemory: BodyMemory,
    private val log: EventLog,
    private val metrics: Metrics,
    private val steadyMs: () -> Long,
) {
    private val openConnections = ConcurrentHashMap.newKeySet<CallerConnection>()
    private val activeRequests = AtomicInteger()

    /** Number of requests being read or served. */
    val requestsInProgress: Int get() = activeRequests.get()

    /** Number of connections that are open or whose last response the system has not taken completely. */
    val connectionCount: Int get() = openConnections.size

    /** Serves the connection [socket] in [scope]; it counts as open from now on. */
    fun open(socket: Socket, scope: CoroutineScope) {
        val connection = CallerConnection(socket) { stop.isStopping }
        openConnections.add(connection)
        scope.launch { serve(connection) }
    }

    /**
     * Refuses the requests that arrive from now on as not run: how long they would take is not known, and the process
     * may end before them.
     */
    fun startDraining() {
        stop.startDraining()
        openConnections.forEach { it.startDraining() }
    }

    /** Closes connections without a request in progress. */
    fun closeIdle() {
        openConnections.forEach { it.closeIfIdle() }
    }

    private suspend fun serve(connection: CallerConnection) {
        try {
            while (!connection.mustClose) {
                connection.startRequest()
                if (!serveNext(connection)) break
            }
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (expectedReset: IOException) {
            metrics.resetConnections.inc()
        } catch (unexpected: Exception) {
            log.write(
                "connection-failed",
                "reason" to unexpected.toString(),
                "stack" to unexpected.stackTraceToString().take(MAX_STACK_CHARS),
            )
        } finally {
            connection.close()
            connection.onClosed { openConnections.remove(connection) }
        }
    }

    /** Serves one request; returns false if the connection has ended or must close. */
    private suspend fun serveNext(connection: CallerConnection): Boolean {
        val limits = configuration.table?.configuration?.limits ?: defaultLimits
        if (connection.source.buffered == 0 && !awaitFirstByte(connection)) return false
        if (!connection.beginRequest()) return false
        activeRequests.incrementAndGet()
        try {
            val arrivedAtMs = steadyMs()
            return try {
                val headLines =
                    withTimeoutOrNull(limits.headTimeoutMs) { connection.source.readHeadLines(limits.maxHeadBytes) }
                        ?: return refuseUnreadable(connection, STATUS_REQUEST_TIMEOUT, "head not read in time")
                val head = parseRequestHead(headLines)
                readBodyAndServe(connection, head, limits, arrivedAtMs)
            } catch (malformed: MalformedMessageException) {
                refuseUnreadable(connection, malformed.problem.status, malformed.problem.reason)
            }
        } finally {
            activeRequests.decrementAndGet()
            connection.endRequest()
        }
    }

    private suspend fun awaitFirstByte(connection: CallerConnection): Boolean {
        val waitStartedAtMs = steadyMs()
        while (true) {
            val idleMs = configuration.table?.configuration?.limits?.idleTimeoutMs ?: defaultLimits.idleTimeoutMs
            val remainingMs = waitStartedAtMs + idleMs - steadyMs()
            // A VM that stood still reads first what came meanwhile.
            if (remainingMs <= 0) {
                return withTimeoutOrNull(Standstill.UNREAD_INPUT_MS) { connection.source.fill() } ?: false
            }
            withTimeoutOrNull(remainingMs) { connection.source.fill() }?.let { return it }
        }
    }

    private suspend fun refuseUnreadable(connection: CallerConnection, status: Int, reason: String): Boolean {
        log.write("request-unreadable", "status" to status, "reason" to reason)
        metrics.unreadableRequests.inc()
        connection.mustClose = true
        val headers =
            if (status == STATUS_UNAVAILABLE) listOf(retryAfterHeader(NO_BODY_MEMORY_RETRY_AFTER_MS)) else emptyList()
        connection.writeResponse(status, headers, ByteArray(0))
        withTimeoutOrNull(DRAIN_TIMEOUT_MS) { connection.drainInput() }
        return false
    }

    private suspend fun readBodyAndServe(
        connection: CallerConnection,
        head: RequestHead,
        limits: CallerLimits,
        arrivedAtMs: Long,
    ): Boolean {
        if (!head.keepAlive) connection.mustClose = true
        val framing = head.framing
        if (framing is BodyFraming.Length && framing.bytes > limits.maxBodyBytes) {
            throw MalformedMessageException(MalformedMessage.BODY_TOO_LARGE)
        }
        if (head.expectsContinue) connection.sendContinue()
        val allocation = bodyMemory.newAllocation()
        try {
            val body = withTimeoutOrNull(BODY_TIMEOUT_MS) {
                BodyReader(connection.source, framing).readAll(limits.maxBodyBytes, allocation::tryReserve)
            } ?: return refuseUnreadable(connection, STATUS_REQUEST_TIMEOUT, "body not read in time")
            return admitAndServe(connection, head, body, arrivedAtMs)
        } finally {
            allocation.release()
        }
    }

    private suspend fun admitAndServe(
        connection: CallerConnection,
        head: RequestHead,
        body: ByteArray,
        arrivedAtMs: Long,
    ): Boolean {
        val caller = readCallerRequestHeaders(head.headers)
        val attemptId = caller.attemptId ?: return refuse(connection, STATUS_BAD_REQUEST, "no attempt id")
        if (stop.phase == StopPhase.DRAINING && !connection.hasArrivedBeforeDraining) {
            val reason = "this VM stops and takes no more requests"
            return refuse(connection, STATUS_UNAVAILABLE, reason, attemptId, SendDeadlines.SHUTDOWN_RETRY_AFTER_MS)
        }
        val table = configuration.table
        val key = caller.key?.takeIf { !hasSeveralKeys(head.headers) }
        val charged = table
            .admit(
                Credentials(head.host, head.path, key),
                freshness(),
                configuration.confirmationAgeMs(),
                Random.nextDouble(),
                isBoundTo = { service ->
                    caller.resumedAttemptId?.let { endpointPool.hasBegunAt(it, service) } == true
                },
            )
            .andThen { admission -> chargeRate(admission, caller) }
            .getOrElse { return refuse(connection, it, attemptId) }
        val route = charged.admission.route
        val timeoutMs = minOf(caller.deadlineMs ?: route.timeoutMs, route.timeoutMs)
        val admitted = AdmittedRequest(
            request = BufferedRequest(head, body, attemptId),
            caller = caller,
            route = route,
            service = charged.admission.service,
            team = charged.admission.team,
            configurationVersion = table?.configuration?.version ?: 0,
            arrivedAtMs = arrivedAtMs,
            deadlineAtMs = arrivedAtMs + timeoutMs,
            sinceStopMs = stop.startedAtMs?.let { arrivedAtMs - it },
        )
        endpointPool.recordRequest(admitted.service.name, caller.demand)
        return serveUntilDisconnect(connection, admitted, charged.cost)
    }

    private class ChargedAdmission(val admission: Admission, val cost: Double)

    private fun chargeRate(
        admission: Admission,
        caller: CallerRequestHeaders,
    ): Result<ChargedAdmission, AdmissionRefusal> {
        val team = admission.team ?: return Ok(ChargedAdmission(admission, 0.0))
        return when (val decision = teamRateLimiter.admit(team, caller.tokens, steadyMs())) {
            is RateDecision.Admitted -> Ok(ChargedAdmission(admission, decision.cost))
            is RateDecision.OverRate -> {
                teamRejections.record(team.name)
                Err(AdmissionRefusal.OverRate(team.name, decision.retryAfterMs))
            }
        }
    }

    /** Serves [admitted] until it is answered or its caller disconnects; returns false after a disconnect. */
    private suspend fun serveUntilDisconnect(
        connection: CallerConnection,
        admitted: AdmittedRequest,
        cost: Double,
    ): Boolean {
        var callerDisconnected = false
        coroutineScope {
            val serveJob = launch { requestHandler.serve(connection, admitted, cost) }
            val watchJob = launch {
                try {
                    connection.awaitDisconnect()
                } catch (expectedReset: IOException) {
                    metrics.resetConnections.inc()
                }
                callerDisconnected = true
                serveJob.cancel()
            }
            serveJob.join()
            watchJob.cancel()
        }
        return !callerDisconnected
    }

    private suspend fun refuse(connection: CallerConnection, refusal: AdmissionRefusal, attemptId: String): Boolean {
        val (status, retryAfterMs) = statusFor(refusal)
        return refuse(connection, status, refusal.message, attemptId, retryAfterMs)
    }

    private fun statusFor(refusal: AdmissionRefusal): Pair<Int, Long?> = when (refusal) {
        AdmissionRefusal.UnknownRoute -> STATUS_NOT_FOUND to null
        AdmissionRefusal.UnknownKey -> STATUS_UNAUTHORIZED to null
        is AdmissionRefusal.OverRate -> STATUS_TOO_MANY_REQUESTS to refusal.retryAfterMs
        is AdmissionRefusal.Unconfirmed -> STATUS_UNAVAILABLE to UNCONFIRMED_RETRY_AFTER_MS
        AdmissionRefusal.NoConfiguration, AdmissionRefusal.NoService ->
            STATUS_UNAVAILABLE to NO_CONFIGURATION_RETRY_AFTER_MS
    }

    private suspend fun refuse(
        connection: CallerConnection,
        status: Int,
        reason: String,
        attemptId: String? = null,
        retryAfterMs: Long? = null,
    ): Boolean {
        log.write(
            "request-refused",
            "request" to attemptId,
            "status" to status,
            "reason" to reason,
            "retryAfterMs" to retryAfterMs,
            "version" to configuration.table?.configuration?.version,
            "configurationAgeMs" to configuration.confirmationAgeMs().takeIf { it != Long.MAX_VALUE },
        )
        metrics.recordRefusal(status)
        val headers = listOfNotNull(attemptId?.let(::attemptIdHeader), retryAfterMs?.let(::retryAfterHeader))
        connection.writeResponse(status, headers, ByteArray(0))
        return true
    }

    private companion object {
        const val STATUS_BAD_REQUEST = 400
        const val STATUS_UNAUTHORIZED = 401
        const val STATUS_NOT_FOUND = 404
        const val STATUS_REQUEST_TIMEOUT = 408
        const val STATUS_TOO_MANY_REQUESTS = 429
        const val STATUS_UNAVAILABLE = 503

        /** Retry-After of this VM without a configuration or service, in milliseconds: one read of the store. */
        const val NO_CONFIGURATION_RETRY_AFTER_MS = 500L

        /**
         * Retry-After of this VM without contact to the store, in milliseconds: other VMs accept the request at once.
         */
        const val UNCONFIRMED_RETRY_AFTER_MS = 50L

        /** Retry-After when the memory for request bodies is exhausted, in milliseconds: a few short requests. */
        const val NO_BODY_MEMORY_RETRY_AFTER_MS = 300L

        const val MAX_STACK_CHARS = 4_000

        /** Timeout for discarding the rest of an unreadable request, in milliseconds. */
        const val DRAIN_TIMEOUT_MS = 500L

        /** Timeout for reading a body, in milliseconds: the longest deadline of a request. */
        const val BODY_TIMEOUT_MS = 20_000L

        /** Limits in force until the first configuration is read. */
        val defaultLimits =
            CallerLimits(maxHeadBytes = 16_384, maxBodyBytes = 1_048_576, headTimeoutMs = 3_000, idleTimeoutMs = 15_000)
    }
}
