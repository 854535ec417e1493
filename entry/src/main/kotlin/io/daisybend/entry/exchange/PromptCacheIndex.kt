/*
 * Which parts of prompts this VM had read at which engine lately, so that requests that share them find them cached.
 */
package io.daisybend.entry.exchange

import io.daisybend.serving.endpoint.Incarnation
import io.daisybend.serving.endpoint.ModelDemand
import java.util.concurrent.ConcurrentHashMap

/** Parts read by engines, bounded for each engine. */
internal class PromptCacheIndex {
    private val partsByEngine = ConcurrentHashMap<Incarnation, LinkedHashSet<String>>()

    /** Notes that the engine reads the prompt of [demand]. */
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

    /** Returns how many tokens at the start of [demand]'s prompt the engine has probably kept. */
    fun cachedTokens(engine: Incarnation, demand: ModelDemand): Int {
        val parts = partsByEngine[engine] ?: return 0
        val cachedParts = synchronized(parts) { partKeysOf(demand).takeWhile { it in parts }.size }
        return demand.parts.take(cachedParts).sumOf { it.tokens }
    }

    /** Forgets engines other than [engines]. */
    fun retain(engines: Set<Incarnation>) {
        partsByEngine.keys.retainAll(engines)
    }

    private fun partKeysOf(demand: ModelDemand) = demand.parts.map {
        "${demand.model}/${demand.adapter.orEmpty()}/${it.id}"
    }

    private companion object {
        /** Parts remembered of an engine: what its memory holds of prompts of some thousand tokens. */
        const val MAX_PARTS_PER_ENGINE = 48
    }
}
