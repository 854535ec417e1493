/*
 * The units that an engine loads: a version of a model, or a version of an adapter on top of its model.
 */
package io.daisybend.placement

import io.daisybend.kernel.AdapterId
import io.daisybend.kernel.ModelId
import kotlinx.serialization.Serializable

/** A version of a model or, if [adapterId] is set, of an adapter of that model. */
@Serializable
public data class Artifact(
    val modelId: ModelId,
    val adapterId: AdapterId? = null,
    val version: String = "",
) {
    /** The key that groups the replicas of all versions. */
    val replicaKey: ReplicaKey get() = ReplicaKey(modelId, adapterId)
}

/** Identifies a model or an adapter regardless of its version. */
@Serializable
public data class ReplicaKey(val modelId: ModelId, val adapterId: AdapterId? = null)
