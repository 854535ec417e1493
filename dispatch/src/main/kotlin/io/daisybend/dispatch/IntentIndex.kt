/*
 * The state of one intent stream, replayed from its records. Everything is derived from the records alone, including
 * the time by which old keys are forgotten (the latest append time seen), so that two readers never disagree about a
 * winner.
 *
 * A reader that starts behind the retention of the log does not know which keys were recorded before. It keeps the
 * records that it reads and becomes complete when it finds a whole checkpoint taken at or after its first record, or
 * when its first record is older than the time for which keys are kept. Until then it decides nothing.
 *
 * Answers are kept up to a number of bytes; the oldest ones are dropped first, their keys stay.
 */
package io.daisybend.dispatch

/** What the stream says about one key. */
public data class IntentEntry(
    val fingerprint: RequestFingerprint,
    val attemptId: AttemptId,
    val recordedAtMs: Long,
    val outcome: StoredOutcome? = null,
)

/**
 * How long keys and how many bytes of answers an [IntentIndex] keeps. [logRetentionMs] is the time for which the log
 * keeps records for certain; zero when that is not known.
 */
public data class IntentRetention(
    val keyRetentionMs: Long = DEFAULT_RETRY_WINDOW_MS + DEFAULT_CLOCK_SKEW_MS,
    val logRetentionMs: Long = 0L,
    val maxResponseBytes: Long = DEFAULT_MAX_RESPONSE_BYTES,
) {
    internal val logOutlastsKeys: Boolean get() = logRetentionMs >= keyRetentionMs

    public companion object {
        /** Time after its first call within which a caller may repeat a key. */
        public const val DEFAULT_RETRY_WINDOW_MS: Long = 600_000L
        internal const val DEFAULT_CLOCK_SKEW_MS: Long = 60_000L
        internal const val DEFAULT_MAX_RESPONSE_BYTES: Long = 4_194_304L
    }
}

/** Replays one stream; not safe for use by several threads. */
public class IntentIndex(private val retention: IntentRetention = IntentRetention()) {
    private class ReadBatch(val offset: Long, val batch: IntentBatch)

    private class OpenCheckpoint(val parts: MutableMap<Int, IntentRecord.CheckpointPart> = mutableMapOf())

    private data class CheckpointId(val writer: GatewayIncarnation, val asOfOffset: Long)

    private val entries = LinkedHashMap<RequestKey, IntentEntry>()
    private val abandoned = LinkedHashMap<AttemptId, Long>()
    private val answerKeys = ArrayDeque<RequestKey>()
    private val unresolved = ArrayList<ReadBatch>()
    private val checkpoints = HashMap<CheckpointId, OpenCheckpoint>()
    private var answersBytes = 0L
    private var streamTimeMs = Long.MIN_VALUE

    /** The offset of the next record to read. */
    public var nextOffset: Long = 0L
        private set

    /** Whether the state holds every key that must still be known. */
    public var isComplete: Boolean = true
        private set

    /** Whether the reader starts behind expired records and has found none since. */
    public val hasOnlyExpiredRecords: Boolean get() = !isComplete && unresolved.isEmpty()

    /** The append time of the newest checkpoint. */
    public var lastCheckpointAtMs: Long = Long.MIN_VALUE
        private set

    /** The number of known keys. */
    public val size: Int get() = entries.size

    /** Returns what is known about [key]. */
    public fun find(key: RequestKey): IntentEntry? = entries[key]

    /** Says whether [attemptId] has been abandoned. */
    public fun isAbandoned(attemptId: AttemptId): Boolean = attemptId in abandoned

    /** Forgets everything and continues at [firstOffset], the oldest record that is still kept. */
    public fun restartAt(firstOffset: Long) {
        entries.clear()
        abandoned.clear()
        answerKeys.clear()
        unresolved.clear()
        checkpoints.clear()
        answersBytes = 0L
        streamTimeMs = Long.MIN_VALUE
        nextOffset = firstOffset
        isComplete = firstOffset == 0L
    }

    /** Takes in the record at [nextOffset]; null stands for a record that could not be decoded. */
    public fun replay(batch: IntentBatch?) {
        val offset = nextOffset++
        if (batch == null) return
        if (isComplete) {
            apply(batch)
        } else {
            unresolved += ReadBatch(offset, batch)
            collectCheckpoints(batch)
        }
    }

    /** Becomes complete when the records that were read up to the end reach back far enough at [nowMs]. */
    public fun tryComplete(nowMs: Long) {
        if (isComplete) return
        val first = unresolved.firstOrNull()
        val reachesBack = first != null && nowMs - first.batch.appendedAtMs >= retention.keyRetentionMs
        if (reachesBack || retention.logOutlastsKeys) complete(fromOffset = first?.offset ?: nextOffset)
    }

