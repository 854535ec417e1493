/*
 * Keeps the evidence of the quarantines in force in the platform's store, for VMs that start or that their peers do not
 * reach. A VM writes what it saw itself and reads the evidence at its start, before it serves, and again while peers
 * are out of contact. The key of the fingerprints in the evidence is kept beside it.
 */
package io.daisybend.entry.store

import com.github.michaelbull.result.getOrElse
import com.github.michaelbull.result.mapBoth
import io.daisybend.entry.EventLog
import io.daisybend.entry.exchange.RequestFingerprinter
import io.daisybend.entry.peers.EngineEndReport
import io.daisybend.entry.peers.toEngineEnd
import io.daisybend.entry.peers.toReport
import io.daisybend.platform.KeyedRecord
import io.daisybend.platform.NewestRecords
import io.daisybend.platform.StoreClient
import io.daisybend.platform.StoreTopic
import io.daisybend.platform.writeKeyedRecord
import io.daisybend.serving.endpoint.Incarnation
import io.daisybend.serving.quarantine.CrashEvidence
import io.daisybend.serving.quarantine.CrashQuarantine
import io.daisybend.serving.quarantine.EngineEnd
import io.daisybend.serving.site.ClockPair
import io.daisybend.serving.site.StorePolling
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.util.HexFormat

/** The end of an engine as it is kept; [endedAtMs] is a wall-clock time. */
@Serializable
private data class KeptEnd(val endedAtMs: Long, val end: EngineEndReport)

/** The key of the fingerprints as it is kept, in hexadecimal digits. */
@Serializable
private data class KeptKey(val fingerprintKey: String)

/**
 * Reads and writes kept evidence; [missingPeersIntervalMs] returns the interval between reads while peers are out of
 * contact, in milliseconds, or null while none is.
 */
