/*
 * Sample manifests for tests: a small valid one, and one of any size.
 */
package io.daisybend.configuration

import io.daisybend.kernel.AdapterId
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.FailureDomainId
import io.daisybend.kernel.ModelId
import io.daisybend.kernel.TeamId

internal const val GIGABYTE = 1_000_000_000L

internal fun keySpec(id: String, team: String): KeySpec =
    newKey(KeyId(id), TeamId(team)) { size -> ByteArray(size) { (id.hashCode() + it).toByte() } }.spec

internal fun smallManifest(teams: Int = 2): Manifest = sizedManifest(models = 2, adapters = 2, teams = teams, keys = 2)

internal fun sizedManifest(models: Int, adapters: Int, teams: Int = 5, keys: Int = 5, endpoints: Int = 2): Manifest {
    val modelIds = List(models) { ModelId("model-$it") }
    val adapterIds = List(adapters) { AdapterId("branch-$it/orders") }
    return Manifest(
        models = modelIds.map { ModelSpec(it, "2026.1", 14 * GIGABYTE) },
        adapters = adapterIds.mapIndexed { index, id ->
            AdapterSpec(id, modelIds[index % models], "r$index", 200_000_000L + index)
        },
        teams = List(teams) { number ->
            TeamSpec(
                teamId = TeamId("team-$number"),
                rateTokensPerSecond = 1_000,
                burstTokens = 10_000,
                modelIds = modelIds.filterIndexed { index, _ -> index % teams == number },
                adapterIds = adapterIds.filterIndexed { index, _ -> index % teams == number },
            )
        },
        keys = List(keys) { keySpec("key-$it", "team-${it % teams}") },
        endpoints = List(endpoints) { index ->
            EndpointSpec(
                endpointId = EndpointId("engine-$index"),
                kind = if (index == 0) EndpointKind.SERVICE else EndpointKind.ENGINE,
                address = "10.0.0.$index:8000",
                failureDomainId = FailureDomainId("buda"),
                memoryBytes = 80 * GIGABYTE,
            )
        },
        routes = listOf(RouteSpec("booking", listOf(EndpointId("engine-0")), teamIds = listOf(TeamId("team-0")))),
    )
}

internal fun applyAll(manifest: Manifest): ConfigurationChange.ApplyManifest =
    ConfigurationChange.ApplyManifest(expectedRevision = 0, diff = diffManifests(ManifestTables(), manifest.toTables()))

/** Replays [records] on top of [from]. */
internal fun replayAll(records: List<ByteArray>, from: ConfigurationState = ConfigurationState.INITIAL) =
    records.fold(from) { state, payload -> state.replay(state.nextOffset, payload).expectOk() }
