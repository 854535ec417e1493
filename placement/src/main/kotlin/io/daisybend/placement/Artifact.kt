/*
 * What an engine loads: a version of a model, or a version of an adapter on top of its model.
 */
package io.daisybend.placement

import io.daisybend.kernel.AdapterId
import io.daisybend.kernel.ModelId
import kotlinx.serialization.Serializable

/** A version of a model, or of an adapter of that model when [adapterId] is set. */
@Serializable
public data class Artifact(
    val modelId: ModelId,
    val adapterId: AdapterId? = null,
    val version: String = "",
) {
    /** The key under which the replicas of all versions are counted together. */
    val replicaKey: ReplicaKey get() = ReplicaKey(modelId, adapterId)
}

/** Names a model or an adapter regardless of its version. */
@Serializable
public data class ReplicaKey(val modelId: ModelId, val adapterId: AdapterId? = null)
