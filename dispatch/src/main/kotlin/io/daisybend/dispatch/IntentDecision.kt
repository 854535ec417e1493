/*
 * What a replayed stream says about a record that a gateway wants written.
 */
package io.daisybend.dispatch

/** Returns the answer that the stream gives, or null when it says nothing about [record] yet. */
internal fun IntentIndex.decide(record: IntentRecord): CoordinatorAnswer? =
    when {
        !isComplete -> null
        record is IntentRecord.Intent -> decideIntent(record)
        record is IntentRecord.Outcome -> confirmIf(find(record.key).endedWith(record.attemptId))
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

private fun IntentEntry?.endedWith(attemptId: AttemptId): Boolean =
    this != null && this.attemptId == attemptId && outcome != null

private fun confirmIf(recorded: Boolean): CoordinatorAnswer? = if (recorded) CoordinatorAnswer.Confirmed else null
