/*
 * Copies of weights that loads have left on an engine. The platform's list and reports tell of them only later.
 */
package io.daisybend.serving.residency

import io.daisybend.serving.site.EngineSpec

/** The copies that loads on one engine of [spec]'s class have left. */
internal class RecentCopies(private val spec: EngineSpec) {
    private val loadedAtMs = HashMap<String, Long>()

    /** Notes that a load of [model] ended at [nowMs]. */
    fun onLoaded(model: String, nowMs: Long) {
        loadedAtMs[model] = nowMs
    }

    /** Returns the models whose loads ended at [fromMs] or later: their copies are on the engine's disk. */
    fun loadedSince(fromMs: Long): Set<String> = loadedAtMs.filterValues { it >= fromMs }.keys

    /** Returns what is [inMemory] after a load of [model]: the copies used last, as far as they fit. */
    fun memoryAfter(inMemory: Set<String>, model: String): Set<String> {
        val copies = LinkedHashSet(inMemory - model)
        copies.add(model)
        while (copies.size > 1 && copies.sumOf { spec.models[it]?.weightsMb ?: 0.0 } > spec.hostCacheMb) {
            copies.remove(copies.first())
        }
        return copies
    }
}
