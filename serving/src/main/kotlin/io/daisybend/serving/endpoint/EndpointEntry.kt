/*
 * The entries of the platform's list of endpoints, and the models that an engine holds.
 */
package io.daisybend.serving.endpoint

import io.daisybend.serving.stream.SoftwareVersion

/** A model that an engine holds, with the loaded adapters. */
public data class HeldModel(val name: String, val adapters: Set<String>)

/** Identifies one start of an endpoint: a restarted endpoint keeps its id but not its state. */
public data class Incarnation(val id: String, val bornMs: Long)

/** The models, adapters and cached weights of an engine after its [orderCount]-th accepted order. */
public data class EngineHoldings(
    val orderCount: Long,
    val models: Map<String, HeldModel>,
    val inMemory: Set<String> = emptySet(),
    val onDisk: Set<String> = emptySet(),
    val busy: Boolean = false,
    val loadingAdapters: Set<AdapterKey> = emptySet(),
) {
    /** Returns the models that the engine holds, or has a copy of in its memory or on its disk. */
    public fun copies(): Set<String> = models.keys + inMemory + onDisk

    /** Returns whether the engine holds [model], or has a copy of it in its memory or on its disk. */
    public fun hasCopy(model: String): Boolean = model in models || model in inMemory || model in onDisk
}

/** An adapter of a model. */
public data class AdapterKey(val model: String, val adapter: String)

/** An entry of the platform's list of endpoints; [holdings] is null for plain services. */
public data class EndpointEntry(
    val incarnation: Incarnation,
    val service: String,
    val host: String,
    val port: Int,
    val failureDomain: String,
    val slots: Int,
    val isDraining: Boolean,
    val holdings: EngineHoldings?,
    val softwareVersion: SoftwareVersion = SoftwareVersion(null),
    /** How much longer the endpoint stays cold after the entry was read, in milliseconds; 0 if it is not cold. */
    val coldLeftMs: Long = 0,
    /** Whether the entry's value of [coldLeftMs] was absent or readable. */
    val isColdLeftReadable: Boolean = true,
)
