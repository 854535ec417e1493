/*
 * The stand-in's weight store: a limited number of loads a second, and full speed for a limited number at once; more
 * at once take proportionally longer. Adapters have limits of their own.
 */
package io.daisybend.standins.platform

import kotlinx.coroutines.delay
import java.util.concurrent.atomic.AtomicInteger

internal class WeightStore {
    private val modelsInFlight = AtomicInteger()
    private val adaptersInFlight = AtomicInteger()
    private var nextStartMs = 0L

    suspend fun fetchModel(switches: PlatformSwitches) {
        delay(startDelayMs(switches.storeLoadsPerSecond))
        transfer(modelsInFlight, switches.storeFullSpeedLoads, switches.modelLoadMs)
    }

    suspend fun fetchAdapter(switches: PlatformSwitches) =
        transfer(adaptersInFlight, switches.storeFullSpeedAdapters, switches.adapterLoadMs)

    private suspend fun transfer(inFlight: AtomicInteger, fullSpeed: Int, durationMs: Long) {
        val atOnce = inFlight.incrementAndGet()
        try {
            delay(durationMs * maxOf(atOnce, fullSpeed) / fullSpeed)
        } finally {
            inFlight.decrementAndGet()
        }
    }

    @Synchronized
    private fun startDelayMs(loadsPerSecond: Double): Long {
        val nowMs = System.currentTimeMillis()
        val startMs = maxOf(nowMs, nextStartMs)
        nextStartMs = startMs + (1_000 / loadsPerSecond).toLong()
        return startMs - nowMs
    }
}
