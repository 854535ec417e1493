/*
 * What an endpoint says of itself in the platform's list, decoded once.
 */
package io.daisybend.serving.endpoint

/** A model with the adapters that an engine holds of it. */
public data class HeldModel(val name: String, val adapters: Set<String>)

/** Identifies one start of an endpoint: an id may come back with nothing of what it knew. */
public data class Incarnation(val id: String, val bornMs: Long)

/** What an engine holds as of its [orderCount]-th accepted order. */
public data class EngineHoldings(
    val orderCount: Long,
    val models: Map<String, HeldModel>,
    val inMemory: Set<String> = emptySet(),
    val onDisk: Set<String> = emptySet(),
    val busy: Boolean = false,
    val loadingAdapters: Set<AdapterKey> = emptySet(),
)

/** An adapter of a model. */
public data class AdapterKey(val model: String, val adapter: String)

/** One entry of the platform's list of endpoints. */
public data class EndpointEntry(
    val incarnation: Incarnation,
    val service: String,
    val host: String,
    val port: Int,
    val failureDomain: String,
    val slots: Int,
    val isDraining: Boolean,
    val holdings: EngineHoldings?,
)