internal class QuarantineKeeper(
    private val store: StoreClient,
    private val quarantine: CrashQuarantine,
    private val fingerprinter: RequestFingerprinter,
    private val clocks: ClockPair,
    private val log: EventLog,
    private val retry: StoreRetry,
    private val missingPeersIntervalMs: () -> Long?,
) {
    private val era = StoreEraFollower(store)
    private val changed = Channel<Unit>(Channel.CONFLATED)

    /** Engines whose ends are kept in the store. */
    private val keptEngines = HashSet<Incarnation>()
    private var isLoaded = false
    private var isKeyShared = false
    private var wasQuarantining = false
    private var lastReadMs = clocks.read().steadyMs

    /** Writes the evidence of new quarantines soon. */
    fun keepSoon() {
        changed.trySend(Unit)
    }

    /** Reads the key of the fingerprints and the kept evidence; logs a line if the store did not return them. */
    suspend fun load() {
        repeat(KEY_ATTEMPTS) {
            val newest = store.readNewest(StoreTopic.ENGINE_ENDS, STORE_TIMEOUT_MS).getOrElse {
                log.write("quarantines-unread", "reason" to it.message)
                return
            }
            isLoaded = true
            era.follow()
            isKeyShared = shareKey(newest)
            if (isKeyShared) return addNewEnds(newest.records)
        }
    }

    /** Uses the kept key, or keeps the own one if there is none; returns false if neither is done. */
    private suspend fun shareKey(newest: NewestRecords): Boolean {
        val kept = newest.records.firstOrNull { it.key == FINGERPRINT_KEY && it.value != null }?.let(::decodeKey)
        if (kept != null) {
            fingerprinter.useKey(kept)
            return true
        }
        val ownKey = KeptKey(HexFormat.of().formatHex(fingerprinter.key))
        val value = Json.encodeToString(KeptKey.serializer(), ownKey).encodeToByteArray()
        val record = writeKeyedRecord(FINGERPRINT_KEY, value)
        // The condition fails if another VM has written its key since the read.
        val written = store.append(StoreTopic.ENGINE_ENDS, record, newest.nextOffset, STORE_TIMEOUT_MS)
        return written.mapBoth(
            success = { true },
            failure = {
                log.write("fingerprint-key-unwritten", "reason" to it.message)
                false
            },
        )
    }

    private fun decodeKey(record: KeyedRecord): ByteArray? = try {
        HexFormat.of().parseHex(Json.decodeFromString(KeptKey.serializer(), record.value.orEmpty()).fingerprintKey)
            .takeIf { it.size == RequestFingerprinter.KEY_BYTES }
    } catch (invalid: IllegalArgumentException) {
        log.write("quarantine-record-unreadable", "key" to record.key, "reason" to invalid.javaClass.simpleName)
        null
    }

    private fun addNewEnds(records: List<KeyedRecord>) {
        val ends = records.filter { it.key != FINGERPRINT_KEY }.mapNotNull(::decode)
        val newEnds = ends.filter { keptEngines.add(it.engine) }
        if (newEnds.isEmpty()) return
        log.write("quarantines-read", "engines" to newEnds.map { it.engine.id })
        quarantine.onEvidence(CrashEvidence(newEnds), clocks.read().steadyMs)
    }

    private fun decode(record: KeyedRecord): EngineEnd? {
        val text = record.value ?: return null
        return try {
            val kept = Json.decodeFromString(KeptEnd.serializer(), text)
            kept.end.toEngineEnd().copy(agoMs = (clocks.read().wallMs - kept.endedAtMs).coerceAtLeast(0))
        } catch (invalid: SerializationException) {
            log.write("quarantine-record-unreadable", "key" to record.key, "reason" to invalid.message)
            null
        }
    }

    /** Keeps the store up to date until the coroutine is cancelled. */
    suspend fun run() {
        while (true) {
            withTimeoutOrNull(POLL_INTERVAL_MS) { changed.receive() }
            if (era.hasChanged()) forgetKept()
            if (!isLoaded || !isKeyShared || isReadDue()) {
                lastReadMs = clocks.read().steadyMs
                load()
            }
            if (!writeNewEnds() || !deleteReleased()) {
                keepSoon()
                retry.await(RETRY_INTERVAL_MS)
            }
        }
    }

    /** Whether peers are out of contact and the newest read is as old as their number demands. */
    private fun isReadDue(): Boolean {
        val intervalMs = missingPeersIntervalMs() ?: return false
        return intervalMs <= POLL_INTERVAL_MS || clocks.read().steadyMs - lastReadMs >= intervalMs
    }

    /**
     * Forgets what the store keeps, since it came back from an older copy: evidence may be missing, and deleted
     * evidence may be back.
     */
    private fun forgetKept() {
        keptEngines.clear()
        isLoaded = false
        wasQuarantining = true
    }

    private suspend fun writeNewEnds(): Boolean {
        val now = clocks.read()
        return quarantine.ownQuarantinedEnds(now.steadyMs).filter { it.engine !in keptEngines }.all { end ->
            val kept = KeptEnd(now.wallMs - end.agoMs, end.toReport())
            val isWritten =
                append(end.engine, Json.encodeToString(KeptEnd.serializer(), kept).encodeToByteArray())
            if (isWritten) keptEngines.add(end.engine)
            isWritten
        }
    }

    /** Deletes all kept ends once the last quarantine has ended. */
    private suspend fun deleteReleased(): Boolean {
        if (quarantine.current.isNotEmpty()) wasQuarantining = true
        if (!wasQuarantining || quarantine.current.isNotEmpty()) return true
        val isDeleted = keptEngines.toList().all { engine ->
            append(engine, ByteArray(0)).also { isDeleted -> if (isDeleted) keptEngines.remove(engine) }
        }
        if (isDeleted) wasQuarantining = false
        return isDeleted
    }

    private suspend fun append(engine: Incarnation, value: ByteArray): Boolean {
        val record = writeKeyedRecord("${engine.id}@${engine.bornMs}", value)
        store.append(StoreTopic.ENGINE_ENDS, record, atOffset = null, STORE_TIMEOUT_MS).getOrElse {
            log.write("quarantine-unwritten", "endpoint" to engine.id, "reason" to it.message)
            return false
        }
        return true
    }

    private companion object {
        /** The record of the key; those of ends contain an at sign. */
        const val FINGERPRINT_KEY = "fingerprint-key"

        /** Reads of the store until the key is shared: other VMs that start may write in between. */
        const val KEY_ATTEMPTS = 4

        /** Interval at which evidence is read while peers are out of contact, in milliseconds. */
        const val POLL_INTERVAL_MS = StorePolling.EVIDENCE_MS

        /** Delay before another attempt to write, in milliseconds. */
        const val RETRY_INTERVAL_MS = 400L

        /** Timeout for a response of the store, in milliseconds. */
        const val STORE_TIMEOUT_MS = 700L
    }
}
