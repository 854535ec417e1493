/*
 * Simulated sites: engines in pools, models, adapters, teams, and the cost of each operation. A model runs only on the
 * engines of its pool.
 */
package io.daisybend.bench.site

import io.daisybend.kernel.AdapterId
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.ModelId
import io.daisybend.kernel.TeamId
import io.daisybend.scheduling.loads.WeightSource
import io.daisybend.scheduling.replicas.ModelWeights
import kotlin.random.Random

internal data class EngineSpec(
    val endpointId: EndpointId,
    val pool: String,
    val memoryBytes: Long = 80 * GIGABYTE,
    val maxConcurrentRequests: Int = 16,
    val checksFencing: Boolean = true,
    val cachedWeights: Map<ModelId, WeightSource> = emptyMap(),
)

internal data class ModelSpec(val weights: ModelWeights, val pool: String, val adapterIds: List<AdapterId>) {
    val modelId: ModelId get() = weights.modelId
}

internal data class TeamSpec(
    val teamId: TeamId,
    val rateTokensPerSecond: Long,
    val burstTokens: Long,
    val shareWeight: Int,
)

internal data class CostTable(
    val loadsPerSecond: Double,
    val maxConcurrentLoads: Int = 4,
    val remoteBytesPerSecond: Long = 2 * GIGABYTE,
    val diskBytesPerSecond: Long = 3 * GIGABYTE,
    val memoryBytesPerSecond: Long = 10 * GIGABYTE,
    val adapterLoadMs: Long = 7,
    val maxConcurrentAdapters: Int = 32,
    val prefillTokensPerSecond: Long = 8_000,
    val decodeMsPerToken: Long = 25,
    val vmToVmDelayMs: Long = 1,
    val logAppendMs: Long = 10,
    val ownerTakeoverMs: Long = 2_000,
)

internal data class SitePreset(
    val name: String,
    val vmCount: Int,
    val engines: List<EngineSpec>,
    val models: List<ModelSpec>,
    val teams: List<TeamSpec>,
    val costs: CostTable,
)

internal const val GIGABYTE = 1_000_000_000L
private const val ADAPTERS_PER_SITE = 60
private val weightSizesGb = listOf(8, 14, 16, 14, 8, 28)

private val teams = listOf(
    TeamSpec(TeamId("large-1"), rateTokensPerSecond = 8_000, burstTokens = 80_000, shareWeight = 3),
    TeamSpec(TeamId("large-2"), rateTokensPerSecond = 8_000, burstTokens = 80_000, shareWeight = 3),
    TeamSpec(TeamId("large-3"), rateTokensPerSecond = 6_000, burstTokens = 60_000, shareWeight = 3),
    TeamSpec(TeamId("small-1"), rateTokensPerSecond = 2_000, burstTokens = 30_000, shareWeight = 1),
    TeamSpec(TeamId("small-2"), rateTokensPerSecond = 2_000, burstTokens = 30_000, shareWeight = 1),
)

internal fun cinemaSite(): SitePreset =
    createSite("cinema-site", mapOf("assistant" to 6, "booking" to 3), mapOf("assistant" to 22, "booking" to 8), 1.6, 1)

internal fun exchangeSite(): SitePreset =
    createSite(
        "exchange-site",
        mapOf("matching" to 8, "placement" to 3),
        mapOf("matching" to 20, "placement" to 8),
        2.8,
        2,
    )

private fun createSite(
    name: String,
    enginesByPool: Map<String, Int>,
    modelsByPool: Map<String, Int>,
    loadsPerSecond: Double,
    vmToVmDelayMs: Long,
): SitePreset {
    val models = modelsByPool.flatMap { (pool, count) -> createPoolModels(pool, count, modelsByPool.values.sum()) }
    val random = Random(name.hashCode())
    val engines = enginesByPool.flatMap { (pool, count) ->
        List(count) { index -> createEngine(pool, index, models.filter { it.pool == pool }, random) }
    }
    return SitePreset(
        name,
        vmCount = 9,
        engines,
        models,
        teams,
        CostTable(loadsPerSecond, vmToVmDelayMs = vmToVmDelayMs),
    )
}

private fun createPoolModels(pool: String, count: Int, siteModelCount: Int): List<ModelSpec> =
    List(count) { index ->
        val modelId = ModelId("$pool-$index")
        val weights = ModelWeights(modelId, "1", weightSizesGb[index % weightSizesGb.size] * GIGABYTE)
        ModelSpec(weights, pool, List(ADAPTERS_PER_SITE / siteModelCount) { AdapterId("$modelId-adapter-$it") })
    }

/** Generates an engine. Every fourth has no cached weights; the others cache more weights as the level rises. */
private fun createEngine(pool: String, index: Int, models: List<ModelSpec>, random: Random): EngineSpec {
    val cacheLevel = index % 4
    val cachedWeights = HashMap<ModelId, WeightSource>()
    models.forEach { model ->
        if (random.nextDouble() < 0.15 * cacheLevel) cachedWeights[model.modelId] = WeightSource.DISK
        if (random.nextDouble() < 0.05 * cacheLevel) cachedWeights[model.modelId] = WeightSource.MEMORY
    }
    val endpointId = EndpointId("$pool-engine-$index")
    return EngineSpec(endpointId, pool, checksFencing = index % 3 != 2, cachedWeights = cachedWeights)
}
