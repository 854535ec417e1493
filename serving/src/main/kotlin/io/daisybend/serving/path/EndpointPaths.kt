/*
 * What this VM knows of its direct paths to the endpoints, and whether it is cut off from all of them. A single failure
 * says nothing of the VM: the endpoint may be down. The VM is cut off if several endpoints can't be reached directly, a
 * peer reaches them, and none has been reached directly since the first failure. Endpoints that are down for the peers
 * too are no evidence. A cut ends after trials that work over some time.
 */
package io.daisybend.serving.path

/** Times of [EndpointPaths], in milliseconds. */
public data class EndpointPathSettings(
    /** Age up to which a failure counts. */
    val failureMemoryMs: Long = 2_000,
    /** How long an endpoint that a peer could not reach either is taken for down. */
    val downForAllMs: Long = 500,
    /** Largest time by which a peer reaches an endpoint before a direct attempt that began earlier fails. */
    val raceMs: Long = 500,
    /** Least time between the first and the last direct connection that end a cut. */
    val endSpanMs: Long = 200,
    /** Interval of trials of a path that is down, and of all trials of a VM that is cut off. */
    val trialIntervalMs: Long = 250,
    /** Number of endpoints whose paths must be down, unless fewer are listed. */
    val endpointsForCut: Int = 2,
)

/** A change of the state of the VM; the first failure was at [sinceMs]. */
public sealed interface PathChange {
    public val sinceMs: Long

    /** The VM is cut off; a peer reaches [evidence]. */
    public data class CutOff(override val sinceMs: Long, val evidence: Set<Any>) : PathChange

    /** The VM reaches endpoints directly again. */
    public data class CutOffEnded(override val sinceMs: Long) : PathChange
}

/** Direct paths to endpoints, which [K] identifies; thread-safe. Times are of the monotonic clock. */
public class EndpointPaths<K : Any>(private val settings: EndpointPathSettings = EndpointPathSettings()) {
    private class Path {
        /** When the first and the last connection failed since one has worked, or [NEVER]. */
        var failingSinceMs = NEVER
        var failedAtMs = NEVER

        /** When a peer last reached the endpoint, and when one last failed to, or [NEVER]. */
        var peerReachedAtMs = NEVER
        var peerFailedAtMs = NEVER
        var testedAtMs = NEVER
    }

    private val lock = Any()
    private val paths = HashMap<K, Path>()
    private var listed: Set<K> = emptySet()

    /** When the first connection failed since the last one that worked, or [NEVER]. */
    private var symptomAtMs = NEVER
    private var worksSinceMs = NEVER
    private var worksInRow = 0
    private var lastTrialAtMs = NEVER

    /** Whether this VM is cut off from all endpoints. */
    @Volatile
    public var isCutOff: Boolean = false
        private set

    /** Sets the listed endpoints; what is known of others is forgotten. */
    public fun setListed(endpoints: Set<K>): Unit = synchronized(lock) {
        if (endpoints == listed) return
        listed = endpoints
        paths.keys.retainAll(endpoints)
    }

    /** Records that a direct connection to [endpoint] was opened or, if not [worked], failed at [nowMs]. */
    public fun onDirect(endpoint: K, worked: Boolean, nowMs: Long): PathChange? = synchronized(lock) {
        if (endpoint !in listed) return null
        val path = paths.getOrPut(endpoint) { Path() }
        path.testedAtMs = nowMs
        if (!worked) return onFailed(path, nowMs)
        path.failingSinceMs = NEVER
        path.failedAtMs = NEVER
        if (!isCutOff) {
            symptomAtMs = NEVER
            return null
        }
        if (worksInRow++ == 0) worksSinceMs = nowMs
        if (worksInRow < WORKING_TO_END || nowMs - worksSinceMs < settings.endSpanMs) return null
        return endCut()
    }

