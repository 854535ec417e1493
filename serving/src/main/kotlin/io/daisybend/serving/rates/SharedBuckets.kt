/*
 * Token buckets that all VMs share, by key, on one VM: deducts the use by peers and reports its own use to them.
 */
package io.daisybend.serving.rates

/** The use of a bucket on one VM: the cost [admitted] since its start less refunds, and the [level] of its bucket. */
public data class BucketUse(val admitted: Double, val level: Double)

/**
 * The buckets of one VM; not thread-safe. If [countsFirstUse], the first report of a peer on a key is a use since the
 * bucket exists; otherwise it may be older and is not deducted.
 */
internal class SharedBuckets<K>(private val countsFirstUse: Boolean) {
    private class ReportedUse(var admitted: Double) {
        var reportsLeft = REPORTS_OF_A_CHANGE
    }

    private val buckets = HashMap<K, SharedTokenBucket>()
    private val usesByPeer = HashMap<String, HashMap<K, Double>>()
    private val keysWithAdoptedLevel = HashSet<K>()
    private val reportedUses = HashMap<K, ReportedUse>()

    /** The contact with the peers; [setContact] replaces it. */
    var contact = FleetContact()
        private set

    /** Returns the bucket of [key] refilled up to [nowMs], or null. */
    fun find(key: K, nowMs: Long): SharedTokenBucket? =
        buckets[key]?.also { it.refill(nowMs, contact.unreachableShare) }

    /** Sets the limit of [key] from [nowMs] on; the bucket is created if it does not exist. */
    fun setLimit(key: K, ratePerSecond: Double, burst: Double, nowMs: Long) {
        val known = buckets[key]
        if (known == null) {
            buckets[key] = SharedTokenBucket(ratePerSecond, burst, nowMs)
        } else {
            known.updateLimit(ratePerSecond, burst, nowMs)
        }
    }

    /** Removes all buckets except those of [keys]. */
    fun retain(keys: Set<K>) {
        buckets.keys.retainAll(keys)
        usesByPeer.values.forEach { it.keys.retainAll(keys) }
        keysWithAdoptedLevel.retainAll(keys)
        reportedUses.keys.retainAll(keys)
    }

    /** Refunds the [cost] of a request of [key] that did not run. */
    fun refund(key: K, cost: Double) {
        buckets[key]?.refund(cost)
    }

    /** Returns the use of [key] that no report contains yet. */
    fun unreported(key: K): Double = (buckets[key]?.netAdmitted ?: 0.0) - (reportedUses[key]?.admitted ?: 0.0)

    /** Applies the [uses] that [peer], started at [peerStartedAtMs], reports. */
    fun onPeerUse(peer: String, peerStartedAtMs: Long, uses: Map<K, BucketUse>, isPeerOlder: Boolean, nowMs: Long) {
        if (uses.isEmpty()) return
        val known = usesByPeer.getOrPut("$peer/$peerStartedAtMs") { HashMap() }
        uses.forEach { (key, use) ->
            val bucket = find(key, nowMs) ?: return@forEach
            val before = known.put(key, use.admitted) ?: if (countsFirstUse) 0.0 else use.admitted
            bucket.deductPeerUse(use.admitted - before)
            if (isPeerOlder && keysWithAdoptedLevel.add(key)) bucket.adoptLevel(use.level)
        }
    }

    /** Applies the [contact] of this VM with its peers from [nowMs] on. */
    fun setContact(contact: FleetContact, nowMs: Long) {
        val newlyLostShare = (contact.lostShare - this.contact.lostShare).coerceAtLeast(0.0)
        buckets.values.forEach {
            it.refill(nowMs, this.contact.unreachableShare)
            it.withdrawRefill(newlyLostShare, contact.detectionMs)
        }
        this.contact = contact
    }

    /** Returns the use of all buckets on this VM, for a peer that may know none of it. */
    fun uses(): Map<K, BucketUse> = buckets.mapValues { it.value.toUse() }

    /**
     * Returns the use of the buckets on this VM that changed since the last reports, for all peers, and marks it as
     * reported. Each change is returned in several successive reports, since some may be lost.
     */
    fun reportChanges(): Map<K, BucketUse> {
        val changed = buckets.filter { (key, bucket) ->
            val reported = reportedUses.getOrPut(key) { ReportedUse(bucket.netAdmitted) }
            if (reported.admitted != bucket.netAdmitted) {
                reported.admitted = bucket.netAdmitted
                reported.reportsLeft = REPORTS_OF_A_CHANGE
            }
            (reported.reportsLeft > 0).also { isDue -> if (isDue) reported.reportsLeft-- }
        }
        return changed.mapValues { it.value.toUse() }
    }

    private fun SharedTokenBucket.toUse() = BucketUse(netAdmitted, level)

    private companion object {
        /** Number of successive reports that contain a change. */
        const val REPORTS_OF_A_CHANGE = 3
    }
}
