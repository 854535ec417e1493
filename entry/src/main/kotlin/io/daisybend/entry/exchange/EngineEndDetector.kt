/*
 * Finds out whether an endpoint has ended with an answer: an endpoint that still accepts connections has not.
 */
package io.daisybend.entry.exchange

import io.daisybend.entry.EventLog
import io.daisybend.entry.path.EndpointConnector
import io.daisybend.entry.path.PathState
import io.daisybend.entry.path.address
import io.daisybend.serving.endpoint.Endpoint
import io.daisybend.serving.endpoint.Incarnation
import io.daisybend.serving.quarantine.CrashQuarantine
import io.daisybend.serving.quarantine.SuspectRequest
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import java.util.concurrent.ConcurrentHashMap

/** Reports engines that ended under requests to [quarantine]. */
internal class EngineEndDetector(
    private val connector: EndpointConnector,
    private val paths: PathState,
    private val quarantine: CrashQuarantine,
    private val log: EventLog,
    private val steadyMs: () -> Long,
) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val checks = ConcurrentHashMap<Incarnation, Deferred<Boolean>>()

    /**
     * Checks [endpoint] after it broke off the answer to the attempt [attemptId], which is recorded as [suspects]; the
     * result is whether it has ended.
     */
    fun onBroken(endpoint: Endpoint, attemptId: String, suspects: List<SuspectRequest>): Deferred<Boolean> {
        val brokenAtMs = steadyMs()
        return scope.async {
            if (!hasEnded(endpoint)) return@async false
            log.write(
                "engine-ended",
                "endpoint" to endpoint.incarnation.id,
                "bornMs" to endpoint.incarnation.bornMs,
                "request" to attemptId,
                "parts" to suspects.flatMap { it.parts },
                "answerBegun" to suspects.any { it.hasStarted },
            )
            quarantine.onEngineEnded(endpoint.incarnation, suspects, brokenAtMs, steadyMs())
            true
        }
    }

    /**
     * Returns whether [endpoint] accepts no connections of this VM and its peers; the answers that end with it share
     * one check.
     */
    suspend fun hasEnded(endpoint: Endpoint): Boolean {
        val check = checks.computeIfAbsent(endpoint.incarnation) { scope.async { !acceptsConnection(endpoint) } }
        return try {
            check.await()
        } finally {
            checks.remove(endpoint.incarnation, check)
        }
    }

    /**
     * A VM that reaches no other endpoint either may be cut off, and so may the peers that it has asked, so it asks
     * again once that can be known. One that is cut off and has no peer to ask takes the endpoint for alive.
     */
    private suspend fun acceptsConnection(endpoint: Endpoint): Boolean {
        if (connector.test(endpoint.address, CONNECT_TIMEOUT_MS)) return true
        if (!paths.isCutOff) {
            if (paths.reachesOther(endpoint.address)) return false
            delay(CUT_DETECTION_MS)
            if (connector.test(endpoint.address, CONNECT_TIMEOUT_MS)) return true
        }
        return paths.isCutOff && !paths.isDownForAll(endpoint.address)
    }

    private companion object {
        /** Timeout for opening a connection, in milliseconds: a few round trips. */
        const val CONNECT_TIMEOUT_MS = 250L

        /** Time in which a VM finds out that it is cut off, and reports that, in milliseconds. */
        const val CUT_DETECTION_MS = 600L
    }
}
