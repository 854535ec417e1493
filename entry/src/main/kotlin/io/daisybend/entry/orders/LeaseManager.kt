/*
 * Runs the lease of the order duty on this VM: appends its records to the store and applies records of other VMs.
 */
package io.daisybend.entry.orders

import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.map
import com.github.michaelbull.result.onFailure
import io.daisybend.entry.EventLog
import io.daisybend.entry.peers.DutyReport
import io.daisybend.platform.StoreClient
import io.daisybend.platform.StoreFailure
import io.daisybend.platform.StoreTopic
import io.daisybend.serving.duty.DutyContact
import io.daisybend.serving.duty.DutyForecast
import io.daisybend.serving.duty.DutyHolder
import io.daisybend.serving.duty.DutyLease
import io.daisybend.serving.duty.DutyOutlook
import io.daisybend.serving.duty.DutyPredecessor
import io.daisybend.serving.duty.DutyRecord
import io.daisybend.serving.duty.DutySettings
import io.daisybend.serving.duty.DutyStep
import io.daisybend.serving.site.ClockPair
import kotlinx.coroutines.delay

/**
 * Drives the [DutyLease] of this VM with the store and the reports of peers, and hands over when [shouldHandOver] says
 * so. Calls [reportSoon] when the peers must learn of a change before the next regular report.
 */
