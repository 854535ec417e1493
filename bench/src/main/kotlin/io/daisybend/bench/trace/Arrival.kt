/*
 * A trace: the requests and faults of a scenario, independent of all decisions.
 */
package io.daisybend.bench.trace

import io.daisybend.bench.site.ModelSpec
import io.daisybend.bench.site.TeamSpec
import io.daisybend.kernel.AdapterId
import io.daisybend.kernel.RequestId
import io.daisybend.scheduling.PriorityClass

internal class Arrival(
    val requestId: RequestId,
    val atMs: Long,
    val vmIndex: Int,
    val team: TeamSpec,
    val model: ModelSpec,
    val adapterId: AdapterId?,
    val priorityClass: PriorityClass,
    val promptTokens: Int,
    val outputTokens: Int,
    val maxOutputTokens: Int,
    val deadlineMs: Long,
    val prefixHashes: LongArray,
) {
    val reservedTokens: Long get() = (promptTokens + maxOutputTokens).toLong()
    val usedTokens: Long get() = (promptTokens + outputTokens).toLong()
}

/** A fault that is injected during a scenario. */
internal sealed interface Fault {
    val atMs: Long

    /** The VM is replaced and loses its state. */
    data class VmRestart(override val atMs: Long, val vmIndex: Int) : Fault

    /** The platform's log accepts no appends and serves no reads until [untilMs]. */
    data class LogOutage(override val atMs: Long, val untilMs: Long) : Fault
}

internal class Trace(
    val arrivals: List<Arrival>,
    val faults: List<Fault>,
    val durationMs: Long,
)
