/*
 * Holds the state of one intent stream, replayed from its records. All state is derived from the records, including the
 * clock that expires old keys (the latest append time read), so two readers never disagree on the winner of a key.
 *
 * A reader that starts after the log has expired older records does not know the keys in them. Its index becomes
 * complete when it finds all parts of a checkpoint taken at or after its first record, when its first record is at
 * least as old as the key retention time, or if the log is known to keep records that long. Until then the reader
 * buffers the records and the index decides nothing.
 *
 * Stored responses are limited by their total size. The oldest responses are dropped first; their keys and statuses
 * stay.
 */
package io.daisybend.dispatch

/** The state of one key; a null [outcome] means that the attempt has not ended. */
public data class IntentEntry(
    val fingerprint: RequestFingerprint,
    val attemptId: AttemptId,
    val recordedAtMs: Long,
    val outcome: StoredOutcome? = null,
)

/**
 * How long an [IntentIndex] keeps keys and how many bytes of responses. [logRetentionMs] is the time for which the log
 * is guaranteed to keep records; zero if that is unknown.
 */
public data class IntentRetention(
    val keyRetentionMs: Long = DEFAULT_RETRY_WINDOW_MS + DEFAULT_CLOCK_SKEW_MS,
    val logRetentionMs: Long = 0L,
    val maxResponseBytes: Long = DEFAULT_MAX_RESPONSE_BYTES,
) {
    internal val logRetainsAllKeys: Boolean get() = logRetentionMs >= keyRetentionMs

    public companion object {
        /** The time after the first call with a key within which a caller may repeat it. */
        public const val DEFAULT_RETRY_WINDOW_MS: Long = 600_000L
        internal const val DEFAULT_CLOCK_SKEW_MS: Long = 60_000L
        internal const val DEFAULT_MAX_RESPONSE_BYTES: Long = 4_194_304L
    }
}

/** Replays one intent stream; not thread-safe. */
public class IntentIndex(private val retention: IntentRetention = IntentRetention()) {
    private class BufferedBatch(val offset: Long, val batch: IntentBatch)

    private class PartialCheckpoint(val parts: MutableMap<Int, IntentRecord.CheckpointPart> = mutableMapOf())

    private data class CheckpointId(val writer: GatewayIncarnation, val asOfOffset: Long)

    private val entries = LinkedHashMap<RequestKey, IntentEntry>()
    private val abandoned = LinkedHashMap<AttemptId, Long>()
    private val keysWithResponse = ArrayDeque<RequestKey>()
    private val bufferedBatches = ArrayList<BufferedBatch>()
    private val checkpoints = HashMap<CheckpointId, PartialCheckpoint>()
    private var storedResponseBytes = 0L
    private var streamTimeMs = Long.MIN_VALUE

    /** The offset of the next record to read. */
    public var nextOffset: Long = 0L
        private set

    /** Whether the state contains every key within the retention time. */
    public var isComplete: Boolean = true
        private set

    /** Whether the index is incomplete and has read no record since its start offset. */
    public val hasOnlyExpiredRecords: Boolean get() = !isComplete && bufferedBatches.isEmpty()

    /** The append time of the last part of the newest checkpoint; [Long.MIN_VALUE] if none was read. */
    public var lastCheckpointAtMs: Long = Long.MIN_VALUE
        private set

    /** The number of keys in the index. */
    public val size: Int get() = entries.size

    /** Returns the state of [key], or null if it is unknown. */
    public fun find(key: RequestKey): IntentEntry? = entries[key]

    /** Returns whether [attemptId] was abandoned. */
    public fun isAbandoned(attemptId: AttemptId): Boolean = attemptId in abandoned

    /** Discards all state and restarts at [firstOffset], the offset of the oldest record that the log still has. */
    public fun restartAt(firstOffset: Long) {
        entries.clear()
        abandoned.clear()
        keysWithResponse.clear()
        bufferedBatches.clear()
        checkpoints.clear()
        storedResponseBytes = 0L
        streamTimeMs = Long.MIN_VALUE
        nextOffset = firstOffset
        isComplete = firstOffset == 0L
    }

    /** Replays the record at [nextOffset]; null stands for a record that could not be decoded and is skipped. */
    public fun replay(batch: IntentBatch?) {
        val offset = nextOffset++
        if (batch == null) return
        if (isComplete) {
            apply(batch)
        } else {
            bufferedBatches += BufferedBatch(offset, batch)
            collectCheckpoints(batch)
        }
    }

