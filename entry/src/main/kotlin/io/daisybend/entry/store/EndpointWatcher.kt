/*
 * Watches the platform's endpoint list. Entries are applied as the log grows; an unreadable entry is skipped and does
 * not affect others. Known endpoints stay while the store is unavailable; entries that are still missing some time
 * after it is available again are removed. When the store comes back from an older copy, entries of that copy are used
 * only for endpoints of which nothing newer is known.
 */
package io.daisybend.entry.store

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import io.daisybend.entry.Activity
import io.daisybend.entry.EventLog
import io.daisybend.entry.LoadMonitor
import io.daisybend.platform.KeyedRecord
import io.daisybend.platform.StoreClient
import io.daisybend.platform.StoreFailure
import io.daisybend.platform.StoreTopic
import io.daisybend.platform.readEndpoint
import io.daisybend.platform.readKeyedRecord
import io.daisybend.serving.endpoint.EndpointEntry
import io.daisybend.serving.endpoint.EndpointTable
import io.daisybend.serving.endpoint.Incarnation
import io.daisybend.serving.site.ClockPair
import io.daisybend.serving.site.ClockReading
import io.daisybend.serving.stream.StreamOrigins
import kotlinx.coroutines.delay

/** Keeps the endpoint table up to date with the store. */
internal class EndpointWatcher(
    private val store: StoreClient,
    private val clocks: ClockPair,
    private val table: EndpointTable,
    private val log: EventLog,
    private val load: LoadMonitor,
    private val streamOrigins: StreamOrigins,
    private val onEntry: (entry: EndpointEntry, isFirstRead: Boolean) -> Unit,
    private val onChange: () -> Unit,
) {
    private var nextOffset: Long? = null
    private var lostAt: ClockReading? = null
    private var regainedAt: ClockReading? = null
    private val missingIds = HashSet<String>()
    private val era = StoreEraFollower(store)

    /** When endpoints were removed, in milliseconds of the monotonic clock. */
    private val removedAtMs = HashMap<Incarnation, Long>()

    /** Whether the list was read at least once. */
    @Volatile
    var isLoaded: Boolean = false
        private set

    @Volatile
    private var confirmedAt: ClockReading? = null

    /** Returns the time since the list was last read, in milliseconds. */
    fun listAgeMs(): Long = confirmedAt?.let { clocks.read().ageOf(it) } ?: Long.MAX_VALUE

    /** Watches the store until the coroutine is cancelled. */
    suspend fun run() {
        while (true) {
            val sentAt = clocks.read()
            val failure = if (nextOffset == null) readSnapshot() else readUpdates(nextOffset ?: 0L)
            if (failure == null) onAnswer(sentAt) else onFailure(failure)
            delay(if (failure == null) POLL_INTERVAL_MS else RETRY_INTERVAL_MS)
        }
    }

    private fun onAnswer(sentAt: ClockReading) {
        val versions = table.all().groupBy({ it.entry.service }, { it.entry.softwareVersion })
        streamOrigins.onListed(versions.mapValues { (_, listed) -> listed.toSet() }, clocks.read().steadyMs)
        confirmedAt = sentAt
        if (lostAt != null) {
            log.write("endpoint-list-regained")
            lostAt = null
            regainedAt = clocks.read()
        }
        val regained = regainedAt
        if (regained != null && clocks.read().ageOf(regained) > RECOVERY_GRACE_MS) {
            missingIds.forEach(::remove)
            missingIds.clear()
            regainedAt = null
        }
    }

    private fun onFailure(failure: StoreFailure) {
        if (lostAt == null) {
            lostAt = clocks.read()
            log.write("endpoint-list-lost", "reason" to failure.message)
        }
    }

    private suspend fun readSnapshot(): StoreFailure? {
        val newest = store.readNewest(StoreTopic.ENDPOINTS, RESPONSE_TIMEOUT_MS).getOrElse { return it }
        val isOlderCopy = followEra()
        val records = newest.records
        applyRecords(if (isOlderCopy) records.filterNot(::isKnownBetter) else records)
        val listed = records.filter { it.value != null }.mapTo(HashSet()) { it.key }
        table.all().map { it.incarnation.id }.filter { it !in listed }.forEach(::onMissing)
        nextOffset = newest.nextOffset
        isLoaded = true
        return null
    }

    /** Returns whether the store has come back from an older copy since the last read of the list. */
    private fun followEra(): Boolean {
        if (!era.follow()) return false
        log.write("endpoint-list-restored", "era" to store.era)
        regainedAt = clocks.read()
        return true
    }

    /** Whether the endpoint of [record], read from an older copy, is known already or has left since. */
    private fun isKnownBetter(record: KeyedRecord): Boolean {
        val entry = record.value?.let { readEndpoint(record.key, it).get() } ?: return false
        val known = table.find(record.key)?.incarnation
        return known == entry.incarnation || entry.incarnation in removedAtMs
    }

    private suspend fun readUpdates(from: Long): StoreFailure? {
        val result = store.read(StoreTopic.ENDPOINTS, from, waitMs = 0, timeoutMs = RESPONSE_TIMEOUT_MS)
        // The offset is void in another era; what the older copy lacks is written after it again.
        if (era.hasChanged()) return readSnapshot()
        val read = result.getOrElse { failure ->
            return if (failure is StoreFailure.RecordsGone) readSnapshot() else failure
        }
        load.countBytes(Activity.READ_ENDPOINTS, read.records.sumOf { it.size })
        load.measure(Activity.READ_ENDPOINTS) { applyRecords(read.records.mapNotNull(::readKeyedRecord)) }
        nextOffset = read.nextOffset
        return null
    }

    private fun applyRecords(records: List<KeyedRecord>) {
        records.forEach(::applyRecord)
        if (records.isNotEmpty()) onChange()
    }

    private fun applyRecord(record: KeyedRecord) {
        val text = record.value ?: return onMissing(record.key)
        val entry = readEndpoint(record.key, text).getOrElse {
            log.write("endpoint-entry-unreadable", "reason" to it.message)
            return
        }
        missingIds.remove(record.key)
        val old = table.find(record.key)
        val wasDraining = old?.entry?.isDraining ?: false
        onEntry(entry, !isLoaded)
        table.put(entry, clocks.read().steadyMs)
        if (old == null || old.incarnation != entry.incarnation) {
            log.write(
                "endpoint-joined",
                "endpoint" to record.key,
                "service" to entry.service,
                "bornMs" to entry.incarnation.bornMs,
                "holds" to entry.holdings?.models?.keys,
            )
        }
        if (entry.isDraining && !wasDraining) {
            log.write(
                "endpoint-leaving",
                "endpoint" to record.key,
                "bornMs" to entry.incarnation.bornMs,
                "source" to "list",
            )
        }
    }

    /**
     * Removes an endpoint, or only marks it if its entry may have expired while the store was unavailable and may come
     * back.
     */
    private fun onMissing(id: String) {
        if (lostAt != null || regainedAt != null) missingIds.add(id) else remove(id)
    }

    private fun remove(id: String) {
        val removed = table.find(id) ?: return
        val now = clocks.read().steadyMs
        removedAtMs.values.removeIf { now - it > REMOVAL_MEMORY_MS }
        removedAtMs[removed.incarnation] = now
        table.remove(id)
        log.write("endpoint-gone", "endpoint" to id)
        onChange()
    }

    private companion object {
        /** Interval between reads, in milliseconds: less than half of the bound for removing endpoints that leave. */
        const val POLL_INTERVAL_MS = 850L

        /** Delay between attempts while the store does not respond, in milliseconds. */
        const val RETRY_INTERVAL_MS = 250L

        /** Timeout for a response, in milliseconds: many times the store's usual response time. */
        const val RESPONSE_TIMEOUT_MS = 700L

        /** How long removed endpoints are remembered, in milliseconds: longer than the copy of the store is old. */
        const val REMOVAL_MEMORY_MS = 60_000L

        /**
         * Time after the store is available again in which expired entries may come back, in milliseconds; set by the
         * platform.
         */
        const val RECOVERY_GRACE_MS = 2_000L
    }
}
