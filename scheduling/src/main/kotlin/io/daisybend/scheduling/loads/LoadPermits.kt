/*
 * Limits the loads from the weight store with a token bucket for starts and a limit on concurrent loads. Permits are
 * soft state of the VM that schedules the loads of the store. If that VM fails, its successor starts with no permits
 * outstanding: more loads than intended may run for a while and each is slower, but memory and replica counts are not
 * affected because they are decided elsewhere.
 */
package io.daisybend.scheduling.loads

internal class LoadPermits(private val loadsPerSecond: Double, private val maxInFlight: Int, private val burst: Int) {
    private val expiresAtMsByKey = LinkedHashMap<LoadKey, Long>()
    private var tokens = burst.toDouble()
    private var refilledAtMs = Long.MIN_VALUE

    val inFlight: Int get() = expiresAtMsByKey.size

    fun tryAcquire(key: LoadKey, expiresAtMs: Long, nowMs: Long): Boolean {
        refill(nowMs)
        if (expiresAtMsByKey.size >= maxInFlight || tokens < 1.0) return false
        tokens -= 1.0
        expiresAtMsByKey[key] = expiresAtMs
        return true
    }

    fun release(key: LoadKey) {
        expiresAtMsByKey -= key
    }

    /** Releases permits that have expired because their holders did not report an end in time. */
    fun expire(nowMs: Long) {
        expiresAtMsByKey.values.removeIf { it <= nowMs }
    }

    /** Returns the time at which the next start may be possible; while all permits are in use, their next expiry. */
    fun nextStartAtMs(nowMs: Long): Long? {
        if (expiresAtMsByKey.size >= maxInFlight) return expiresAtMsByKey.values.min()
        val missingTokens = maxOf(0.0, 1.0 - tokens)
        return nowMs + Math.ceil(missingTokens * MILLIS_PER_SECOND / loadsPerSecond).toLong().coerceAtLeast(1L)
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
