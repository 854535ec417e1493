/*
 * Information that an engine stand-in publishes with a delay: load reports and prefix cache events.
 */
package io.daisybend.standins.engine

/** Keeps recent load reports and returns them with a delay. */
internal class DelayedReports {
    private class Report(val atMs: Long, val state: EngineState)

    private val history = ArrayDeque<Report>()

    @Synchronized
    fun delayed(current: EngineState, lagMs: Long): EngineState {
        val nowMs = System.currentTimeMillis()
        history += Report(nowMs, current)
        while (history.size > MAX_REPORTS) history.removeFirst()
        return history.lastOrNull { it.atMs <= nowMs - lagMs }?.state ?: history.first().state
    }

    private companion object {
        const val MAX_REPORTS = 1_000
    }
}

/** Keeps prefix cache events and publishes them with a delay; can drop a fraction of them. */
internal class CacheEventLog {
    private class Entry(val atMs: Long, val event: CacheEvent)

    private val entries = ArrayDeque<Entry>()
    private var nextSequence = 0L

    @Synchronized
    fun add(itemId: String, prompt: String, dropEveryNth: Int) {
        val sequence = nextSequence++
        if (dropEveryNth > 0 && sequence % dropEveryNth == 0L) return
        val prefixHash = prompt.take(PREFIX_CHARS).hashCode().toLong()
        entries += Entry(System.currentTimeMillis(), CacheEvent(sequence, itemId, prefixHash))
        while (entries.size > MAX_ENTRIES) entries.removeFirst()
    }

    @Synchronized
    fun visible(from: Long, lagMs: Long): List<CacheEvent> {
        val asOfMs = System.currentTimeMillis() - lagMs
        return entries.filter { it.atMs <= asOfMs && it.event.sequence >= from }.map { it.event }
    }

    private companion object {
        const val MAX_ENTRIES = 10_000
        const val PREFIX_CHARS = 64
    }
}
