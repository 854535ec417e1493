/*
 * How long parts or requests are quarantined, and when trials are due: each trial that fails may cost an engine.
 */
package io.daisybend.serving.quarantine

/** Returns the quarantine of these parts. */
internal fun BlamedParts.toQuarantine(settings: QuarantineSettings): Quarantine {
    val endedAtMs = ends.associate { it.engine to it.atMs }
    val settledAtMs = endedAtMs.values.sorted()[settings.minEnds - 1] + settings.settleMs
    val failedTrials = endedAtMs.values.count { it > settledAtMs }
    val durationMs = settings.quarantineMs shl (failedTrials.coerceAtMost(settings.maxTrials) * TRIAL_BACKOFF_BITS)
    val untilMs = endedAtMs.values.max() + durationMs
    return Quarantine(parts, endedAtMs, failedTrials, untilMs, settings.trialTurnMs)
}

/** Returns the quarantine of this request. */
internal fun BlamedRequest.toQuarantine(settings: QuarantineSettings): Quarantine {
    val failedTrials = count - settings.minEnds
    val durationsMs = settings.requestQuarantinesMs
    val durationMs = durationsMs[if (isAmbiguous) 0 else failedTrials.coerceAtMost(durationsMs.lastIndex)]
    val endedAtMs = ends.associate { it.engine to it.atMs }
    val untilMs = endedAtMs.values.max() + durationMs
    return Quarantine(setOf(part), endedAtMs, failedTrials, untilMs, trialTurnMs = durationMs)
}

/** A failed trial makes the quarantine of parts four times as long. */
private const val TRIAL_BACKOFF_BITS = 2
