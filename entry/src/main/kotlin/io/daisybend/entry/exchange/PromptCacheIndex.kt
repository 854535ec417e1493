/*
 * Remembers which prompt parts each engine processed recently for this VM, so that requests with the same parts can be
 * sent to an engine that has them cached.
 */
package io.daisybend.entry.exchange

import io.daisybend.serving.endpoint.Incarnation
import io.daisybend.serving.endpoint.ModelDemand
import java.util.concurrent.ConcurrentHashMap

/** Recently processed prompt parts by engine, limited in number for each engine. */
internal class PromptCacheIndex {
    private val partsByEngine = ConcurrentHashMap<Incarnation, LinkedHashSet<String>>()

    /** Records that [engine] processes the prompt of [demand]. */
    fun recordPrompt(engine: Incarnation, demand: ModelDemand) {
        val parts = partsByEngine.computeIfAbsent(engine) { LinkedHashSet() }
        synchronized(parts) {
            partKeysOf(demand).forEach { key ->
                parts.remove(key)
                parts.add(key)
            }
            while (parts.size > MAX_PARTS_PER_ENGINE) parts.remove(parts.first())
        }
    }

    /** Returns the number of leading tokens of [demand]'s prompt that [engine] probably has cached. */
    fun cachedTokens(engine: Incarnation, demand: ModelDemand): Int {
        val parts = partsByEngine[engine] ?: return 0
        val cachedParts = synchronized(parts) { partKeysOf(demand).takeWhile { it in parts }.size }
        return demand.parts.take(cachedParts).sumOf { it.tokens }
    }

    /** Removes engines other than [engines]. */
    fun retain(engines: Set<Incarnation>) {
        partsByEngine.keys.retainAll(engines)
    }

    private fun partKeysOf(demand: ModelDemand) = demand.parts.map {
        "${demand.model}/${demand.adapter.orEmpty()}/${it.id}"
    }

    private companion object {
        /**
         * Number of parts remembered for each engine: the cache of an engine holds about this many with prompts of a
         * few thousand tokens.
         */
        const val MAX_PARTS_PER_ENGINE = 48
    }
}
