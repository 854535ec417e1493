/*
 * Tracks the copies of weights that recent loads left in the memory and on the disk of an engine, until the platform's
 * list and the reports of the engine include them.
 */
package io.daisybend.serving.residency

import io.daisybend.serving.site.EngineSpec

/** The copies that loads have left on one engine with [spec]. */
internal class RecentCopies(private val spec: EngineSpec) {
    private val loadedAtMs = HashMap<String, Long>()

    /** Records that a load of [model] ended at [nowMs]. */
    fun onLoaded(model: String, nowMs: Long) {
        loadedAtMs[model] = nowMs
    }

    /** Returns the models whose loads ended at [fromMs] or later; the engine has copies of them on its disk. */
    fun loadedSince(fromMs: Long): Set<String> = loadedAtMs.filterValues { it >= fromMs }.keys

    /** Returns the copies in host memory after a load of [model]: those of [inMemory] used last that fit. */
    fun memoryAfter(inMemory: Set<String>, model: String): Set<String> {
        val copies = LinkedHashSet(inMemory - model)
        copies.add(model)
        while (copies.size > 1 && copies.sumOf { spec.models[it]?.weightsMb ?: 0.0 } > spec.hostCacheMb) {
            copies.remove(copies.first())
        }
        return copies
    }
}
