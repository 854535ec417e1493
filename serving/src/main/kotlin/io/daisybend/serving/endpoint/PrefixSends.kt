/*
 * The prompt parts that this VM sent to engines, for the reports to the peers: only shared parts that are long enough
 * to matter, each once in a few seconds, and a bounded number in each report. A lost report only delays what peers
 * know.
 */
package io.daisybend.serving.endpoint

/** Parts of prompts that were sent to [engine], and the other tokens that they had beside. */
public data class PrefixSend(val engine: Incarnation, val prefix: PromptPrefix)

/** Collects the sends of this VM; thread-safe. */
public class PrefixSends {
    private data class Key(val engine: Incarnation, val modelHash: Int, val hash: Long)

    private class Pending(val modelHash: Int) {
        val parts = LinkedHashMap<Long, PrefixPart>()
        var unsharedTokens = 0L
    }

    private val pending = LinkedHashMap<Pair<Incarnation, Int>, Pending>()
    private val reportedAtMs = LinkedHashMap<Key, Long>()

    /** Records that a prompt with [prefix] was sent to [engine] at [nowMs]. */
    @Synchronized
    public fun onSent(engine: Incarnation, prefix: PromptPrefix, nowMs: Long) {
        val reportable = prefix.shared.takeWhile { it.tokens in REPORTED_TOKENS }
        if (reportable.isEmpty()) return
        val changed = pending[engine to prefix.modelHash] ?: run {
            if (pending.size >= MAX_PENDING) pending.remove(pending.keys.first())
            Pending(prefix.modelHash).also { pending[engine to prefix.modelHash] = it }
        }
        changed.unsharedTokens = (changed.unsharedTokens + prefix.unsharedTokens).coerceAtMost(MAX_UNSHARED_TOKENS)
        reportable.forEach { part ->
            val key = Key(engine, prefix.modelHash, part.hash)
            val isKnown = reportedAtMs[key]?.let { nowMs - it < REPEAT_MS } ?: false
            if (!isKnown && changed.parts.size < MAX_PARTS_PER_ENGINE) changed.parts[part.hash] = part
        }
    }

    /** Returns the sends for a report to the peers at [nowMs]; each is returned once. */
    @Synchronized
    public fun takeReport(nowMs: Long): List<PrefixSend> {
        val due = pending.filterValues { it.parts.isNotEmpty() }.entries.take(MAX_PER_REPORT)
        val sends = due.map { (key, changed) ->
            val parts = changed.parts.values.toList()
            parts.forEach { part ->
                val reported = Key(key.first, key.second, part.hash)
                reportedAtMs.remove(reported)
                reportedAtMs[reported] = nowMs
            }
            PrefixSend(key.first, PromptPrefix(key.second, parts, changed.unsharedTokens.toInt()))
        }
        due.map { it.key }.forEach(pending::remove)
        val eldest = reportedAtMs.values.iterator()
        while (eldest.hasNext() && (nowMs - eldest.next() >= REPEAT_MS || reportedAtMs.size > MAX_REMEMBERED)) {
            eldest.remove()
        }
        return sends
    }

    public companion object {
        /** Lengths of reported parts, in tokens: shorter ones save less than 15 ms of reading. */
        public val REPORTED_TOKENS: IntRange = 500..1_000_000

        /** Most engines that one report names. */
        public const val MAX_PER_REPORT: Int = 16

        /** Most parts for one engine in a report. */
        public const val MAX_PARTS_PER_ENGINE: Int = 8

        /** Time after which a part that is still sent is reported again, in milliseconds. */
        private const val REPEAT_MS = 4_000L
        private const val MAX_PENDING = 256
        private const val MAX_REMEMBERED = 4_096

        /** Most tokens beside the shared parts in one entry of a report. */
        public const val MAX_UNSHARED_TOKENS: Long = 1_000_000
    }
}
