/*
 * Discovery of VMs: each VM writes its address to the store at its start and reads the addresses of the others, then
 * and at a long interval. All other information is exchanged in peer reports. A store that comes back from an older
 * copy may have lost the record, so the VM writes it again.
 */
package io.daisybend.entry.store

import com.github.michaelbull.result.getOrElse
import io.daisybend.entry.EventLog
import io.daisybend.entry.peers.PeerTable
import io.daisybend.platform.SocketAddress
import io.daisybend.platform.StoreClient
import io.daisybend.platform.StoreTopic
import io.daisybend.platform.writeKeyedRecord
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull

/** Registers this VM and discovers the others. */
internal class VmRegistry(
    private val store: StoreClient,
    private val peers: PeerTable,
    private val log: EventLog,
    private val ownVm: String,
    private val ownAddress: SocketAddress,
    private val retry: StoreRetry,
    private val nowMs: () -> Long,
    private val onList: (names: List<String>) -> Unit,
) {
    private val era = StoreEraFollower(store)

    /** Records already applied by VM; an unchanged record of a removed VM must not add it again. */
    private val appliedRecords = HashMap<String, String>()

    /** Registers this VM, then reads the list of VMs until the coroutine is cancelled. */
    suspend fun run() {
        var isRegistered = false
        while (true) {
            if (era.follow() || !isRegistered) isRegistered = register()
            val hasReadOthers = readOthers()
            if (isRegistered && hasReadOthers) {
                withTimeoutOrNull(POLL_INTERVAL_MS) { while (!era.hasChanged()) delay(RETRY_INTERVAL_MS) }
            } else {
                retry.await(RETRY_INTERVAL_MS)
            }
        }
    }

    private suspend fun register(): Boolean {
        val record = writeKeyedRecord(ownVm, ownAddress.toString().encodeToByteArray())
        store.append(StoreTopic.VMS, record, atOffset = null, timeoutMs = STORE_TIMEOUT_MS).getOrElse {
            log.write("registration-failed", "reason" to it.message)
            return false
        }
        return true
    }

    private suspend fun readOthers(): Boolean {
        val newest = store.readNewest(StoreTopic.VMS, STORE_TIMEOUT_MS).getOrElse {
            log.write("vm-list-unread", "reason" to it.message)
            return false
        }
        onList(newest.records.filter { it.value != null }.map { it.key })
        newest.records.forEach { record ->
            val text = record.value ?: return@forEach
            if (appliedRecords.put(record.key, text) == text) return@forEach
            val port = text.substringAfterLast(':', "").toIntOrNull()
            if (port == null) {
                log.write("vm-record-unreadable", "vm" to record.key)
            } else {
                peers.discover(record.key, SocketAddress(text.substringBeforeLast(':'), port), nowMs())
            }
        }
        return true
    }

    private companion object {
        /** Interval between reads, in milliseconds: new VMs announce themselves by reports before that. */
        const val POLL_INTERVAL_MS = 8_000L

        /** Delay between attempts, in milliseconds. */
        const val RETRY_INTERVAL_MS = 400L

        /** Timeout for a response of the store, in milliseconds. */
        const val STORE_TIMEOUT_MS = 1_000L
    }
}
