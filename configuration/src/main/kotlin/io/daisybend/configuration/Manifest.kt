/*
 * The manifest: all decisions of the operators as one JSON document, which their build pipeline generates. Sizes are in
 * bytes and rates in tokens per second. Keys appear only as salted hashes.
 */
package io.daisybend.configuration

import io.daisybend.kernel.AdapterId
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.FailureDomainId
import io.daisybend.kernel.ModelId
import io.daisybend.kernel.TeamId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Identifies a key in logs, commands and failures without revealing its secret. */
@JvmInline
@Serializable
public value class KeyId(public val value: String) {
    override fun toString(): String = value
}

/** A complete manifest in the format [formatVersion]. */
@Serializable
public data class Manifest(
    val formatVersion: Int = FORMAT_VERSION,
    val models: List<ModelSpec> = emptyList(),
    val adapters: List<AdapterSpec> = emptyList(),
    val teams: List<TeamSpec> = emptyList(),
    val keys: List<KeySpec> = emptyList(),
    val endpoints: List<EndpointSpec> = emptyList(),
    val routes: List<RouteSpec> = emptyList(),
) {
    public companion object {
        /** The only format version that is accepted. */
        public const val FORMAT_VERSION: Int = 1
    }
}

/** A model; its weights take [weightsBytes] of accelerator memory. */
@Serializable
public data class ModelSpec(
    val modelId: ModelId,
    val version: String,
    val weightsBytes: Long,
    val maxOutputTokens: Int = 4096,
)

/** An adapter of a model; its weights take [weightsBytes] of accelerator memory. */
@Serializable
public data class AdapterSpec(
    val adapterId: AdapterId,
    val modelId: ModelId,
    val version: String,
    val weightsBytes: Long,
)

/** A team, its fleet-wide rate and burst, and the models and adapters that it may use. */
@Serializable
public data class TeamSpec(
    val teamId: TeamId,
    val rateTokensPerSecond: Long,
    val burstTokens: Long,
    val shareWeight: Int = 1,
    val modelIds: List<ModelId> = emptyList(),
    val adapterIds: List<AdapterId> = emptyList(),
)

/** A key as a salted SHA-256 hash. */
@Serializable
public data class KeySpec(
    val keyId: KeyId,
    val teamId: TeamId,
    val saltHex: String,
    val hashHex: String,
)

/** The kind of an endpoint: a model engine or a plain service. */
@Serializable
public enum class EndpointKind {
    @SerialName("engine")
    ENGINE,

    @SerialName("service")
    SERVICE,
}

/** An endpoint at [address] (`host:port`); [memoryBytes] is the accelerator memory of an engine. */
@Serializable
public data class EndpointSpec(
    val endpointId: EndpointId,
    val kind: EndpointKind,
    val address: String,
    val failureDomainId: FailureDomainId,
    val memoryBytes: Long = 0,
    val kvCacheBytes: Long = 0,
    val maxConcurrentRequests: Int = 8,
    val checksFencing: Boolean = false,
)

/** A path below `/services/` that is routed to plain services. */
@Serializable
public data class RouteSpec(
    val name: String,
    val endpointIds: List<EndpointId>,
    val repeatable: Boolean = false,
    val openToAll: Boolean = false,
    val teamIds: List<TeamId> = emptyList(),
)
