/*
 * What callers and engines saw of one request: the ledger compares both sides.
 */
package io.daisybend.entry.soak

/** A route of the site; [isOnce] if its requests may run at most once. */
internal enum class SoakRoute(
    val kind: String,
    val service: String,
    val timeoutMs: Long,
    val isPublic: Boolean,
    val isResumable: Boolean = false,
) {
    STREAM("streaming", "llm", 9_000, isPublic = false),
    RESUME("streaming", "llm", 9_000, isPublic = false, isResumable = true),
    ONCE("unsafe", "plain", 3_000, isPublic = true),
    KEYED("unsafe", "plain", 3_000, isPublic = false),
    SAFE("safe", "plain", 3_000, isPublic = true),
    ;

    val prefix = "/${name.lowercase()}/"
    val isStream get() = kind == "streaming"
    val isOnce get() = kind == "unsafe" || (isStream && !isResumable)
}

/** How an attempt ended for its caller. */
internal enum class AttemptEnd {
    OPEN,
    ANSWERED,

    /** The connection ended before a whole answer. */
    BROKEN,

    /** The caller closed the connection: its deadline or the longest gap of a stream had passed. */
    GIVEN_UP,

    /** The connection ended before the whole request was written. */
    NOT_WRITTEN,
}

/** One attempt of a caller at [vm]; times are those of the time line. */
internal class Attempt(
    val id: String,
    val route: SoakRoute,
    val vm: String,
    val sentMs: Long,
    val deadlineMs: Long = route.timeoutMs,
    /** Number of events that the whole answer has, if it is a stream. */
    val events: Int = 0,
    /** Whether the caller reaches the VM through a proxy. */
    val isProxied: Boolean = false,
    val note: String = "",
) {
    /** Time within which it is to be answered, in milliseconds. */
    val timeMs get() = minOf(deadlineMs, route.timeoutMs)

    var writtenMs: Long? = null
    var endMs: Long = Long.MAX_VALUE
    var end = AttemptEnd.OPEN
    var status = 0
    var seal: String? = null

    /** The attempt id that the answer names, or null. */
    var namedId: String? = null

    /** The body as far as it arrived. */
    var body = ""
    var problem = ""

    override fun toString() =
        "attempt $id ${route.name} at $vm, sent $sentMs, written $writtenMs, ended $endMs: $end status $status " +
            "seal $seal $problem $note"
}

/** How a run ended at its engine. */
internal enum class RunEnd {
    WORKING,
    DONE,

    /** Answered with a failure of the engine. */
    FAILED,

    /** The engine broke off its answer. */
    BROKEN_OFF,

    /** The connection was closed on the other side. */
    DROPPED,
}

/** One run of [attemptId] at [engine]. */
internal class Run(
    val number: Int,
    val engine: String,
    val attemptId: String,
    val startMs: Long,
    val firstEvent: Int = 1,
    /** Whether the engine is one that goes on after its connection was closed. */
    val ignoresClose: Boolean = false,
) {
    @Volatile
    var endMs: Long? = null
        private set

    @Volatile
    var end = RunEnd.WORKING
        private set

    /** When the engine made its first event; a model engine begins to run a request with it. */
    @Volatile
    var firstEventMs: Long? = null
        private set

    /** The body that the engine has made, complete once the run is done. */
    @Volatile
    var body = ""

    val seal get() = "seal-$number"

    /** Number of events that the engine has made. */
    @Volatile
    var eventCount = 0
        private set

    /** Records that the engine has made an event; only the engine's own coroutine of the run calls this. */
    fun onEvent(atMs: Long) {
        if (firstEventMs == null) firstEventMs = atMs
        eventCount++
    }

    /** Ends the run; returns false if it has ended before. */
    @Synchronized
    fun finish(how: RunEnd, atMs: Long): Boolean {
        if (end != RunEnd.WORKING) return false
        end = how
        endMs = atMs
        return true
    }

    override fun toString() =
        "run $number at $engine, $startMs to $endMs, first event $firstEventMs: $end, from event $firstEvent" +
            if (ignoresClose) ", the engine ignores closed connections" else ""
}

/** A broken promise. */
internal data class Violation(val rule: String, val text: String) {
    override fun toString() = "$rule: $text"
}
