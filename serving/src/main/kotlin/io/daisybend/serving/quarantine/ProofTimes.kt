/*
 * The newest answers to prompt parts and to fingerprints, apart: each request has a fingerprint of its own, so
 * fingerprints would displace the parts.
 */
package io.daisybend.serving.quarantine

/** Times of the newest answers, in milliseconds of the monotonic clock, to at most [maxEntries] of each kind. */
internal class ProofTimes(maxEntries: Int) {
    private val ofParts = LeastRecentlyUsed<String, Long>(maxEntries)
    private val ofFingerprints = LeastRecentlyUsed<String, Long>(maxEntries)

    operator fun get(part: String): Long? = timesOf(part)[part]

    operator fun contains(part: String): Boolean = part in timesOf(part)

    /** Records an answer to [part] at [atMs]. */
    fun record(part: String, atMs: Long) {
        timesOf(part).merge(part, atMs, ::maxOf)
    }

    private fun timesOf(part: String) = if (RequestFingerprint.ofPart(part) == null) ofParts else ofFingerprints
}

/** A map that forgets the entry that was not used for longest when it has more than [maxEntries]. */
internal class LeastRecentlyUsed<K, V>(private val maxEntries: Int) : LinkedHashMap<K, V>(16, 0.75f, true) {
    override fun removeEldestEntry(eldest: Map.Entry<K, V>): Boolean = size > maxEntries
}
