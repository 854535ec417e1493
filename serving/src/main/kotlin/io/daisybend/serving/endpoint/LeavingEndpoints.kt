/*
 * The endpoints that said in a response that they are leaving. The word of an endpoint outlasts the platform's list,
 * which may lag, lose the entry or come back from an older copy; only a new incarnation of the endpoint takes requests
 * again. Peers learn of it from the VM that got the response.
 */
package io.daisybend.serving.endpoint

/** The leaving endpoints that this VM knows of; thread-safe. */
public class LeavingEndpoints {
    private class Notice(val learnedAtMs: Long, var reportsLeft: Int)

    private val lock = Any()
    private val notices = HashMap<Incarnation, Notice>()

    /** Records that a response of [endpoint] at [nowMs] said that it is leaving; returns whether that is new. */
    public fun onResponse(endpoint: Incarnation, nowMs: Long): Boolean = add(endpoint, nowMs, REPORTS_OF_A_NOTICE)

    /** Records that a peer reported at [nowMs] that [endpoint] is leaving; returns whether that is new. */
    public fun onPeerReport(endpoint: Incarnation, nowMs: Long): Boolean = add(endpoint, nowMs, reports = 0)

    private fun add(endpoint: Incarnation, nowMs: Long, reports: Int): Boolean = synchronized(lock) {
        if (endpoint in notices) return false
        notices[endpoint] = Notice(nowMs, reports)
        true
    }

    /** Whether no endpoint is known to be leaving. */
    public val isEmpty: Boolean get() = synchronized(lock) { notices.isEmpty() }

    /** Returns whether [endpoint] is known to be leaving. */
    public operator fun contains(endpoint: Incarnation): Boolean = synchronized(lock) { endpoint in notices }

    /** Returns the endpoints whose responses this VM has not reported often enough; each is in several reports. */
    public fun reportChanges(): List<Incarnation> =
        synchronized(lock) { notices.filterValues { it.reportsLeft-- > 0 }.keys.toList() }

    /** Returns all leaving endpoints among [listed], for a peer that may know none of them. */
    public fun allOf(listed: Collection<Incarnation>): List<Incarnation> =
        synchronized(lock) { listed.filter { it in notices } }

    /** Forgets the endpoints that are not [listed] and were heard of long before [nowMs]. */
    public fun removeForgotten(listed: Set<Incarnation>, nowMs: Long): Unit = synchronized(lock) {
        notices.entries.removeIf { (endpoint, notice) ->
            endpoint !in listed && nowMs - notice.learnedAtMs > MEMORY_MS
        }
    }

    private companion object {
        /** Number of successive reports that contain a notice. */
        const val REPORTS_OF_A_NOTICE = 3

        /** How long an endpoint that is not listed is remembered, in milliseconds: its entry may return until then. */
        const val MEMORY_MS = 600_000L
    }
}
