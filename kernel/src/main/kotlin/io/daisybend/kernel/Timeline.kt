/*
 * The event time line. Each process keeps its latest events in a bounded buffer; the operators' tool fetches them from
 * all VMs and merges them by time, VM and sequence number. Events never carry keys or request bodies.
 */
package io.daisybend.kernel

import kotlinx.serialization.Serializable

/** One event of one process; [sequence] orders the events of a process that share a millisecond. */
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

/** Keeps the latest [capacity] events of one process and tells [listener] of each; safe for use by several threads. */
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

    /** Returns the kept events, oldest first. */
    public fun events(): List<TimelineEvent> = synchronized(lock) { events.toList() }

    private companion object {
        const val DEFAULT_CAPACITY = 10_000
    }
}

/** Merges the events of several processes into one order. */
public fun mergeTimelines(timelines: List<List<TimelineEvent>>): List<TimelineEvent> =
    timelines.flatten().sortedWith(compareBy({ it.atMs }, { it.vmId.value }, { it.sequence }))
