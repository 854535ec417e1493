/*
 * Event timeline for diagnosis. Each process keeps its most recent events in a bounded buffer; the operators' tool
 * fetches them from all VMs and merges them by time, VM and sequence number. Events never contain API keys or request
 * bodies.
 */
package io.daisybend.kernel

import kotlinx.serialization.Serializable

/** Event recorded by a process; [sequence] orders events of the same process within a millisecond. */
@Serializable
public data class TimelineEvent(
    val atMs: Long,
    val vmId: VmId,
    val sequence: Long,
    val kind: String,
    val requestId: RequestId? = null,
    val teamId: TeamId? = null,
    val modelId: ModelId? = null,
    val endpointId: EndpointId? = null,
    val detail: String = "",
)

/** Keeps the last [capacity] events of a process and passes each event to [listener]; thread-safe. */
public class Timeline(
    private val vmId: VmId,
    private val clock: MillisClock,
    private val capacity: Int = DEFAULT_CAPACITY,
    private val listener: (TimelineEvent) -> Unit = {},
) {
    private val lock = Any()
    private val events = ArrayDeque<TimelineEvent>()
    private var nextSequence = 0L

    /** Records an event of [kind] at the current time. */
    public fun record(
        kind: String,
        requestId: RequestId? = null,
        teamId: TeamId? = null,
        modelId: ModelId? = null,
        endpointId: EndpointId? = null,
        detail: String = "",
    ) {
        val event = synchronized(lock) {
            if (events.size == capacity) events.removeFirst()
            val sequence = nextSequence++
            TimelineEvent(clock.nowMs(), vmId, sequence, kind, requestId, teamId, modelId, endpointId, detail)
                .also { events += it }
        }
        listener(event)
    }

    /** Returns the retained events, oldest first. */
    public fun events(): List<TimelineEvent> = synchronized(lock) { events.toList() }

    private companion object {
        const val DEFAULT_CAPACITY = 10_000
    }
}

/** Merges the events of several processes, ordered by time, VM and sequence number. */
public fun mergeTimelines(timelines: List<List<TimelineEvent>>): List<TimelineEvent> =
    timelines.flatten().sortedWith(compareBy({ it.atMs }, { it.vmId.value }, { it.sequence }))
