/*
 * What one incarnation of an engine probably has in its prefix cache: the parts of the prompts that VMs sent there, up
 * to the size of its memory in tokens, the least recently used one evicted first. The engine decides itself what it
 * keeps, so responses that come as late as without the cache lower the confidence in all of it.
 */
package io.daisybend.serving.endpoint

import kotlin.math.exp

/** The parts that an engine probably holds; thread-safe. */
public class PrefixCacheEstimate {
    private class Entry(val tokens: Int, val modelHash: Int, val isShared: Boolean)

    /** Entries in the order of their last use. */
    private val entries = LinkedHashMap<Long, Entry>()
    private var tokens = 0L
    private var nextUnshared = 0L
    private var confidence = 1.0
    private var judgedAtMs = 0L
    private var checkedHoldings: EngineHoldings? = null

    /** Number of tokens expected in the cache. */
    public val heldTokens: Long @Synchronized get() = tokens

    /**
     * Records that the engine reads a prompt with [prefix]; its cache holds [capacityTokens]. Parts after the first are
     * used earlier in the order than those before them, since they are worth nothing without them.
     */
    @Synchronized
    public fun onSent(prefix: PromptPrefix, capacityTokens: Long) {
        if (prefix.unsharedTokens > 0) put(--nextUnshared, Entry(prefix.unsharedTokens, prefix.modelHash, false))
        prefix.shared.asReversed().forEach { put(it.hash, Entry(it.tokens, prefix.modelHash, true)) }
        val bound = (capacityTokens * USABLE_SHARE).toLong()
        val eldest = entries.values.iterator()
        while ((tokens > bound || entries.size > MAX_ENTRIES) && eldest.hasNext()) {
            tokens -= eldest.next().tokens
            eldest.remove()
        }
    }

    private fun put(key: Long, entry: Entry) {
        entries.remove(key)?.let { tokens -= it.tokens }
        entries[key] = entry
        tokens += entry.tokens
    }

    /** Returns the tokens of [prefix] that the engine is expected to have at [nowMs], weighted by the confidence. */
    @Synchronized
    public fun cachedTokens(prefix: PromptPrefix, nowMs: Long): Int {
        if (entries.isEmpty()) return 0
        val held = heldTokensOf(prefix)
        return if (held == 0) 0 else (held * confidenceAt(nowMs)).toInt()
    }

    private fun heldTokensOf(prefix: PromptPrefix): Int {
        var held = 0
        for (part in prefix.shared) {
            if (part.hash !in entries) break
            held += part.tokens
        }
        return held
    }

    /** Returns the tokens of shared parts of other prompts that [prefix] would displace; see [onSent]. */
    @Synchronized
    public fun evictedTokens(prefix: PromptPrefix, capacityTokens: Long): Long {
        val added = prefix.unsharedTokens + prefix.shared.sumOf { it.tokens.toLong() } - heldTokensOf(prefix)
        val overflow = tokens + added - (capacityTokens * USABLE_SHARE).toLong()
        if (overflow <= 0) return 0
        var freed = 0L
        var shared = 0L
        val eldest = entries.iterator()
        while (freed < overflow && eldest.hasNext()) {
            val (hash, entry) = eldest.next()
            if (prefix.shared.none { it.hash == hash }) {
                freed += entry.tokens
                if (entry.isShared) shared += entry.tokens
            }
        }
        return shared
    }

    /**
     * Records at [nowMs] that the first event of a request that was expected to save [savedMs] came [lateMs] later than
     * predicted; returns whether that shows that the engine had less in its cache.
     */
    @Synchronized
    public fun onFirstEvent(savedMs: Double, lateMs: Double, nowMs: Long): Boolean {
        if (savedMs < MIN_JUDGED_MS) return false
        val known = confidenceAt(nowMs)
        val isMissed = lateMs > savedMs * LATE_SHARE
        confidence = if (isMissed) {
            (known * MISS_FACTOR).coerceAtLeast(MIN_CONFIDENCE)
        } else {
            known + (1 - known) * HIT_WEIGHT
        }
        judgedAtMs = nowMs
        return isMissed
    }

    private fun confidenceAt(nowMs: Long): Double =
        1 - (1 - confidence) * exp(-(nowMs - judgedAtMs).coerceAtLeast(0) / CONFIDENCE_MEMORY_MS)

    /** Drops what belongs to models and adapters that are not in [holdings]: an unload frees its part of the cache. */
    @Synchronized
    public fun retainHeld(holdings: EngineHoldings?) {
        if (holdings === checkedHoldings) return
        checkedHoldings = holdings
        if (entries.isEmpty()) return
        val held = holdings?.models?.values.orEmpty().flatMapTo(HashSet()) { model ->
            model.adapters.map { modelHashOf(model.name, it) } + modelHashOf(model.name, null)
        }
        retainModels(held)
    }

    private fun retainModels(modelHashes: Set<Int>) {
        entries.values.removeIf { entry ->
            (entry.modelHash !in modelHashes).also { if (it) tokens -= entry.tokens }
        }
    }

    private companion object {
        /** Share of the KV cache that prompts take; outputs of running requests take the rest. */
        const val USABLE_SHARE = 0.85

        /** Entries of one engine: more than the parts of some hundred tokens that fill its memory. */
        const val MAX_ENTRIES = 512

        /** Saved time from which on a first event tells a hit from a miss, in milliseconds. */
        const val MIN_JUDGED_MS = 30.0

        /** Part of the saved time by which a first event may be late before it counts as a miss. */
        const val LATE_SHARE = 0.75

        /** Effect of a miss and of a hit on the confidence, which returns to 1 within minutes without either. */
        const val MISS_FACTOR = 0.7
        const val HIT_WEIGHT = 0.3
        const val MIN_CONFIDENCE = 0.05
        const val CONFIDENCE_MEMORY_MS = 60_000.0
    }
}
