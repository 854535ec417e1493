/*
 * The reasons for the ledger to refuse a record. A refusal is as deterministic as the ledger: every reader of the same
 * offsets reaches the same one, so the losers of a race learn the outcome from the log alone.
 */
package io.daisybend.placement

import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.Failure

/** The reason why a record has no effect. */
public sealed interface RecordRefusal : Failure {
    /** The record was written under a fence that is no longer the endpoint's fence. */
    public data class StaleFence(val endpointId: EndpointId, val expected: Long, val actual: Long) : RecordRefusal {
        override val message: String = "expected fence $expected at $endpointId, got $actual"
    }

    /** Another decision on the same model or adapter was accepted first. */
    public data class StaleRevision(val key: ReplicaKey, val expected: Long, val actual: Long) : RecordRefusal {
        override val message: String = "expected revision $expected of $key, got $actual"
    }

    /** Another record of the endpoint was accepted after the engine's state was read. */
    public data class StaleObservation(val endpointId: EndpointId, val expected: Long, val actual: Long) :
        RecordRefusal {
        override val message: String = "expected last offset $expected of $endpointId, got $actual"
    }

    /** The artifact does not fit next to the reservations and the KV cache in the endpoint's memory. */
    public data class MemoryExceeded(val endpointId: EndpointId, val neededBytes: Long, val freeBytes: Long) :
        RecordRefusal {
        override val message: String = "expected at least $neededBytes free bytes at $endpointId, got $freeBytes"
    }

    /** The endpoint has no reservation for the artifact. */
    public data class NotReserved(val endpointId: EndpointId, val artifact: Artifact) : RecordRefusal {
        override val message: String = "expected a reservation of $artifact at $endpointId, got none"
    }

    /** The artifact is already loading, loaded or unloading at the endpoint. */
    public data class AlreadyReserved(val endpointId: EndpointId, val artifact: Artifact) : RecordRefusal {
        override val message: String = "expected no active reservation of $artifact at $endpointId, got one"
    }

    /** The model of the adapter is not loaded at the endpoint. */
    public data class ModelNotLoaded(val endpointId: EndpointId, val artifact: Artifact) : RecordRefusal {
        override val message: String = "expected model ${artifact.modelId} of $artifact loaded at $endpointId, got none"
    }

    /** The model cannot be unloaded while adapters of it are in use at the endpoint. */
    public data class AdaptersInUse(val endpointId: EndpointId, val artifact: Artifact, val adapters: Int) :
        RecordRefusal {
        override val message: String = "expected no adapters of $artifact in use at $endpointId, got $adapters"
    }

    /** The size of the artifact is not positive. */
    public data class InvalidSize(val artifact: Artifact, val weightsBytes: Long) : RecordRefusal {
        override val message: String = "expected a positive size of $artifact, got $weightsBytes"
    }
}
