/*
 * Simulates the duration of loads: of weights from the memory or disk of an endpoint, of weights from the weight store,
 * and of adapters, which slow each other down beyond a number of concurrent loads.
 */
package io.daisybend.bench.run

import io.daisybend.kernel.ModelId
import io.daisybend.scheduling.loads.LoadKey
import io.daisybend.scheduling.loads.WeightSource

internal class LoadCosts(private val context: RunContext) {
    private val loop = context.loop
    private val costs = context.site.costs
    private val weightStore = WeightStoreCosts(costs, loop)
    private val weightsBytes = context.site.models.associate { it.modelId to it.weights.weightsBytes }
    private val logDelayMs = if (context.strategies.needsLogForLoads) costs.logAppendMs else 0
    private var adapterLoadsInFlight = 0

    fun uncontendedLoadMs(modelId: ModelId, source: WeightSource): Long {
        val bytesPerSecond = when (source) {
            WeightSource.MEMORY -> costs.memoryBytesPerSecond
            WeightSource.DISK -> costs.diskBytesPerSecond
            WeightSource.REMOTE -> costs.remoteBytesPerSecond
        }
        return weightsBytes.getValue(modelId) * 1_000 / bytesPerSecond
    }

    fun load(key: LoadKey, source: WeightSource, onDone: () -> Unit) {
        when {
            key.adapterId != null -> loadAdapter(onDone)
            source == WeightSource.REMOTE ->
                loop.after(logDelayMs) { weightStore.load(weightsBytes.getValue(key.modelId), onDone) }
            else -> loop.after(logDelayMs + uncontendedLoadMs(key.modelId, source), onDone)
        }
    }

    private fun loadAdapter(onDone: () -> Unit) {
        adapterLoadsInFlight++
        val slowdown = maxOf(1.0, adapterLoadsInFlight.toDouble() / costs.maxConcurrentAdapters)
        loop.after((costs.adapterLoadMs * slowdown).toLong()) {
            adapterLoadsInFlight--
            onDone()
        }
    }
}
