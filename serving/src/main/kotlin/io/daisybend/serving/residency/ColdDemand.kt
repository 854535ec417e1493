/*
 * Remembers the requests for models that no engine has a copy of. Most callers can't wait for a load from the weight
 * store and are refused at once, so they wait in no queue; those that come later need the model all the same.
 */
package io.daisybend.serving.residency

/** The requests for models without a copy since each was first requested; not thread-safe. */
public class ColdDemand {
    private class Entry(val firstAtMs: Long, var lastAtMs: Long, var count: Int)

    private val entries = HashMap<String, Entry>()

    /** Records [count] requests at [nowMs] for [model], which no engine has a copy of. */
    public fun recordRequests(model: String, count: Int, nowMs: Long) {
        val entry = entries.getOrPut(model) { Entry(nowMs, nowMs, 0) }
        entry.count += count
        entry.lastAtMs = nowMs
    }

    /** Forgets all requests. */
    public fun clear(): Unit = entries.clear()

    /** Forgets the models that [isCold] denies, and those that were not requested lately at [nowMs]. */
    public fun retain(nowMs: Long, isCold: (String) -> Boolean) {
        entries.entries.removeIf { (model, entry) -> nowMs - entry.lastAtMs > MEMORY_MS || !isCold(model) }
    }

    /** Returns the demand at [nowMs] as if all these requests waited. */
    public fun queuedDemand(nowMs: Long): List<QueuedDemand> = entries.map { (model, entry) ->
        QueuedDemand(model, null, entry.count, MOST_URGENT, waitedMs = nowMs - entry.firstAtMs)
    }

    private companion object {
        /** How long a request counts, in milliseconds: callers that come back do so earlier. */
        const val MEMORY_MS = 10_000L

        /** Models of all urgencies share the store by the number and the age of their requests. */
        const val MOST_URGENT = 0
    }
}
