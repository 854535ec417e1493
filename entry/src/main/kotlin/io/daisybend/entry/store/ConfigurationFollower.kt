/*
 * Follows the operators' configuration in the store. The follower waits at the end of the log, so a new version is in
 * force one answer after it was accepted. Each answer also confirms that nothing newer existed when its call was sent;
 * one that came without records after the whole wait, that nothing newer existed until the wait's end. A version never
 * gives way to an older one.
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
import io.daisybend.serving.site.RouteTable
import kotlinx.coroutines.delay

/** The newest configuration and when the store last confirmed it. */
internal class ConfigurationFollower(
    private val store: StoreClient,
    private val clocks: ClockPair,
    private val log: EventLog,
    private val onChange: (RouteTable) -> Unit,
) {
    /** The tables of the configuration in force, or null before the first. */
    @Volatile
    var table: RouteTable? = null
        private set

    @Volatile
    private var confirmedAt: ClockReading? = null

    private var nextOffset: Long? = null
    private var connected = true

    /** Returns how long ago the configuration is known to have been the newest, in milliseconds. */
    fun confirmationAgeMs(): Long = confirmedAt?.let { clocks.read().ageOf(it) } ?: Long.MAX_VALUE

    /** Follows the store for ever. */
    suspend fun run() {
        while (true) {
            val sentAt = clocks.read()
            val versionBefore = table
            val failure = if (nextOffset == null) readNewest() else readOn(nextOffset ?: 0L)
            if (failure == null) {
                val heldBack = table === versionBefore && clocks.read().steadyMs - sentAt.steadyMs >= WAIT_MS
                confirmedAt = if (heldBack) sentAt.plus(WAIT_MS) else sentAt
                if (!connected) log.write("configuration-store-regained")
                connected = true
            } else {
                if (connected) log.write("configuration-store-lost", "reason" to failure.message)
                connected = false
                delay(RETRY_MS)
            }
        }
    }

    private suspend fun readNewest(): StoreFailure? {
        val newest = store.readNewest(StoreTopic.OPERATOR, ANSWER_TIMEOUT_MS).getOrElse { return it }
        newest.records.forEach(::takeIn)
        nextOffset = newest.nextOffset
        return null
    }

    private suspend fun readOn(from: Long): StoreFailure? {
        val read = store.read(StoreTopic.OPERATOR, from, WAIT_MS, ANSWER_TIMEOUT_MS).getOrElse { failure ->
            if (failure !is StoreFailure.RecordsGone) return failure
            log.write("configuration-records-gone", "from" to from, "first" to failure.first)
            return readNewest()
        }
        read.records.mapNotNull(::readKeyedRecord).forEach(::takeIn)
        nextOffset = read.nextOffset
        return null
    }

    private fun takeIn(record: KeyedRecord) {
        if (record.key != CONFIGURATION_KEY) return
        val text = record.value ?: return
        val configuration = readConfiguration(text).getOrElse {
            log.write("configuration-unreadable", "reason" to it.message)
            return
        }
        val current = table?.configuration?.version ?: Long.MIN_VALUE
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

    private companion object {
        /** How long the store holds a call without news, in milliseconds: half of the bound for a new version. */
        const val WAIT_MS = 1_200L

        /** Time for an answer beyond the wait, in milliseconds: many times the store's usual answer. */
        const val ANSWER_TIMEOUT_MS = 700L

        /** Time between attempts while the store does not answer, in milliseconds. */
        const val RETRY_MS = 250L
    }
}
