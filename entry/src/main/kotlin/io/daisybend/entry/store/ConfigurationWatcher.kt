/*
 * Watches the operators' configuration in the store with long polls at the end of the log, so that a new version takes
 * effect one response after it was accepted. Each response also confirms that no newer version existed when the call
 * was sent; a response without records after the whole wait confirms it until the end of the wait. An older version
 * never replaces a newer one. A store that comes back from an older copy may have an older version for a while; the VMs
 * that have a newer one report it, and a VM that has started since confirms nothing older.
 */
package io.daisybend.entry.store

import com.github.michaelbull.result.getOrElse
import io.daisybend.entry.EventLog
import io.daisybend.platform.CONFIGURATION_KEY
import io.daisybend.platform.KeyedRecord
import io.daisybend.platform.StoreClient
import io.daisybend.platform.StoreFailure
import io.daisybend.platform.StoreTopic
import io.daisybend.platform.readConfiguration
import io.daisybend.platform.readKeyedRecord
import io.daisybend.serving.site.ClockPair
import io.daisybend.serving.site.ClockReading
import io.daisybend.serving.site.OperatorPollTimes
import io.daisybend.serving.site.RouteTable
import io.daisybend.serving.site.StorePolling
import kotlinx.coroutines.delay
import kotlin.random.Random

/** Holds the newest configuration and the time at which the store last confirmed it. */
internal class ConfigurationWatcher(
    private val store: StoreClient,
    private val clocks: ClockPair,
    private val log: EventLog,
    private val polling: StorePolling,
    private val vmCount: () -> Int,
    private val evacuationRecords: EvacuationRecords,
    private val onChange: (RouteTable) -> Unit,
) {
    /** Route table of the configuration in force, or null before the first configuration. */
    @Volatile
    var table: RouteTable? = null
        private set

    @Volatile
    private var confirmedAt: ClockReading? = null

    private var nextOffset: Long? = null

    @Volatile
    private var isConnected = true

    /** Whether the newest call got no usable answer. */
    val isStoreLost: Boolean get() = !isConnected
    private val era = StoreEraFollower(store)

    /** The newest version that was read in the current era of the store. */
    @Volatile
    private var storeVersion = Long.MIN_VALUE

    /** The newest version that a peer reported because the store lacks it. */
    @Volatile
    private var peerVersion = Long.MIN_VALUE

    private val ownVersion: Long get() = table?.configuration?.version ?: Long.MIN_VALUE

    /** The version in force if the store lacks it, or null. */
    val versionAheadOfStore: Long? get() = ownVersion.takeIf { storeVersion < it }

    /** Applies the [version] that a peer has and the store lacks; this VM must not serve with an older one. */
    fun onPeerAhead(version: Long) {
        if (version <= maxOf(peerVersion, ownVersion)) return
        peerVersion = version
        log.write("configuration-newer-at-peer", "version" to version, "own" to table?.configuration?.version)
    }

    /** The times of the long polls in a fleet of the current size. */
    val times: OperatorPollTimes get() = polling.operatorTimes(vmCount())

    /** Returns the time since the configuration was last confirmed to be the newest, in milliseconds. */
    fun confirmationAgeMs(): Long =
        confirmedAt?.takeIf { ownVersion >= peerVersion }?.let { clocks.read().ageOf(it) } ?: Long.MAX_VALUE

    /** Watches the store until the coroutine is cancelled. */
    suspend fun run() {
        while (true) {
            val sentAt = clocks.read()
            val tableBefore = table
            val evacuatedBefore = evacuationRecords.current
            val longPollMs = times.longPollMs
            val failure = if (nextOffset == null) readSnapshot() else readUpdates(nextOffset ?: 0L, longPollMs)
            val tookMs = clocks.read().steadyMs - sentAt.steadyMs
            if (failure == null) {
                val isUnchanged = table === tableBefore && evacuationRecords.current === evacuatedBefore
                val isEmptyLongPoll = isUnchanged && tookMs >= longPollMs
                confirmedAt = if (isEmptyLongPoll) sentAt.plus(longPollMs) else sentAt
                if (!isConnected) log.write("configuration-store-regained")
                isConnected = true
            } else {
                if (isConnected) log.write("configuration-store-lost", "reason" to failure.message)
                // The bound for a new version leaves no time for a delay after a poll on a connection that went silent.
                val isSilentPoll = isConnected && tookMs >= longPollMs && polling.isLargeFleet(vmCount())
                isConnected = false
                // The store may come back from an older copy, and a long poll would hide that while it waits.
                nextOffset = null
                if (!isSilentPoll) delay(polling.retryDelayMs(vmCount(), Random))
            }
            evacuationRecords.removeOverdue()
        }
    }

    private suspend fun readSnapshot(): StoreFailure? {
        val newest = store.readNewest(StoreTopic.OPERATOR, StorePolling.RESPONSE_TIMEOUT_MS).getOrElse { return it }
        val isRestored = era.follow()
        // A VM that starts must know the evacuations before the configuration lets it serve.
        evacuationRecords.onSnapshot(newest.records, isRestored)
        if (isRestored) {
            storeVersion = Long.MIN_VALUE
            log.write("configuration-store-restored", "era" to store.era)
        }
        newest.records.forEach(::applyConfiguration)
        nextOffset = newest.nextOffset
        return null
    }

    private suspend fun readUpdates(from: Long, longPollMs: Long): StoreFailure? {
        val result = store.read(StoreTopic.OPERATOR, from, longPollMs, StorePolling.RESPONSE_TIMEOUT_MS)
        // The offset is void in another era, and the records before it may have changed.
        if (era.hasChanged()) return readSnapshot()
        val read = result.getOrElse { failure ->
            if (failure !is StoreFailure.RecordsGone) return failure
            log.write("configuration-records-gone", "from" to from, "first" to failure.first)
            return readSnapshot()
        }
        read.records.mapNotNull(::readKeyedRecord).forEach(::applyRecord)
        nextOffset = read.nextOffset
        return null
    }

    private fun applyRecord(record: KeyedRecord) {
        evacuationRecords.onRecord(record)
        applyConfiguration(record)
    }

    private fun applyConfiguration(record: KeyedRecord) {
        if (record.key != CONFIGURATION_KEY) return
        val text = record.value ?: return
        val configuration = readConfiguration(text).getOrElse {
            log.write("configuration-unreadable", "reason" to it.message)
            return
        }
        storeVersion = maxOf(storeVersion, configuration.version)
        val current = ownVersion
        if (configuration.version <= current) return
        val newTable = RouteTable(configuration)
        table = newTable
        log.write(
            "configuration-in-force",
            "version" to configuration.version,
            "before" to current.takeIf { it > 0 },
            "routes" to configuration.routes.size,
            "rates" to configuration.teams.associate { it.name to "${it.ratePerSecond}/s burst ${it.burst}" },
        )
        onChange(newTable)
    }
}
