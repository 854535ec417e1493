/*
 * Permits for the weight store: a token bucket for starts and a limit on concurrent loads. Permits are soft state of
 * the VM that schedules the store's loads. When that VM is lost, its successor starts with none outstanding: for a
 * while more loads than intended run and each is slower, but memory and replica counts are decided elsewhere.
 */
package io.daisybend.scheduling.loads

internal class LoadPermits(private val loadsPerSecond: Double, private val maxInFlight: Int, private val burst: Int) {
    private val expiryByKeyMs = LinkedHashMap<LoadKey, Long>()
    private var tokens = burst.toDouble()
    private var refilledAtMs = Long.MIN_VALUE

    val inFlight: Int get() = expiryByKeyMs.size

    fun tryAcquire(key: LoadKey, expiresAtMs: Long, nowMs: Long): Boolean {
        refill(nowMs)
        if (expiryByKeyMs.size >= maxInFlight || tokens < 1.0) return false
        tokens -= 1.0
        expiryByKeyMs[key] = expiresAtMs
        return true
    }

    fun release(key: LoadKey) {
        expiryByKeyMs -= key
    }

    /** Frees permits whose holders have said nothing for too long. */
    fun expire(nowMs: Long) {
        expiryByKeyMs.values.removeIf { it <= nowMs }
    }

    /** Returns when the next start may be possible, or null while all permits are in use. */
    fun nextStartAtMs(nowMs: Long): Long? {
        if (expiryByKeyMs.size >= maxInFlight) return expiryByKeyMs.values.min()
        val missing = maxOf(0.0, 1.0 - tokens)
        return nowMs + Math.ceil(missing * MILLIS_PER_SECOND / loadsPerSecond).toLong().coerceAtLeast(1L)
    }

    private fun refill(nowMs: Long) {
        if (refilledAtMs == Long.MIN_VALUE) refilledAtMs = nowMs
        val elapsedMs = maxOf(0L, nowMs - refilledAtMs)
        tokens = minOf(burst.toDouble(), tokens + elapsedMs * loadsPerSecond / MILLIS_PER_SECOND)
        refilledAtMs = maxOf(refilledAtMs, nowMs)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0
    }
}