    /** Returns the state as records of a checkpoint by [writer], each with at most [entriesPerPart] entries. */
    public fun checkpoint(writer: GatewayIncarnation, entriesPerPart: Int): List<IntentRecord.CheckpointPart> {
        val abandonedParts = abandoned.map { AbandonedAttempt(it.key, it.value) }.chunked(entriesPerPart)
        val entryParts = entries.map { it.toCheckpointEntry() }.chunked(entriesPerPart)
        val count = maxOf(entryParts.size, abandonedParts.size, 1)
        return (0 until count).map { part ->
            IntentRecord.CheckpointPart(
                asOfOffset = nextOffset,
                writer = writer,
                partIndex = part,
                partCount = count,
                streamTimeMs = streamTimeMs,
                entries = entryParts.getOrElse(part) { emptyList() },
                abandoned = abandonedParts.getOrElse(part) { emptyList() },
            )
        }
    }

    private fun Map.Entry<RequestKey, IntentEntry>.toCheckpointEntry(): CheckpointEntry =
        CheckpointEntry(key, value.fingerprint, value.attemptId, value.recordedAtMs, value.outcome)

    private fun apply(batch: IntentBatch) {
        streamTimeMs = maxOf(streamTimeMs, batch.appendedAtMs)
        expire()
        for (record in batch.records) {
            when (record) {
                is IntentRecord.Intent -> applyIntent(record)
                is IntentRecord.Abandonment -> applyAbandonment(record)
                is IntentRecord.Outcome -> applyOutcome(record)
                is IntentRecord.CheckpointPart -> noteCheckpoint(record, batch.appendedAtMs)
            }
        }
    }

    private fun noteCheckpoint(part: IntentRecord.CheckpointPart, appendedAtMs: Long) {
        if (part.partIndex == part.partCount - 1) lastCheckpointAtMs = maxOf(lastCheckpointAtMs, appendedAtMs)
    }

    private fun applyIntent(intent: IntentRecord.Intent) {
        if (intent.attemptId in abandoned || intent.key in entries) return
        entries[intent.key] = IntentEntry(intent.fingerprint, intent.attemptId, streamTimeMs)
    }

    private fun applyAbandonment(record: IntentRecord.Abandonment) {
        abandoned.putIfAbsent(record.attemptId, streamTimeMs)
        val entry = entries[record.key] ?: return
        if (entry.attemptId == record.attemptId && entry.outcome == null) entries.remove(record.key)
    }

    private fun applyOutcome(record: IntentRecord.Outcome) {
        val entry = entries[record.key] ?: return
        if (entry.attemptId != record.attemptId || entry.outcome != null) return
        keep(record.key, entry, record.outcome)
    }

    private fun keep(key: RequestKey, entry: IntentEntry, outcome: StoredOutcome) {
        entries[key] = entry.copy(outcome = outcome)
        if (outcome.response == null) return
        answerKeys += key
        answersBytes += outcome.response.body.size
        while (answersBytes > retention.maxResponseBytes) dropAnswer(answerKeys.removeFirst())
    }

    private fun dropAnswer(key: RequestKey) {
        val entry = entries[key] ?: return
        val outcome = entry.outcome ?: return
        answersBytes -= outcome.response?.body?.size ?: 0
        entries[key] = entry.copy(outcome = outcome.copy(response = null))
    }

    private fun expire() {
        val oldestKeptMs = streamTimeMs - retention.keyRetentionMs
        val kept = entries.values.iterator()
        while (kept.hasNext()) {
            val entry = kept.next()
            if (entry.recordedAtMs >= oldestKeptMs) break
            answersBytes -= entry.outcome?.response?.body?.size ?: 0
            kept.remove()
        }
        while (answerKeys.isNotEmpty() && answerKeys.first() !in entries) answerKeys.removeFirst()
        val keptAttempts = abandoned.values.iterator()
        while (keptAttempts.hasNext() && keptAttempts.next() < oldestKeptMs) keptAttempts.remove()
    }

    private fun collectCheckpoints(batch: IntentBatch) {
        for (part in batch.records.filterIsInstance<IntentRecord.CheckpointPart>()) {
            if (part.asOfOffset < unresolved.first().offset) continue
            val open = checkpoints.getOrPut(CheckpointId(part.writer, part.asOfOffset)) { OpenCheckpoint() }
            open.parts[part.partIndex] = part
            if (open.parts.size == part.partCount) return load(open)
        }
    }

    private fun load(checkpoint: OpenCheckpoint) {
        val parts = checkpoint.parts.toSortedMap().values
        streamTimeMs = parts.first().streamTimeMs
        for (attempt in parts.flatMap { it.abandoned }) abandoned[attempt.attemptId] = attempt.recordedAtMs
        for (saved in parts.flatMap { it.entries }) {
            val entry = IntentEntry(saved.fingerprint, saved.attemptId, saved.recordedAtMs)
            entries[saved.key] = entry
            if (saved.outcome != null) keep(saved.key, entry, saved.outcome)
        }
        complete(fromOffset = parts.first().asOfOffset)
    }

    private fun complete(fromOffset: Long) {
        isComplete = true
        checkpoints.clear()
        for (read in unresolved) if (read.offset >= fromOffset) apply(read.batch)
        unresolved.clear()
    }
}
