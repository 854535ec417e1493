/*
 * Decides how a coordinator answers a record that a gateway submits, from the replayed stream alone.
 */
package io.daisybend.dispatch

/** Returns the answer to [record], or null if the index is incomplete or the stream does not decide it yet. */
internal fun IntentIndex.decide(record: IntentRecord): CoordinatorAnswer? =
    when {
        !isComplete -> null
        record is IntentRecord.Intent -> decideIntent(record)
        record is IntentRecord.Outcome -> confirmIf(find(record.key).hasOutcomeOf(record.attemptId))
        record is IntentRecord.Abandonment -> confirmIf(isAbandoned(record.attemptId))
        else -> null
    }

private fun IntentIndex.decideIntent(intent: IntentRecord.Intent): CoordinatorAnswer? {
    if (isAbandoned(intent.attemptId)) return CoordinatorAnswer.Refused(CallRefusal.AttemptAbandoned)
    val entry = find(intent.key) ?: return null
    return when {
        entry.fingerprint != intent.fingerprint -> CoordinatorAnswer.Refused(CallRefusal.KeyConflict)
        entry.attemptId == intent.attemptId && entry.outcome == null -> CoordinatorAnswer.Granted
        else -> CoordinatorAnswer.AlreadyRecorded(entry.attemptId, entry.outcome)
    }
}

private fun IntentEntry?.hasOutcomeOf(attemptId: AttemptId): Boolean =
    this != null && this.attemptId == attemptId && outcome != null

private fun confirmIf(isRecorded: Boolean): CoordinatorAnswer? = if (isRecorded) CoordinatorAnswer.Confirmed else null
