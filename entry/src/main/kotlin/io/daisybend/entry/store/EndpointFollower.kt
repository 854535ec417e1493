/*
 * Follows the platform's list of endpoints. Entries come in as the log grows; entries that can't be read name no
 * endpoint and leave the others alone. While the store is away what was known stays; what is missing some time after
 * its return is gone.
 */
package io.daisybend.entry.store

import com.github.michaelbull.result.getOrElse
import io.daisybend.entry.EventLog
import io.daisybend.platform.KeyedRecord
import io.daisybend.platform.StoreClient
import io.daisybend.platform.StoreFailure
import io.daisybend.platform.StoreTopic
import io.daisybend.platform.readEndpoint
import io.daisybend.platform.readKeyedRecord
import io.daisybend.serving.endpoint.EndpointTable
import io.daisybend.serving.site.ClockPair
import io.daisybend.serving.site.ClockReading
import kotlinx.coroutines.delay

/** Keeps the endpoint table in step with the store. */
internal class EndpointFollower(
    private val store: StoreClient,
    private val clocks: ClockPair,
    private val table: EndpointTable,
    private val log: EventLog,
    private val onChange: () -> Unit,
) {
    private var nextOffset: Long? = null
    private var lostAt: ClockReading? = null
    private var regainedAt: ClockReading? = null
    private val missing = HashSet<String>()

    /** Whether the list was read at least once. */
    @Volatile
    var isKnown: Boolean = false
        private set

    /** Follows the store for ever. */
    suspend fun run() {
        while (true) {
            val failure = if (nextOffset == null) readNewest() else readOn(nextOffset ?: 0L)
            if (failure == null) onAnswer() else onFailure(failure)
            delay(if (failure == null) READ_EVERY_MS else RETRY_MS)
        }
    }

    private fun onAnswer() {
        if (lostAt != null) {
            log.write("endpoint-list-regained")
            lostAt = null
            regainedAt = clocks.read()
        }
        val regained = regainedAt
        if (regained != null && clocks.read().ageOf(regained) > RETURN_MS) {
            missing.forEach(::remove)
            missing.clear()
            regainedAt = null
        }
    }

    private fun onFailure(failure: StoreFailure) {
        if (lostAt == null) {
            lostAt = clocks.read()
            log.write("endpoint-list-lost", "reason" to failure.message)
        }
    }

    private suspend fun readNewest(): StoreFailure? {
        val newest = store.readNewest(StoreTopic.ENDPOINTS, ANSWER_TIMEOUT_MS).getOrElse { return it }
        val records = newest.records
        records.forEach(::takeIn)
        val listed = records.filter { it.value != null }.mapTo(HashSet()) { it.key }
        table.all().map { it.incarnation.id }.filter { it !in listed }.forEach(::onMissing)
        nextOffset = newest.nextOffset
        isKnown = true
        return null
    }

    private suspend fun readOn(from: Long): StoreFailure? {
        val read = store.read(
            StoreTopic.ENDPOINTS,
            from,
            waitMs = 0,
            timeoutMs = ANSWER_TIMEOUT_MS,
        ).getOrElse { failure ->
            return if (failure is StoreFailure.RecordsGone) readNewest() else failure
        }
        read.records.mapNotNull(::readKeyedRecord).forEach(::takeIn)
        nextOffset = read.nextOffset
        return null
    }

    private fun takeIn(record: KeyedRecord) {
        val text = record.value ?: return onMissing(record.key)
        val entry = readEndpoint(record.key, text).getOrElse {
            log.write("endpoint-entry-unreadable", "endpoint" to record.key, "reason" to it.message)
            return
        }
        missing.remove(record.key)
        val old = table.find(record.key)
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
        if (entry.isDraining && old?.entry?.isDraining != true) log.write("endpoint-leaving", "endpoint" to record.key)
        onChange()
    }

    /** An entry that lapsed while the store was away may come back; else it is gone. */
    private fun onMissing(id: String) {
        if (lostAt != null || regainedAt != null) missing.add(id) else remove(id)
    }

    private fun remove(id: String) {
        if (table.find(id) == null) return
        table.remove(id)
        log.write("endpoint-gone", "endpoint" to id)
        onChange()
    }

    private companion object {
        /** Time between reads, in milliseconds: less than half of the bound for leaving endpoints. */
        const val READ_EVERY_MS = 850L

        /** Time between attempts while the store does not answer, in milliseconds. */
        const val RETRY_MS = 250L

        /** Time for an answer, in milliseconds: many times the store's usual one. */
        const val ANSWER_TIMEOUT_MS = 700L

        /** Time after the store's return in which lapsed entries come back, in milliseconds; set by the platform. */
        const val RETURN_MS = 2_000L
    }
}
