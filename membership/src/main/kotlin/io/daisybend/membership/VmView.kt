/*
 * The VMs of the site as seen by one process. The platform's list lags and can be unavailable: the last list stays in
 * use, and a list without this VM, which registers itself continually, only adds VMs. A VM that cannot be reached is
 * suspected and used last, until the next successful contact. Neither absence nor suspicion proves that a process has
 * ended, so nothing here may be used to take over its work.
 */
package io.daisybend.membership

import io.daisybend.kernel.VmEntry
import io.daisybend.kernel.VmId
import io.daisybend.kernel.VmState

/** An observation of the VMs of the site. */
public sealed interface VmEvent {
    /** The VM list of the platform was read. */
    public data class ListRead(val entries: List<VmEntry>) : VmEvent

    /** A peer announced that it is about to stop. */
    public data class PeerLeaving(val vmId: VmId) : VmEvent

    /** A call to a peer was answered. */
    public data class ContactSucceeded(val vmId: VmId) : VmEvent

    /** A call to a peer was not answered. */
    public data class ContactFailed(val vmId: VmId) : VmEvent
}

/** The VMs of the site as last observed; thread-safe. */
public class VmView(
    private val ownVmId: VmId,
    private val failuresToSuspect: Int = DEFAULT_FAILURES_TO_SUSPECT,
    private val leavingRetentionMs: Long = DEFAULT_LEAVING_RETENTION_MS,
) {
    private val lock = Any()
    private var entries: Map<VmId, VmEntry> = emptyMap()
    private val failures = HashMap<VmId, Int>()
    private val leavingUntilMs = HashMap<VmId, Long>()

    /** The time of the last list read; null before the first. */
    @Volatile
    public var lastReadMs: Long? = null
        private set

    /** Applies [event] at [nowMs]. */
    public fun handle(event: VmEvent, nowMs: Long): Unit = synchronized(lock) {
        when (event) {
            is VmEvent.ListRead -> readList(event.entries.associateBy { it.vmId }, nowMs)
            is VmEvent.PeerLeaving -> leavingUntilMs[event.vmId] = nowMs + leavingRetentionMs
            is VmEvent.ContactSucceeded -> failures.remove(event.vmId)
            is VmEvent.ContactFailed -> failures.merge(event.vmId, 1, Int::plus)
        }
    }

    /** Returns all known VMs, sorted by id. */
    public fun known(): List<VmEntry> = synchronized(lock) { entries.values.sortedBy { it.vmId.value } }

    /** Returns the entry of [vmId], or null if it is not known. */
    public fun entry(vmId: VmId): VmEntry? = synchronized(lock) { entries[vmId] }

    /** Returns the known VMs that are not leaving at [nowMs]. */
    public fun live(nowMs: Long): List<VmEntry> = known().filter { !isLeaving(it, nowMs) }

    /** Returns whether the last [failuresToSuspect] or more calls to [vmId] were not answered; false for this VM. */
    public fun isSuspected(vmId: VmId): Boolean =
        vmId != ownVmId && synchronized(lock) { (failures[vmId] ?: 0) >= failuresToSuspect }

    private fun readList(listed: Map<VmId, VmEntry>, nowMs: Long) {
        entries = if (ownVmId in listed) listed else entries + listed
        failures.keys.retainAll(entries.keys)
        leavingUntilMs.values.removeIf { it <= nowMs }
        lastReadMs = nowMs
    }

    private fun isLeaving(entry: VmEntry, nowMs: Long): Boolean =
        entry.state == VmState.LEAVING || synchronized(lock) { (leavingUntilMs[entry.vmId] ?: 0) > nowMs }

    private companion object {
        const val DEFAULT_FAILURES_TO_SUSPECT = 3
        const val DEFAULT_LEAVING_RETENTION_MS = 60_000L
    }
}
