/*
 * The difference between two manifests. A manifest is applied as a difference to the one in force, so a pipeline that
 * regenerates the whole document writes only a small record for a small change.
 */
package io.daisybend.configuration

import io.daisybend.kernel.AdapterId
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.ModelId
import io.daisybend.kernel.TeamId
import kotlinx.serialization.Serializable

/** The entries to add or replace and the identifiers of the entries to remove. */
@Serializable
public data class ManifestDiff(
    val putModels: List<ModelSpec> = emptyList(),
    val removeModelIds: List<ModelId> = emptyList(),
    val putAdapters: List<AdapterSpec> = emptyList(),
    val removeAdapterIds: List<AdapterId> = emptyList(),
    val putTeams: List<TeamSpec> = emptyList(),
    val removeTeamIds: List<TeamId> = emptyList(),
    val putKeys: List<KeySpec> = emptyList(),
    val removeKeyIds: List<KeyId> = emptyList(),
    val putEndpoints: List<EndpointSpec> = emptyList(),
    val removeEndpointIds: List<EndpointId> = emptyList(),
    val putRoutes: List<RouteSpec> = emptyList(),
    val removeRouteNames: List<String> = emptyList(),
) {
    /** Whether the two manifests are equal. */
    public val isEmpty: Boolean get() = this == ManifestDiff()
}

/** The entries of a manifest by identifier, in insertion order. */
public data class ManifestTables(
    val models: Map<ModelId, ModelSpec> = emptyMap(),
    val adapters: Map<AdapterId, AdapterSpec> = emptyMap(),
    val teams: Map<TeamId, TeamSpec> = emptyMap(),
    val keys: Map<KeyId, KeySpec> = emptyMap(),
    val endpoints: Map<EndpointId, EndpointSpec> = emptyMap(),
    val routes: Map<String, RouteSpec> = emptyMap(),
) {
    /** Returns these tables with [diff] applied. */
    public fun with(diff: ManifestDiff): ManifestTables = ManifestTables(
        models = models.withChanges(diff.putModels, diff.removeModelIds) { it.modelId },
        adapters = adapters.withChanges(diff.putAdapters, diff.removeAdapterIds) { it.adapterId },
        teams = teams.withChanges(diff.putTeams, diff.removeTeamIds) { it.teamId },
        keys = keys.withChanges(diff.putKeys, diff.removeKeyIds) { it.keyId },
        endpoints = endpoints.withChanges(diff.putEndpoints, diff.removeEndpointIds) { it.endpointId },
        routes = routes.withChanges(diff.putRoutes, diff.removeRouteNames) { it.name },
    )

    /** Returns these tables as a manifest. */
    public fun toManifest(): Manifest = Manifest(
        models = models.values.toList(),
        adapters = adapters.values.toList(),
        teams = teams.values.toList(),
        keys = keys.values.toList(),
        endpoints = endpoints.values.toList(),
        routes = routes.values.toList(),
    )
}

/** Returns the entries of this manifest by identifier. */
public fun Manifest.toTables(): ManifestTables = ManifestTables(
    models = models.associateBy { it.modelId },
    adapters = adapters.associateBy { it.adapterId },
    teams = teams.associateBy { it.teamId },
    keys = keys.associateBy { it.keyId },
    endpoints = endpoints.associateBy { it.endpointId },
    routes = routes.associateBy { it.name },
)

/** Returns the difference that turns [from] into [to]; keys in [keptKeyIds] that [to] lacks are not removed. */
public fun diffManifests(
    from: ManifestTables,
    to: ManifestTables,
    keptKeyIds: Set<KeyId> = emptySet(),
): ManifestDiff = ManifestDiff(
    putModels = changedValues(from.models, to.models),
    removeModelIds = removedIds(from.models, to.models),
    putAdapters = changedValues(from.adapters, to.adapters),
    removeAdapterIds = removedIds(from.adapters, to.adapters),
    putTeams = changedValues(from.teams, to.teams),
    removeTeamIds = removedIds(from.teams, to.teams),
    putKeys = changedValues(from.keys, to.keys),
    removeKeyIds = removedIds(from.keys, to.keys).filterNot { it in keptKeyIds },
    putEndpoints = changedValues(from.endpoints, to.endpoints),
    removeEndpointIds = removedIds(from.endpoints, to.endpoints),
    putRoutes = changedValues(from.routes, to.routes),
    removeRouteNames = removedIds(from.routes, to.routes),
)

private fun <K, V> changedValues(from: Map<K, V>, to: Map<K, V>): List<V> =
    to.filter { (id, value) -> from[id] != value }.values.toList()

private fun <K, V> removedIds(from: Map<K, V>, to: Map<K, V>): List<K> = from.keys.filterNot { it in to }

private fun <K, V> Map<K, V>.withChanges(put: List<V>, remove: List<K>, idOf: (V) -> K): Map<K, V> {
    if (put.isEmpty() && remove.isEmpty()) return this
    val result = LinkedHashMap(this)
    remove.forEach { result.remove(it) }
    put.forEach { result[idOf(it)] = it }
    return result
}
