/*
 * Why the ledger's fold refused a record. A refusal is part of the fold: every reader of the same offsets reaches the
 * same one, so the losers of a race learn that they lost from the log alone.
 */
package io.daisybend.placement

import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.Failure

/** Why a record had no effect. */
public sealed interface RecordRefusal : Failure {
    /** The record was written under a fence that is no longer the endpoint's. */
    public data class StaleFence(val endpointId: EndpointId, val expected: Long, val actual: Long) : RecordRefusal {
        override val message: String = "expected fence $expected at $endpointId, the ledger has $actual"
    }

    /** Another decision on the same model or adapter came first. */
    public data class StaleRevision(val key: ReplicaKey, val expected: Long, val actual: Long) : RecordRefusal {
        override val message: String = "expected revision $expected of $key, the ledger has $actual"
    }

    /** The endpoint's records moved on after the engine's state was read. */
    public data class StaleObservation(val endpointId: EndpointId, val expected: Long, val actual: Long) :
        RecordRefusal {
        override val message: String = "expected $endpointId at offset $expected, the ledger has $actual"
    }

    /** The endpoint's memory does not suffice, counting every reservation and the KV cache. */
    public data class MemoryExceeded(val endpointId: EndpointId, val neededBytes: Long, val freeBytes: Long) :
        RecordRefusal {
        override val message: String = "expected $neededBytes free bytes at $endpointId, it has $freeBytes"
    }

    /** The endpoint holds no reservation for the artifact. */
    public data class NotReserved(val endpointId: EndpointId, val artifact: Artifact) : RecordRefusal {
        override val message: String = "expected a reservation of $artifact at $endpointId, there is none"
    }

    /** The artifact is already loading or loaded at the endpoint. */
    public data class AlreadyReserved(val endpointId: EndpointId, val artifact: Artifact) : RecordRefusal {
        override val message: String = "expected $artifact to be absent at $endpointId, it is loading or loaded"
    }

    /** An adapter needs its model loaded at the same endpoint. */
    public data class ModelNotLoaded(val endpointId: EndpointId, val artifact: Artifact) : RecordRefusal {
        override val message: String = "expected model ${artifact.modelId} loaded at $endpointId for $artifact"
    }

    /** A model stays while adapters of it are in use at the endpoint. */
    public data class AdaptersInUse(val endpointId: EndpointId, val artifact: Artifact, val adapters: Int) :
        RecordRefusal {
        override val message: String = "expected no adapters of $artifact at $endpointId, there are $adapters"
    }

    /** A size was not positive. */
    public data class InvalidSize(val artifact: Artifact, val weightsBytes: Long) : RecordRefusal {
        override val message: String = "expected a positive size of $artifact, got $weightsBytes"
    }
}
