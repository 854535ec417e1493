/*
 * The stand-in's weight store. It starts a limited number of model loads per second and serves a limited number of
 * concurrent transfers at full speed; above that limit a transfer takes proportionally longer. Adapters have a separate
 * concurrency limit and no rate limit.
 */
package io.daisybend.standins.platform

import kotlinx.coroutines.delay
import java.util.concurrent.atomic.AtomicInteger

internal class WeightStore {
    private val modelsInFlight = AtomicInteger()
    private val adaptersInFlight = AtomicInteger()
    private var nextStartMs = 0L

    suspend fun fetchModel(switches: PlatformSwitches) {
        delay(reserveStartDelayMs(switches.storeLoadsPerSecond))
        transfer(modelsInFlight, switches.storeFullSpeedLoads, switches.modelLoadMs)
    }

    suspend fun fetchAdapter(switches: PlatformSwitches) =
        transfer(adaptersInFlight, switches.storeFullSpeedAdapters, switches.adapterLoadMs)

    private suspend fun transfer(inFlight: AtomicInteger, fullSpeedTransfers: Int, durationMs: Long) {
        val concurrent = inFlight.incrementAndGet()
        try {
            delay(durationMs * maxOf(concurrent, fullSpeedTransfers) / fullSpeedTransfers)
        } finally {
            inFlight.decrementAndGet()
        }
    }

    @Synchronized
    private fun reserveStartDelayMs(loadsPerSecond: Double): Long {
        val nowMs = System.currentTimeMillis()
        val startMs = maxOf(nowMs, nextStartMs)
        nextStartMs = startMs + (1_000 / loadsPerSecond).toLong()
        return startMs - nowMs
    }
}
