/*
 * Watches the platform's endpoint list. Entries are applied as the log grows; an unreadable entry is skipped and does
 * not affect others. Known endpoints stay while the store is unavailable; entries that are still missing some time
 * after it is available again are removed. When the store comes back from an older copy, entries of that copy are used
 * only for endpoints of which nothing newer is known. In a large fleet some VMs of a failure domain read the list and
 * pass its records on to the others.
 */
package io.daisybend.entry.store

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import io.daisybend.entry.Activity
import io.daisybend.entry.EventLog
import io.daisybend.entry.LoadMonitor
import io.daisybend.entry.peers.EndpointRelayReport
import io.daisybend.entry.peers.toExcerpt
import io.daisybend.entry.peers.toRecordReports
import io.daisybend.platform.KeyedRecord
import io.daisybend.platform.StoreClient
import io.daisybend.platform.StoreFailure
import io.daisybend.platform.StoreTopic
import io.daisybend.platform.readEndpoint
import io.daisybend.platform.readKeyedRecord
import io.daisybend.serving.duty.FIRST_STORE_ERA
import io.daisybend.serving.endpoint.EndpointEntry
import io.daisybend.serving.endpoint.EndpointTable
import io.daisybend.serving.endpoint.ExcerptUse
import io.daisybend.serving.endpoint.Incarnation
import io.daisybend.serving.endpoint.ListPosition
import io.daisybend.serving.endpoint.ListRelay
import io.daisybend.serving.endpoint.ListRelaySettings
import io.daisybend.serving.endpoint.RelayBuffer
import io.daisybend.serving.endpoint.RelayedRecord
import io.daisybend.serving.endpoint.SenderDelays
import io.daisybend.serving.site.ClockPair
import io.daisybend.serving.site.ClockReading
import io.daisybend.serving.stream.StreamOrigins
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.LongAdder

