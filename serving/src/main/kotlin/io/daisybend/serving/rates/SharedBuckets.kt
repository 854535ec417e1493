/*
 * Token buckets that all VMs share, by key, on one VM: deducts the use by peers and reports its own use to them.
 */
package io.daisybend.serving.rates

/** The use of a bucket on one VM: the cost [admitted] since its start less refunds, and the [level] of its bucket. */
public data class BucketUse(val admitted: Double, val level: Double)

/**
 * The buckets of one VM; not thread-safe. If [countsFirstUse], the first report of a peer on a key is a use since the
 * bucket exists; otherwise it may be older and is not deducted. If [reconciles], the copies of a bucket converge: what
 * was withheld for a peer is settled when it is heard again, and the levels of peers in contact are averaged.
 */
internal class SharedBuckets<K>(private val countsFirstUse: Boolean, private val reconciles: Boolean = false) {
    private class ReportedUse(var admitted: Double) {
        var reportsLeft = REPORTS_OF_A_CHANGE
    }

    private val buckets = HashMap<K, SharedTokenBucket>()
    private val usesByPeer = HashMap<String, HashMap<K, Double>>()
    private val keysWithAdoptedLevel = HashSet<K>()
    private val reportedUses = HashMap<K, ReportedUse>()
    private val createdAtMs = HashMap<K, Long>()
    private var contactAtMs: Long? = null
    private val heardAtMs = HashMap<String, Long>()

    /** Share of the burst that is kept for peers out of contact. */
    private val reservedBurstShare get() = if (reconciles) contact.unreachableShare else 0.0

    /** The contact with the peers; [setContact] replaces it. */
    var contact = FleetContact()
        private set

    /** Returns the bucket of [key] refilled up to [nowMs], or null. */
    fun find(key: K, nowMs: Long): SharedTokenBucket? =
        buckets[key]?.also { refill(it, nowMs) }

    private fun refill(bucket: SharedTokenBucket, nowMs: Long) {
        if (reconciles) bucket.withholdAfterStandstill(nowMs, 1.0 - 1.0 / contact.vmCount)
        bucket.refill(nowMs, contact.unreachableShare, reservedBurstShare)
    }

    /** Sets the limit of [key] from [nowMs] on; the bucket is created if it does not exist. */
    fun setLimit(key: K, ratePerSecond: Double, burst: Double, nowMs: Long) {
        val known = buckets[key]
        if (known == null) {
            buckets[key] = SharedTokenBucket(ratePerSecond, burst, nowMs)
            createdAtMs[key] = nowMs
        } else {
            known.updateLimit(ratePerSecond, burst, nowMs)
        }
    }

    /** Removes all buckets except those of [keys]. */
    fun retain(keys: Set<K>) {
        buckets.keys.retainAll(keys)
        createdAtMs.keys.retainAll(keys)
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

    /**
     * Applies the [uses] that [peer], started at [peerStartedAtMs] and running for [peerUptimeMs], reports. All use of
     * a process that started after the bucket was created is deducted.
     */
    fun onPeerUse(
        peer: String,
        peerStartedAtMs: Long,
        uses: Map<K, BucketUse>,
        isPeerOlder: Boolean,
        nowMs: Long,
        peerUptimeMs: Long = Long.MAX_VALUE,
    ) {
        if (uses.isEmpty()) return
        val known = usesByPeer.getOrPut("$peer/$peerStartedAtMs") { HashMap() }
        uses.forEach { (key, use) ->
            val bucket = find(key, nowMs) ?: return@forEach
            val countsAll = countsFirstUse || nowMs - createdAtMs.getValue(key) > peerUptimeMs
            val before = known.put(key, use.admitted) ?: if (countsAll) 0.0 else use.admitted
            bucket.deductPeerUse(peer, use.admitted - before)
            if (isPeerOlder && keysWithAdoptedLevel.add(key)) {
                bucket.adoptLevel(use.level)
            } else if (reconciles && peer !in contact.unreachableVms && peerUptimeMs > contact.detectionMs) {
                bucket.approachLevel(use.level, approachWeight(nowMs - (heardAtMs[peer] ?: nowMs)), nowMs)
            }
        }
        heardAtMs[peer] = nowMs
    }

    /** Returns the weight of a peer's level [elapsedMs] after its last one: early reports count for less. */
    private fun approachWeight(elapsedMs: Long): Double {
        val detectionMs = contact.detectionMs.coerceAtLeast(1)
        return APPROACH_PER_DETECTION * elapsedMs.coerceAtMost(detectionMs) / detectionMs / contact.vmCount
    }

    /** Applies the [contact] of this VM with its peers from [nowMs] on. */
    fun setContact(contact: FleetContact, nowMs: Long) {
        val before = this.contact
        val elapsedMs = nowMs - (contactAtMs ?: nowMs)
        val share = 1.0 / contact.vmCount
        // By shares alone, contact that is lost and gained at once is not seen.
        val newlyLostShare = if (!reconciles || contact.lostVms.isEmpty()) {
            (contact.lostShare - before.lostShare).coerceAtLeast(0.0)
        } else {
            (contact.lostVms - before.unreachableVms).size * share
        }
        buckets.values.forEach { bucket ->
            refill(bucket, nowMs)
            bucket.withdrawRefill(newlyLostShare, contact.detectionMs)
            if (reconciles) reconcile(bucket, before, contact, elapsedMs, nowMs)
        }
        this.contact = contact
        contactAtMs = nowMs
        heardAtMs.values.removeIf { nowMs - it > HEARD_EXPIRY_MS }
    }

    private fun reconcile(
        bucket: SharedTokenBucket,
        before: FleetContact,
        contact: FleetContact,
        elapsedMs: Long,
        nowMs: Long,
    ) {
        val share = 1.0 / contact.vmCount
        before.unreachableVms.forEach { bucket.reserve(it, share, elapsedMs, nowMs) }
        (contact.lostVms - before.unreachableVms).forEach { bucket.reserve(it, share, contact.detectionMs, nowMs) }
        val kept = (1.0 - contact.unreachableShare) / (1.0 - before.unreachableShare)
        bucket.split(contact.unreachableVms - before.unreachableVms, kept.coerceAtMost(1.0), nowMs)
        bucket.releaseAfterStandstill(nowMs)
        (before.unreachableVms - contact.unreachableVms).forEach {
            bucket.release(it, SHORT_ABSENCE_DETECTIONS * contact.detectionMs, nowMs)
        }
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

        /**
         * Sum of the weights of all peers' levels in one detection time: a copy gets close to the others in a fraction
         * of it, and one copy that is wrong moves the others by little.
         */
        const val APPROACH_PER_DETECTION = 4.0

        /** An absence of up to this many detection times is short; what was withheld then is given back as a whole. */
        const val SHORT_ABSENCE_DETECTIONS = 2

        /** Time after which a silent peer's last report is forgotten, in milliseconds. */
        const val HEARD_EXPIRY_MS = 60_000L
    }
}
