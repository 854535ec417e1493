/*
 * Which endpoint probably holds which prompt prefixes: a bounded, least recently used map for each endpoint. A gap in
 * an endpoint's cache events means that drops may have been missed, so the entries learned before it are forgotten.
 */
package io.daisybend.scheduling.routing

internal class PrefixIndex(private val maxEntries: Int, private val entryLifetimeMs: Long) {
    private val seenAtMs = object : LinkedHashMap<Long, Long>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Long, Long>): Boolean = size > maxEntries
    }
    private var lastSequence: Long? = null

    fun apply(event: RouterEvent.CacheChanged, nowMs: Long) {
        val last = lastSequence
        if (last != null && event.sequence <= last) return
        if (last != null && event.sequence > last + 1) seenAtMs.clear()
        lastSequence = event.sequence
        if (event.isCached) seenAtMs[event.prefixHash] = nowMs else seenAtMs.remove(event.prefixHash)
    }

    /** Records prefixes of a request sent to the endpoint, which will cache them. */
    fun expect(prefixHashes: LongArray, nowMs: Long) {
        prefixHashes.forEach { seenAtMs[it] = nowMs }
    }

    /** Returns how many leading blocks of [prefixHashes] are probably cached. */
    fun cachedBlocks(prefixHashes: LongArray, nowMs: Long): Int {
        for (index in prefixHashes.indices.reversed()) {
            val atMs = seenAtMs[prefixHashes[index]] ?: continue
            if (nowMs - atMs <= entryLifetimeMs) return index + 1
        }
        return 0
    }

    private companion object {
        const val INITIAL_CAPACITY = 16
        const val LOAD_FACTOR = 0.75f
    }
}