internal class LeaseManager(
    private val store: StoreClient,
    private val clocks: ClockPair,
    private val ownHolder: DutyHolder,
    settings: DutySettings,
    private val log: EventLog,
    private val rank: () -> Int?,
    private val onAcquired: () -> Unit,
    private val reportSoon: () -> Unit,
    private val shouldHandOver: () -> Boolean = { false },
) {
    private val lock = Any()
    private val lease = DutyLease(ownHolder, settings, clocks.read())
    private val forecast = DutyForecast(settings)

    /** Returns the epoch in which this VM may send orders now, or null. */
    fun currentEpoch(): Long? = synchronized(lock) { lease.ownEpoch?.takeIf { lease.mayOrder(clocks.read()) } }

    /** Returns whether the holder before was this process, in an earlier era of the store. */
    fun succeedsItself(): Boolean = predecessor()?.holder == ownHolder

    /** Returns the epoch that this VM gave up and took back with its current one, or null. */
    fun takenBackEpoch(): Long? = synchronized(lock) { lease.takenBackEpoch }

    /** Returns the holder before this VM, or null. */
    fun predecessor(): DutyPredecessor? = synchronized(lock) { lease.predecessor }

    /** Returns when some VM sends orders; [contact] is what this VM hears of the holder. */
    fun outlook(contact: DutyContact): DutyOutlook {
        if (currentEpoch() != null) return DutyOutlook.Held
        return forecast.outlook(synchronized(lock) { lease.succession(clocks.read()) }, contact)
    }

    /** Returns the newest lease record that this VM knows, for its report to the peers. */
    fun newestRecord(): DutyReport? = synchronized(lock) {
        // Others don't repeat the release: builds that don't know the field read no report that has it.
        lease.newestRecord?.let { it.toReport().copy(released = lease.mustReportRelease(clocks.read())) }
    }

    /** Returns the renewal that peers should append for this VM, or null. */
    fun renewalToDelegate(): DutyReport? =
        synchronized(lock) { lease.renewalToDelegate(clocks.read()) }?.let { it.toReport() }

    /** Applies a lease record reported by a peer. */
    fun onReport(report: DutyReport) {
        val record = report.toRecord() ?: return
        val isLeaseResumed = synchronized(lock) {
            val now = clocks.read()
            val couldOrder = lease.mayOrder(now)
            lease.onPeerRecord(record, now)
            if (report.released) lease.onReleased(record.epoch, now)
            !couldOrder && lease.mayOrder(now)
        }
        if (isLeaseResumed) onAcquired()
    }

    /** Appends [requested] for a peer whose own appends fail; returns whether the end of the log has moved. */
    suspend fun appendForPeer(requested: DutyReport): Boolean {
        val record = requested.toRecord() ?: return false
        if (!synchronized(lock) { lease.mayAppendFor(record) }) return false
        val bytes = writeRecord(record.holder, record.epoch)
        val appended = store.append(StoreTopic.DUTY, bytes, record.offset, APPEND_TIMEOUT_MS)
        followEra()
        appended.getOrElse {
            log.write("duty-append-for-peer-failed", "holder" to record.holder.toString(), "reason" to it.message)
            if (it is StoreFailure.OffsetConflict) onAppendConflict(record.offset, it.end)
            return it is StoreFailure.OffsetConflict
        }
        synchronized(lock) { lease.onPeerRecord(record, clocks.read()) }
        return true
    }

    private fun DutyReport.toRecord(): DutyRecord? {
        val parsed = DutyHolder.parse(holder)
        if (parsed == null) log.write("duty-report-unreadable", "holder" to holder)
        return parsed?.let { DutyRecord(it, epoch, offset) }
    }

    private fun DutyRecord.toReport() = DutyReport(holder.toString(), epoch, offset)

    /** Gives up the duty for good; returns whether this VM held it, so that the peers must be told. */
    fun releaseLease(): Boolean {
        val wasHeld = synchronized(lock) { lease.release(clocks.read()) }
        if (wasHeld) log.write("duty-released", "epoch" to newestRecord()?.epoch, "reason" to "stopping")
        return wasHeld
    }

    private fun handOverIfDue() {
        if (currentEpoch() == null || !shouldHandOver()) return
        if (!synchronized(lock) { lease.handOver(clocks.read()) }) return
        log.write("duty-released", "epoch" to newestRecord()?.epoch, "reason" to "cut-off")
        reportSoon()
    }

    /** Renews or tries to acquire the lease until the coroutine is cancelled. */
    suspend fun run() {
        while (true) {
            followEra()
            handOverIfDue()
            val candidateRank = rank()
            val step = candidateRank?.let { synchronized(lock) { lease.nextStep(clocks.read(), it) } } ?: DutyStep.Wait
            when (step) {
                is DutyStep.Append -> append(step.atOffset)
                DutyStep.ReadLog -> readLog()
                DutyStep.Wait -> Unit
            }
            delay(if (candidateRank == null) MAX_CHECK_INTERVAL_MS else nextCheckDelayMs(candidateRank))
        }
    }

    private fun nextCheckDelayMs(rank: Int): Long =
        synchronized(lock) { lease.nextStepInMs(clocks.read(), rank) }
            .coerceIn(MIN_CHECK_INTERVAL_MS, MAX_CHECK_INTERVAL_MS)

    private suspend fun append(atOffset: Long) {
        val sentAt = clocks.read()
        val epoch = synchronized(lock) {
            lease.onAppendSent(atOffset, sentAt)
            lease.epochFor(atOffset)
        }
        val appended = store.append(StoreTopic.DUTY, writeRecord(ownHolder, epoch), atOffset, APPEND_TIMEOUT_MS)
        followEra()
        val offset = appended.getOrElse { return onAppendFailed(atOffset, it) }
        val isLeaseAcquired = synchronized(lock) { lease.onAppended(sentAt, offset, epoch) }
        if (!isLeaseAcquired) return
        log.write("duty-taken", "epoch" to epoch, "offset" to offset)
        onAcquired()
    }

    /** Tells the lease of the store's era; called after each call, before its result is used. */
    private fun followEra() {
        val era = store.era ?: return
        if (synchronized(lock) { lease.onStoreEra(era, clocks.read()) }) log.write("duty-era-changed", "era" to era)
    }

    private suspend fun readLog() {
        val readEra = store.era ?: return
        synchronized(lock) { lease.onReadSent(clocks.read()) }
        val read = store.readAll(StoreTopic.DUTY, APPEND_TIMEOUT_MS).getOrElse {
            synchronized(lock) { lease.onCallFailed() }
            log.write("duty-log-unread", "from" to "start", "reason" to it.message)
            return
        }
        followEra()
        val firstOffset = read.nextOffset - read.records.size
        val records = read.records.mapIndexedNotNull { index, record -> readRecord(record, firstOffset + index) }
        synchronized(lock) { lease.onLogRead(records, read.nextOffset, readEra, clocks.read()) }
        log.write(
            "duty-log-read",
            "era" to readEra,
            "end" to read.nextOffset,
            "holder" to records.lastOrNull()?.holder?.toString(),
        )
    }

    private suspend fun onAppendFailed(atOffset: Long, failure: StoreFailure) {
        if (failure is StoreFailure.OffsetConflict) return onAppendConflict(atOffset, failure.end)
        synchronized(lock) { lease.onCallFailed() }
        // Peers have to append the renewal while the lease is valid; the next regular report may be too late.
        if (currentEpoch() != null) reportSoon()
        log.write("duty-append-failed", "offset" to atOffset, "reason" to failure.message)
    }

    private suspend fun onAppendConflict(from: Long, end: Long) {
        val missedRecords = store.read(StoreTopic.DUTY, from, waitMs = 0, timeoutMs = APPEND_TIMEOUT_MS)
            .onFailure { log.write("duty-log-unread", "from" to from, "reason" to it.message) }
            .map { read -> read.records.mapIndexedNotNull { index, record -> readRecord(record, from + index) } }
            .getOrElse { emptyList() }
        followEra()
        val knownEnd = missedRecords.lastOrNull()?.let { maxOf(end, it.offset + 1) } ?: end
        synchronized(lock) { lease.onAppendConflict(missedRecords, knownEnd, clocks.read()) }
        log.write(
            "duty-log-moved",
            "from" to from,
            "end" to end,
            "holder" to missedRecords.lastOrNull()?.holder?.toString(),
        )
    }

    private fun writeRecord(holder: DutyHolder, epoch: Long) = "$epoch $holder".encodeToByteArray()

    private fun readRecord(bytes: ByteArray, offset: Long): DutyRecord? {
        val text = bytes.decodeToString()
        val epoch = text.substringBefore(' ').toLongOrNull()
        val holder = DutyHolder.parse(text.substringAfter(' '))
        if (epoch == null || holder == null) {
            log.write("duty-record-unreadable", "offset" to offset)
            return null
        }
        return DutyRecord(holder, epoch, offset)
    }

    private companion object {
        /** Minimum interval between checks of the lease, in milliseconds: well below the stagger between candidates. */
        const val MIN_CHECK_INTERVAL_MS = 40L

        /** Maximum interval between checks, in milliseconds: reports of peers may change what is due. */
        const val MAX_CHECK_INTERVAL_MS = 200L

        /**
         * Timeout for a response of the store, in milliseconds: after a lost renewal, another one must fit in before
         * the lease expires.
         */
        const val APPEND_TIMEOUT_MS = 700L
    }
}
