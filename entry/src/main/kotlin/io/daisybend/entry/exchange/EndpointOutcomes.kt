/*
 * Records what sends to endpoints show: health, refused models, named limits and pauses, endpoints that are leaving,
 * and which requests were answered or may end engines.
 */
package io.daisybend.entry.exchange

import io.daisybend.entry.path.PathState
import io.daisybend.entry.path.isDown
import io.daisybend.entry.peers.modelKey
import io.daisybend.platform.Brittle
import io.daisybend.platform.RequestLimit
import io.daisybend.serving.endpoint.Endpoint
import io.daisybend.serving.endpoint.EndpointEligibility
import io.daisybend.serving.endpoint.EndpointPauses
import io.daisybend.serving.endpoint.EndpointTable
import io.daisybend.serving.quarantine.CrashQuarantine
import io.daisybend.serving.quarantine.QuarantineVerdict
import io.daisybend.serving.quarantine.RequestFingerprint
import io.daisybend.serving.rates.EndpointRateLimiter

/** Passes the outcomes of sends on to the decisions that depend on them. */
internal class EndpointOutcomes(
    private val table: EndpointTable,
    private val quarantine: CrashQuarantine,
    private val fingerprinter: RequestFingerprinter,
    private val rateLimiter: EndpointRateLimiter,
    private val pauses: EndpointPauses,
    private val eligibility: EndpointEligibility,
    private val departures: EndpointDepartures,
    /** What is known of the direct paths to endpoints; lost connections say nothing of one whose path is down. */
    val paths: PathState,
    private val brittleNotices: BrittleNotices,
    private val steadyMs: () -> Long,
) {
    /** Records a successful response of [endpoint]. */
    fun recordSuccess(endpoint: Endpoint) = table.onSuccess(endpoint)

    /** Records a failure of [endpoint]. */
    fun recordFailure(endpoint: Endpoint) {
        table.onFailure(endpoint, steadyMs())
    }

    /** Records that [endpoint] is unreachable. */
    fun recordUnreachable(endpoint: Endpoint) {
        table.onUnreachable(endpoint, steadyMs())
        recordConnectionLost(endpoint)
    }

    /** Records that a connection to [endpoint] was refused or broke, so that it may have restarted. */
    fun recordConnectionLost(endpoint: Endpoint) {
        if (!paths.isDown(endpoint)) eligibility.coldEngines.onConnectionLost(endpoint, steadyMs())
    }

    /** Records that [endpoint] said that it stays cold for [leftMs] milliseconds. */
    fun recordColdLeft(endpoint: Endpoint, leftMs: Long) =
        eligibility.coldEngines.onNamed(endpoint, leftMs, steadyMs())

    /** Records what an answer of [endpoint] said of its being brittle. */
    fun recordBrittle(endpoint: Endpoint, brittle: Brittle?) =
        brittleNotices.onAnswer(endpoint, brittle)

    /** Records that the request that was reserved for [endpoint] at [reservedAtMs] counts as in flight. */
    fun recordBegun(endpoint: Endpoint, reservedAtMs: Long) =
        eligibility.brittleEngines.onBegun(endpoint, reservedAtMs)

    /** Records that the request that was written to [endpoint] at [writtenAtMs] was turned away or answered. */
    fun recordAnswered(endpoint: Endpoint, writtenAtMs: Long, isTurnedAway: Boolean) {
        if (isTurnedAway) {
            eligibility.brittleEngines.onTurnedAway(endpoint, writtenAtMs, steadyMs())
        } else {
            eligibility.brittleEngines.onAnswered(endpoint, writtenAtMs)
        }
    }

    /** Records the end of an exchange with [endpoint]; returns whether requests may wait for its place. */
    fun recordEnded(endpoint: Endpoint, isAborted: Boolean): Boolean {
        eligibility.brittleEngines.onEnded(endpoint, isAborted, steadyMs())
        return isBrittle(endpoint)
    }

    /** Returns whether the endpoints of the service of [endpoint] are brittle. */
    fun isBrittle(endpoint: Endpoint): Boolean = eligibility.brittleEngines.isBrittle(endpoint.entry.service)

    /** Returns whether [endpoint] may have ended because it turned requests away. */
    fun mayHaveFallen(endpoint: Endpoint): Boolean = eligibility.brittleEngines.mayHaveFallen(endpoint, steadyMs())

    /** Records that [endpoint] refused the model of [admitted]. */
    fun recordRejection(endpoint: Endpoint, admitted: AdmittedRequest) {
        admitted.caller.demand?.let { table.onModelRefused(endpoint, modelKey(it.model, it.adapter), steadyMs()) }
    }

    /** Records the limit that a response of [endpoint] named. */
    fun recordLimit(endpoint: Endpoint, limit: RequestLimit.Named?) =
        rateLimiter.onResponse(endpoint.incarnation, limit?.perSecond, steadyMs())

    /**
     * Records that [endpoint] turned a request away and wants none for [pauseMs] milliseconds. Returns the time that is
     * left, or null if an earlier response named a later end.
     */
    fun recordPause(endpoint: Endpoint, pauseMs: Long): Long? =
        pauses.onTurnedAway(endpoint.incarnation, pauseMs, steadyMs())

    /** Returns whether [endpoint] wants no request of this VM now. */
    fun isPaused(endpoint: Endpoint): Boolean = pauses.leftMs(endpoint.incarnation, steadyMs()) > 0

    /** Returns whether a request that was reserved for [endpoint] at [reservedAtMs] may be written at [now]. */
    fun mayStillSend(endpoint: Endpoint, reservedAtMs: Long, now: Long): Boolean =
        !endpoint.entry.isDraining &&
            endpoint.incarnation !in table.leaving &&
            !isPaused(endpoint) &&
            eligibility.maySend(endpoint, reservedAtMs, now)

    /** Records that [endpoint] said that it is leaving. */
    fun recordLeaving(endpoint: Endpoint) = departures.onResponse(endpoint.incarnation)

    /** Records that no byte of a request that was reserved for [endpoint] at [reservedAtMs] was written. */
    fun recordUnsent(endpoint: Endpoint, reservedAtMs: Long) {
        rateLimiter.refund(endpoint.incarnation)
        eligibility.giveBack(endpoint, reservedAtMs)
    }

    /** Records that the answer to [admitted] went on past its beginning. */
    fun recordProvenAnswer(admitted: AdmittedRequest) = quarantine.onAnswerProven(admitted.sharedPartIds, steadyMs())

    /** Whether more than one engine has ended under [admitted], or it may not be sent any more. */
    fun mayEndEngines(admitted: AdmittedRequest): Boolean =
        quarantine.endsUnder(fingerprintOf(admitted)) > 1 || refusalByQuarantine(admitted) != null

    /** Returns the refusal of [admitted] if it is quarantined, or null. */
    fun refusalByQuarantine(admitted: AdmittedRequest): EndpointSelection.Unavailable? {
        val now = steadyMs()
        return when (val verdict = quarantine.check(suspectParts(admitted), now)) {
            QuarantineVerdict.Allowed -> null
            is QuarantineVerdict.Refused -> {
                val agesMs = verdict.quarantine.endedAtMs.map { (engine, atMs) -> "${engine.id} ${now - atMs} ms ago" }
                val key = verdict.quarantine.key
                val subject = if (verdict.quarantine.isOfRequest) "$key is" else "prompt parts $key are"
                val reason = "$subject quarantined, engines ended: $agesMs"
                EndpointSelection.Unavailable(reason, verdict.retryAfterMs)
            }
        }
    }

    /** Returns what of [admitted] may be quarantined; its fingerprint is computed only if some fingerprint may be. */
    fun suspectParts(admitted: AdmittedRequest): List<String> =
        if (quarantine.hasFingerprints) {
            admitted.sharedPartIds + fingerprintOf(admitted).part
        } else {
            admitted.sharedPartIds
        }

    /** Returns the fingerprint of [admitted]. */
    fun fingerprintOf(admitted: AdmittedRequest): RequestFingerprint = admitted.fingerprint(fingerprinter)

    /** Records that the endpoint of [exchange] completed the answer. */
    fun recordCompleteAnswer(admitted: AdmittedRequest, exchange: TrackedExchange) {
        quarantine.onAnswerProven(suspectParts(admitted), steadyMs())
        quarantine.onAnswerCompleted(exchange.endpoint.incarnation, exchange.startedAtMs, steadyMs())
    }
}