    private fun onFailed(path: Path, nowMs: Long): PathChange? {
        worksInRow = 0
        if (path.failingSinceMs == NEVER) path.failingSinceMs = nowMs
        path.failedAtMs = nowMs
        if (symptomAtMs == NEVER) symptomAtMs = nowMs
        return detectCut(nowMs)
    }

    private fun endCut(): PathChange {
        val sinceMs = symptomAtMs
        isCutOff = false
        symptomAtMs = NEVER
        worksInRow = 0
        paths.clear()
        return PathChange.CutOffEnded(sinceMs)
    }

    /** Records whether a peer [reached] [endpoint] at [nowMs]. */
    public fun onPeer(endpoint: K, reached: Boolean, nowMs: Long): PathChange? = synchronized(lock) {
        if (endpoint !in listed) return null
        val path = paths.getOrPut(endpoint) { Path() }
        if (reached) path.peerReachedAtMs = nowMs else path.peerFailedAtMs = nowMs
        return detectCut(nowMs)
    }

    private fun detectCut(nowMs: Long): PathChange? {
        if (isCutOff || symptomAtMs == NEVER) return null
        val evidence = paths.filterValues { isLost(it, nowMs) && it.failedAtMs >= symptomAtMs }.keys
        if (evidence.isEmpty() || evidence.size < minOf(settings.endpointsForCut, listed.size)) return null
        isCutOff = true
        worksInRow = 0
        return PathChange.CutOff(symptomAtMs, evidence.toSet())
    }

    private fun isFailing(path: Path, nowMs: Long) =
        path.failedAtMs != NEVER && nowMs - path.failedAtMs <= settings.failureMemoryMs

    /** Whether the endpoint of [path] is up but can't be reached directly. */
    private fun isLost(path: Path, nowMs: Long) = isFailing(path, nowMs) &&
        path.peerReachedAtMs >= path.failingSinceMs - settings.raceMs &&
        path.peerReachedAtMs > path.peerFailedAtMs

    /** Returns whether peers should be tried first for [endpoint] at [nowMs]. */
    public fun isDown(endpoint: K, nowMs: Long): Boolean = synchronized(lock) {
        if (isCutOff) return endpoint in listed
        paths[endpoint]?.let { isLost(it, nowMs) } ?: false
    }

    /** Returns whether no VM seems to reach [endpoint] at [nowMs]. */
    public fun isDownForAll(endpoint: K, nowMs: Long): Boolean = synchronized(lock) {
        val path = paths[endpoint] ?: return false
        path.peerFailedAtMs > path.peerReachedAtMs && nowMs - path.peerFailedAtMs < settings.downForAllMs
    }

    /** Returns the endpoints whose direct paths should be tested at [nowMs], and counts them as tested. */
    public fun takeTrials(nowMs: Long): List<K> = synchronized(lock) {
        if (listed.isEmpty() || nowMs - lastTrialAtMs < settings.trialIntervalMs) return emptyList()
        val count = when {
            isCutOff -> 1
            symptomAtMs == NEVER || paths.values.none { isFailing(it, nowMs) } -> 0
            else -> settings.endpointsForCut
        }
        if (count == 0) return emptyList()
        lastTrialAtMs = nowMs
        return listed.shuffled().sortedBy { paths[it]?.testedAtMs ?: NEVER }.take(count).onEach {
            paths.getOrPut(it) { Path() }.testedAtMs = nowMs
        }
    }

    /** Takes the test of the direct path to [endpoint] at [nowMs]; false if one was made in the last [intervalMs]. */
    public fun takeTest(endpoint: K, intervalMs: Long, nowMs: Long): Boolean = synchronized(lock) {
        if (endpoint !in listed) return false
        val path = paths.getOrPut(endpoint) { Path() }
        (nowMs - path.testedAtMs >= intervalMs).also { if (it) path.testedAtMs = nowMs }
    }

    private companion object {
        /** A time long before any other one; differences to it don't overflow. */
        const val NEVER = Long.MIN_VALUE / 4

        /** Number of successive direct connections that end a cut. */
        const val WORKING_TO_END = 2
    }
}