/** Keeps the endpoint table up to date with the store. */
internal class EndpointWatcher(
    private val store: StoreClient,
    private val clocks: ClockPair,
    private val table: EndpointTable,
    private val log: EventLog,
    private val load: LoadMonitor,
    private val streamOrigins: StreamOrigins,
    private val sharing: ListSharing,
    relaySettings: ListRelaySettings,
    private val retry: StoreRetry,
    private val onEntry: (entry: EndpointEntry, isFirstRead: Boolean) -> Unit,
    private val onChange: () -> Unit,
) {
    /** Guards all state below: records come from own reads and from the reports of peers. */
    private val lock = Any()
    private val relay = ListRelay(relaySettings)
    private val buffer = RelayBuffer()
    private val delays = SenderDelays()
    private var lostAt: ClockReading? = null
    private var regainedAt: ClockReading? = null
    private val missingIds = HashSet<String>()
    private val era = StoreEraFollower(store)

    /** The newest readable entries of the list by id; what is used of them may differ. */
    private val listed = HashMap<String, EndpointEntry>()

    /** When endpoints were removed, in milliseconds of the monotonic clock. */
    private val removedAtMs = HashMap<Incarnation, Long>()

    /** Relays by what they were good for. */
    private val relayUses = ConcurrentHashMap<String, LongAdder>()

    /** Whether the list was read at least once. */
    @Volatile
    var isLoaded: Boolean = false
        private set

    @Volatile
    private var confirmedAt: ClockReading? = null

    /** Returns the time since the list was last read, in milliseconds. */
    fun listAgeMs(): Long = confirmedAt?.let { clocks.read().ageOf(it) } ?: Long.MAX_VALUE

    /** Returns the number of received relays by what they were good for. */
    fun relayCounts(): Map<String, Double> = relayUses.mapValues { it.value.sum().toDouble() }

    /** Watches the store until the coroutine is cancelled. */
    suspend fun run() = coroutineScope {
        launch {
            while (true) {
                synchronized(lock) { relay.onLoop(clocks.read()) }
                delay(LOOP_INTERVAL_MS)
            }
        }
        watch()
    }

    private suspend fun watch() {
        while (true) {
            val sentAt = clocks.read()
            val (from, wasLost) = synchronized(lock) { relay.position to (lostAt != null) }
            val failure = if (from == null) readSnapshot(sentAt) else readUpdates(from.nextOffset, sentAt)
            if (failure != null) {
                synchronized(lock) { onFailure(failure) }
                // The bound for endpoints that leave allows no delay after a call on a connection that went silent.
                val isSilent = clocks.read().steadyMs - sentAt.steadyMs >= RESPONSE_TIMEOUT_MS
                if (!isSilent || wasLost || !sharing.isShared) retry.await(RETRY_INTERVAL_MS)
            } else {
                passOn(sentAt)
                if (!sharing.isShared) delay(POLL_INTERVAL_MS)
            }
            if (sharing.isShared) awaitTurn()
        }
    }

    /** Waits until this VM has to read the list itself. */
    private suspend fun awaitTurn() {
        while (true) {
            val rank = sharing.readerRank()
            val dueInMs = synchronized(lock) {
                if (rank == null) buffer.skip()
                relay.readDueInMs(rank, clocks.read())
            }
            if (dueInMs <= 0) return
            delay(dueInMs.coerceAtMost(LOOP_INTERVAL_MS))
        }
    }

    /** Passes on what was read by a call sent at [sentAt] if this VM reads for others. */
    private suspend fun passOn(sentAt: ClockReading) {
        if (!sharing.isShared || sharing.readerRank() == null) return
        val (pieces, position) = synchronized(lock) { buffer.take(MAX_RELAY_BYTES, MIN_RELAY_BYTES) to relay.position }
        val end = position?.nextOffset ?: return
        val bytes = pieces.sumOf { piece ->
            REPORT_BYTES +
                piece.records.sumOf { it.key.length + (it.value?.length ?: 0) }
        }
        val relays = pieces.map { piece ->
            {
                val now = clocks.read()
                EndpointRelayReport(
                    era = piece.era,
                    from = piece.from,
                    end = end,
                    readAgoMs = now.ageOf(sentAt),
                    records = piece.records.toRecordReports(),
                    regainedAgoMs = synchronized(lock) { regainedAt?.let(now::ageOf) },
                )
            }
        }
        sharing.send(bytes, relays)
    }

    /** Notes the delay of a report of [process], sent at [sentMs] of its clock, and applies its part of the list. */
    fun onPeerReport(process: String, sentMs: Long, report: EndpointRelayReport?): Unit = synchronized(lock) {
        val now = clocks.read()
        val delayMs = delays.onReport(process, sentMs, now.steadyMs)
        if (report == null) return
        // Entries may have expired while the sender did not reach the store, as after an own loss of it.
        if (regainedAt == null) regainedAt = report.regainedAgoMs?.let { now.plus(-it) }
        val use = load.measure(Activity.READ_ENDPOINTS) { applyRelay(report, delayMs, now) }
        relayUses.computeIfAbsent(use) { LongAdder() }.increment()
    }

    private fun applyRelay(report: EndpointRelayReport, delayMs: Long?, now: ClockReading): String =
        when (val use = relay.onExcerpt(report.toExcerpt(), delayMs, now)) {
            is ExcerptUse.Apply -> {
                val sent = apply(use.records)
                relay.position?.let { buffer.add(sent, it) }
                if (use.isConfirmed) onConfirmed()
                if (use.isConfirmed) "confirmed" else "applied"
            }
            ExcerptUse.Gap -> "gap"
            ExcerptUse.Outdated -> "outdated"
            ExcerptUse.Unplaced -> "unplaced"
        }

    private fun onConfirmed() {
        val versions = table.all().groupBy({ it.entry.service }, { it.entry.softwareVersion })
        val now = clocks.read()
        streamOrigins.onListed(versions.mapValues { (_, listed) -> listed.toSet() }, now.steadyMs)
        confirmedAt = relay.confirmedAt
        if (lostAt != null) {
            log.write("endpoint-list-regained")
            lostAt = null
            regainedAt = now
        }
        val regained = regainedAt
        if (regained != null && now.ageOf(regained) > RECOVERY_GRACE_MS) {
            missingIds.forEach(::remove)
            missingIds.clear()
            regainedAt = null
        }
        delays.removeExpired(now.steadyMs)
    }

    private fun onFailure(failure: StoreFailure) {
        if (lostAt == null) {
            lostAt = clocks.read()
            log.write("endpoint-list-lost", "reason" to failure.message)
        }
    }

    private suspend fun readSnapshot(sentAt: ClockReading): StoreFailure? {
        synchronized(lock) { relay.reset() }
        val newest = store.readNewest(StoreTopic.ENDPOINTS, RESPONSE_TIMEOUT_MS).getOrElse { return it }
        synchronized(lock) {
            val isOlderCopy = followEra()
            val records = newest.records
            listed.clear()
            // Records of an older copy that are not applied are those that the log goes on from all the same.
            if (isOlderCopy) records.filter(::isKnownBetter).forEach(::decode)
            val applicable = if (isOlderCopy) records.filterNot(::isKnownBetter) else records
            apply(applicable.map { RelayedRecord(it.key, it.value) })
            val listedIds = records.filter { it.value != null }.mapTo(HashSet()) { it.key }
            table.all().map { it.incarnation.id }.filter { it !in listedIds }.forEach(::onMissing)
            isLoaded = true
            onOwnRead(newest.nextOffset, emptyList(), sentAt)
        }
        return null
    }

    private fun onOwnRead(nextOffset: Long, records: List<RelayedRecord>, sentAt: ClockReading) {
        val position = ListPosition(era.followedEra ?: FIRST_STORE_ERA, nextOffset)
        buffer.add(records, position)
        relay.onOwnRead(position, sentAt, clocks.read())
        onConfirmed()
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

    private suspend fun readUpdates(from: Long, sentAt: ClockReading): StoreFailure? {
        val result = store.read(StoreTopic.ENDPOINTS, from, waitMs = 0, timeoutMs = RESPONSE_TIMEOUT_MS)
        // The offset is void in another era; what the older copy lacks is written after it again.
        if (era.hasChanged()) return readSnapshot(sentAt)
        val read = result.getOrElse { failure ->
            return if (failure is StoreFailure.RecordsGone) readSnapshot(sentAt) else failure
        }
        load.countBytes(Activity.READ_ENDPOINTS, read.records.sumOf { it.size })
        synchronized(lock) {
            // A peer has reported another era: the list is read anew.
            val applied = relay.position ?: return null
            // Peers may have passed on some of the records meanwhile.
            val known = (applied.nextOffset - from).coerceIn(0, read.records.size.toLong()).toInt()
            load.measure(Activity.READ_ENDPOINTS) {
                val sent = apply(read.records.drop(known).map(::readRecord))
                onOwnRead(maxOf(read.nextOffset, applied.nextOffset), sent, sentAt)
            }
        }
        return null
    }

    /** Decodes a record; one without a key still counts in the offsets. */
    private fun readRecord(bytes: ByteArray): RelayedRecord =
        readKeyedRecord(bytes)?.let { RelayedRecord(it.key, it.value) } ?: RelayedRecord("", null, isUnchanged = true)

    /** Applies [records]; returns what is passed on of them. */
    private fun apply(records: List<RelayedRecord>): List<RelayedRecord> {
        val passedOn = records.map { record ->
            if (record.key.isEmpty()) return@map record
            val before = listed[record.key]
            when {
                record.isUnchanged && before == null -> relay.reset()
                record.isUnchanged -> before?.let(::applyEntry)
                record.value == null -> {
                    listed.remove(record.key)
                    onMissing(record.key)
                }
                else -> decode(KeyedRecord(record.key, record.value))?.let(::applyEntry)
            }
            val isUnchanged = before != null && record.value != null && listed[record.key] == before
            if (isUnchanged) RelayedRecord(record.key, null, isUnchanged = true) else record
        }
        if (records.isNotEmpty()) onChange()
        return passedOn
    }

    private fun decode(record: KeyedRecord): EndpointEntry? {
        val text = record.value ?: return null
        val entry = readEndpoint(record.key, text).getOrElse {
            log.write("endpoint-entry-unreadable", "reason" to it.message)
            listed.remove(record.key)
            return null
        }
        listed[record.key] = entry
        return entry
    }

    private fun applyEntry(entry: EndpointEntry) {
        val id = entry.incarnation.id
        missingIds.remove(id)
        val old = table.find(id)
        val wasDraining = old?.entry?.isDraining ?: false
        onEntry(entry, !isLoaded)
        table.put(entry, clocks.read().steadyMs)
        if (old == null || old.incarnation != entry.incarnation) {
            log.write(
                "endpoint-joined",
                "endpoint" to id,
                "service" to entry.service,
                "bornMs" to entry.incarnation.bornMs,
                "holds" to entry.holdings?.models?.keys,
            )
        }
        if (entry.isDraining && !wasDraining) {
            log.write(
                "endpoint-leaving",
                "endpoint" to id,
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

        /** Interval at which a VM that does not read checks what is due, in milliseconds. */
        const val LOOP_INTERVAL_MS = 100L

        /** Bytes of records in one datagram; the rest of a report has some 2 kB, and 8 kB are seldom lost. */
        const val MAX_RELAY_BYTES = 6_000

        /** Bytes up to which older records are repeated: whole datagrams of them would fill the smallest link. */
        const val MIN_RELAY_BYTES = 1_000

        /** Bytes of a report beside the records, for the use of the link. */
        const val REPORT_BYTES = 2_000

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
