/*
 * The VMs that count for the shares of cold endpoints: all that the list in the store names or that have reported,
 * alive or not. A VM that the list no longer names counts for some time, since a store that came back from an older
 * copy lacks the VMs that registered since that copy.
 */
package io.daisybend.serving.endpoint

/** The VMs known to [ownVm]; thread-safe. */
public class KnownVms(private val ownVm: String) {
    private val lastNamedAtMs = HashMap<String, Long>()
    private var firstListAtMs: Long? = null

    /** Applies the list of [names] that the store returned at [nowMs]. */
    @Synchronized
    public fun onList(names: Collection<String>, nowMs: Long) {
        if (firstListAtMs == null) firstListAtMs = nowMs
        names.forEach { lastNamedAtMs[it] = nowMs }
        lastNamedAtMs.values.removeIf { nowMs - it > MEMORY_MS }
    }

    /** Returns the VMs that the list names and the [peers] that have reported, or null before the first list. */
    @Synchronized
    public fun named(peers: Collection<String>): Set<String>? =
        if (firstListAtMs == null) null else lastNamedAtMs.keys + peers + ownVm

    /** Returns the known VMs with the [peers] that have reported, or null until the list is known well enough. */
    @Synchronized
    public fun current(peers: Collection<String>, nowMs: Long): Set<String>? {
        val listedAtMs = firstListAtMs ?: return null
        if (nowMs - listedAtMs < SETTLE_MS) return null
        return lastNamedAtMs.keys + peers + ownVm
    }

    private companion object {
        /**
         * Time after the first list before a VM has shares, in milliseconds. VMs that start together read lists that
         * lack each other; within this time they hear each other's reports.
         */
        const val SETTLE_MS = 2_000L

        /** How long a VM that the list no longer names counts, in milliseconds: several reads of the list. */
        const val MEMORY_MS = 60_000L
    }
}
