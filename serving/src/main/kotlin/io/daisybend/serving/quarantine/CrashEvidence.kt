/*
 * What VMs tell each other about engines that ended under a request, and about prompt parts that engines answered.
 * Times are ages, since the clocks of VMs differ. Evidence can be merged in any order and any number of times.
 */
package io.daisybend.serving.quarantine

import io.daisybend.serving.endpoint.Incarnation

/**
 * A request that an engine had received but hardly answered when it ended: its shared prompt [parts], or its
 * fingerprint as the only one, and whether the engine had begun the answer.
 */
public data class SuspectRequest(val parts: List<String>, val hasStarted: Boolean)

/** The end of [engine], [agoMs] milliseconds ago, under [requests]. */
public data class EngineEnd(val engine: Incarnation, val agoMs: Long, val requests: List<SuspectRequest>)

/** Evidence of one VM for its peers. */
public data class CrashEvidence(
    val ends: List<EngineEnd> = emptyList(),
    /** Prompt parts whose answers went on past their beginning, with the time since then in milliseconds. */
    val provenAgoMs: Map<String, Long> = emptyMap(),
    /** Complete answers of engines that a peer reported to have ended. */
    val answers: Map<Incarnation, AnswerSpan> = emptyMap(),
)

/** A complete answer: the times since its request was sent and since its end, in milliseconds. */
public data class AnswerSpan(val sentAgoMs: Long, val endedAgoMs: Long)

/** [parts] that engines end under; requests that contain all of them are refused until [untilMs]. */
public data class Quarantine(
    val parts: Set<String>,
    /** The engines that ended, with the times of their ends in milliseconds of the monotonic clock. */
    val endedAtMs: Map<Incarnation, Long>,
    val failedTrials: Int,
    val untilMs: Long,
    /** Time that each VM in turn has for the trial, in milliseconds. */
    val trialTurnMs: Long,
) {
    /** Whether the parts are the fingerprint of one request. */
    val isOfRequest: Boolean get() = parts.any { RequestFingerprint.ofPart(it) != null }

    /** Identifies the quarantine on all VMs. */
    val key: String get() = parts.sorted().joinToString(",")

    /** Time of the newest end, in milliseconds of the monotonic clock. */
    val lastEndAtMs: Long get() = endedAtMs.values.max()
}

/** The decision on a request before it is sent. */
public sealed interface QuarantineVerdict {
    /** The request may be sent. */
    public data object Allowed : QuarantineVerdict

    /** The request contains the parts of [quarantine] and must not be sent; it may come back after [retryAfterMs]. */
    public data class Refused(val quarantine: Quarantine, val retryAfterMs: Long) : QuarantineVerdict
}

/** Bounds and times of the quarantine. */
public data class QuarantineSettings(
    /** Engines that must have ended before a part is quarantined. */
    val minEnds: Int = 2,
    /** The share of the blame for these ends that the part must have, in ends. */
    val minBlame: Double = 1.5,
    /** Independent ends that quarantine a request whatever else they struck. */
    val minRequestEnds: Int = 3,
    /** Time within which ends of engines have the same cause, in milliseconds: less than most runs take. */
    val sharedCauseMs: Long = 40,
    /**
     * Durations of the quarantine of a request after the newest of its first ends, in milliseconds: the first one ends
     * with the trial that shows whether the blame is right, and each trial that fails may cost an engine.
     */
    val requestQuarantinesMs: List<Long> = listOf(5_000, 60_000, 86_400_000),
    /** Duration of a quarantine after the newest end, in milliseconds; four times as long after each failed trial. */
    val quarantineMs: Long = 30_000,
    /** Time after which an end counts as a failed trial and not as one of the first, in milliseconds. */
    val settleMs: Long = 15_000,
    /** Trials after which the parts stay quarantined until the evidence expires. */
    val maxTrials: Int = 3,
    /** Time that each VM in turn has for the trial, in milliseconds. */
    val trialTurnMs: Long = 10_000,
    /** How long the end of an engine is remembered, in milliseconds. */
    val evidenceMs: Long = 600_000,
    /** How long the end of an engine is remembered while its parts are quarantined, in milliseconds. */
    val quarantinedEvidenceMs: Long = 86_400_000,
    /** Time for which an answer to a part makes other parts of its requests more suspect, in milliseconds. */
    val proofMs: Long = 600_000,
    /** Time that the last bytes of an engine may need to a VM, in milliseconds. */
    val answerDelayMs: Long = 300,
    val maxEnds: Int = 64,
    val maxRequestsPerEnd: Int = 8,
    val maxFingerprintsPerEnd: Int = 32,
    val maxPartsPerRequest: Int = 16,
    val maxProofs: Int = 8_192,
    /** Characters of parts in one report: a third of the largest datagram. */
    val maxReportChars: Int = 20_000,
)