    /** Marks the index complete if at [nowMs] the buffered records, or the log's retention, cover the key retention. */
    public fun tryComplete(nowMs: Long) {
        if (isComplete) return
        val firstBatch = bufferedBatches.firstOrNull()
        val coversKeyRetention = firstBatch != null && nowMs - firstBatch.batch.appendedAtMs >= retention.keyRetentionMs
        if (coversKeyRetention || retention.logRetainsAllKeys) complete(fromOffset = firstBatch?.offset ?: nextOffset)
    }

    /** Returns the state as the parts of a checkpoint by [writer], each with at most [entriesPerPart] entries. */
    public fun checkpoint(writer: GatewayIncarnation, entriesPerPart: Int): List<IntentRecord.CheckpointPart> {
        val abandonedParts = abandoned.map { AbandonedAttempt(it.key, it.value) }.chunked(entriesPerPart)
        val entryParts = entries.map { it.toCheckpointEntry() }.chunked(entriesPerPart)
        val partCount = maxOf(entryParts.size, abandonedParts.size, 1)
        return (0 until partCount).map { partIndex ->
            IntentRecord.CheckpointPart(
                asOfOffset = nextOffset,
                writer = writer,
                partIndex = partIndex,
                partCount = partCount,
                streamTimeMs = streamTimeMs,
                entries = entryParts.getOrElse(partIndex) { emptyList() },
                abandoned = abandonedParts.getOrElse(partIndex) { emptyList() },
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
                is IntentRecord.CheckpointPart -> recordCheckpointTime(record, batch.appendedAtMs)
            }
        }
    }

    private fun recordCheckpointTime(part: IntentRecord.CheckpointPart, appendedAtMs: Long) {
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
        storeOutcome(record.key, entry, record.outcome)
    }

    private fun storeOutcome(key: RequestKey, entry: IntentEntry, outcome: StoredOutcome) {
        entries[key] = entry.copy(outcome = outcome)
        if (outcome.response == null) return
        keysWithResponse += key
        storedResponseBytes += outcome.response.body.size
        while (storedResponseBytes > retention.maxResponseBytes) dropResponse(keysWithResponse.removeFirst())
    }

    private fun dropResponse(key: RequestKey) {
        val entry = entries[key] ?: return
        val outcome = entry.outcome ?: return
        storedResponseBytes -= outcome.response?.body?.size ?: 0
        entries[key] = entry.copy(outcome = outcome.copy(response = null))
    }

    private fun expire() {
        val expiryCutoffMs = streamTimeMs - retention.keyRetentionMs
        val entryIterator = entries.values.iterator()
        while (entryIterator.hasNext()) {
            val entry = entryIterator.next()
            if (entry.recordedAtMs >= expiryCutoffMs) break
            storedResponseBytes -= entry.outcome?.response?.body?.size ?: 0
            entryIterator.remove()
        }
        while (keysWithResponse.isNotEmpty() && keysWithResponse.first() !in entries) keysWithResponse.removeFirst()
        val abandonedTimes = abandoned.values.iterator()
        while (abandonedTimes.hasNext() && abandonedTimes.next() < expiryCutoffMs) abandonedTimes.remove()
    }

    private fun collectCheckpoints(batch: IntentBatch) {
        for (part in batch.records.filterIsInstance<IntentRecord.CheckpointPart>()) {
            if (part.asOfOffset < bufferedBatches.first().offset) continue
            val partial = checkpoints.getOrPut(CheckpointId(part.writer, part.asOfOffset)) { PartialCheckpoint() }
            partial.parts[part.partIndex] = part
            if (partial.parts.size == part.partCount) return loadCheckpoint(partial)
        }
    }

    private fun loadCheckpoint(checkpoint: PartialCheckpoint) {
        val parts = checkpoint.parts.toSortedMap().values
        streamTimeMs = parts.first().streamTimeMs
        for (attempt in parts.flatMap { it.abandoned }) abandoned[attempt.attemptId] = attempt.recordedAtMs
        for (saved in parts.flatMap { it.entries }) {
            val entry = IntentEntry(saved.fingerprint, saved.attemptId, saved.recordedAtMs)
            entries[saved.key] = entry
            if (saved.outcome != null) storeOutcome(saved.key, entry, saved.outcome)
        }
        complete(fromOffset = parts.first().asOfOffset)
    }

    private fun complete(fromOffset: Long) {
        isComplete = true
        checkpoints.clear()
        for (buffered in bufferedBatches) if (buffered.offset >= fromOffset) apply(buffered.batch)
        bufferedBatches.clear()
    }
}
