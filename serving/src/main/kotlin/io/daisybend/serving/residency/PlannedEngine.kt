/*
 * What the residency planner is asked with and what it answers.
 */
package io.daisybend.serving.residency

import io.daisybend.serving.endpoint.AdapterKey

/** Requests that wait for a model, or for an adapter of it; [urgency] is 0 for the most urgent. */
public data class Want(val model: String, val adapter: String?, val count: Int, val urgency: Int, val waitedMs: Long)

/** An engine as the planner sees it. */
public class PlannedEngine(
    public val ledger: EngineLedger,
    public val usable: Boolean,
    /** Requests under way for each model, over all VMs. */
    public val runsByModel: Map<String, Int>,
    /** In how many milliseconds the last run of each model should end, over all VMs. */
    public val runsEndInMs: Map<String, Long>,
    /** Requests under way for each adapter, over all VMs. */
    public val runsByAdapter: Map<AdapterKey, Int>,
    /** Requests under way, over all VMs. */
    public val inFlight: Int,
    /** Prompt tokens that wait to be read, over all VMs. */
    public val pendingPromptTokens: Long,
    /** Memory that requests under way may take, in tokens. */
    public val kvTokens: Long,
)

/** An order for one engine. */
public data class PlannedOrder(
    val engine: PlannedEngine,
    val order: EngineOrder,
    val durationMs: Long,
    val reason: String,
)
