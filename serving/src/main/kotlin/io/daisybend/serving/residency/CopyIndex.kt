/*
 * Counts the engines that could load a model without the weight store.
 */
package io.daisybend.serving.residency

/** The copies that [engines] have of models: those that they hold, and those in their memory and on their disks. */
internal class CopyIndex(engines: List<EngineSnapshot>) {
    private val counts = engines.flatMap { it.tracker.holdings.copies() }.groupingBy { it }.eachCount()

    /** Returns whether an engine has a copy of [model]. */
    fun hasCopy(model: String): Boolean = model in counts

    /** Returns whether an engine other than [engine] has a copy of [model]. */
    fun hasOtherCopy(engine: EngineSnapshot, model: String): Boolean =
        counts.getOrDefault(model, 0) > if (engine.tracker.holdings.hasCopy(model)) 1 else 0
}
