/*
 * Generates arrivals. Models follow a Zipf distribution, prompts of the same team and model share their first blocks,
 * and half of a team's requests enter at one VM while the others are spread over all VMs.
 */
package io.daisybend.bench.trace

import io.daisybend.bench.site.ModelSpec
import io.daisybend.bench.site.SitePreset
import io.daisybend.bench.site.TeamSpec
import io.daisybend.kernel.RequestId
import io.daisybend.scheduling.PriorityClass
import kotlin.math.ln
import kotlin.random.Random

internal class TraceBuilder(private val site: SitePreset, private val random: Random) {
    private val arrivals = ArrayList<Arrival>()
    private val faults = ArrayList<Fault>()
    private val modelsByPopularity = site.models.shuffled(random)
    private val cumulativeShares = cumulativeZipfShares(modelsByPopularity.size)

    fun build(durationMs: Long): Trace = Trace(arrivals.sortedBy { it.atMs }, faults.sortedBy { it.atMs }, durationMs)

    fun addBurstOnEveryModel(untilMs: Long, requestsPerModel: Int) {
        for (model in site.models) {
            repeat(requestsPerModel) {
                val team = site.teams.random(random)
                addArrival(random.nextLong(untilMs), team, model, PriorityClass.INTERACTIVE, vmIndex = drawVm())
            }
        }
    }

    fun addSteadyTraffic(
        fromMs: Long,
        untilMs: Long,
        requestsPerSecond: Double,
        teamIndices: List<Int> = site.teams.indices.toList(),
        priorityClass: PriorityClass = PriorityClass.INTERACTIVE,
    ) {
        val meanInterArrivalMs = 1_000.0 / requestsPerSecond
        var atMs = fromMs + drawInterArrivalMs(meanInterArrivalMs)
        while (atMs < untilMs) {
            val team = drawTeam(teamIndices.map { site.teams[it] })
            addArrival(atMs, team, drawModel(), priorityClass, drawCallerVm(team))
            atMs += drawInterArrivalMs(meanInterArrivalMs)
        }
    }

    fun addBatchTraffic(teamIndex: Int, fromMs: Long, untilMs: Long, requestsPerSecond: Double) =
        addSteadyTraffic(fromMs, untilMs, requestsPerSecond, listOf(teamIndex), PriorityClass.BATCH)

    fun addTrafficAtShareOfRate(fromMs: Long, untilMs: Long, teamIndex: Int, shareOfRate: Double) {
        val requestsPerSecond = site.teams[teamIndex].rateTokensPerSecond * shareOfRate / MEAN_USED_TOKENS
        addSteadyTraffic(fromMs, untilMs, requestsPerSecond, listOf(teamIndex))
    }

    fun addVmRestart(atMs: Long, vmIndex: Int) {
        faults += Fault.VmRestart(atMs, vmIndex)
    }

    fun addLogOutage(fromMs: Long, untilMs: Long) {
        faults += Fault.LogOutage(fromMs, untilMs)
    }

    private fun addArrival(atMs: Long, team: TeamSpec, model: ModelSpec, priorityClass: PriorityClass, vmIndex: Int) {
        val promptTokens = random.nextInt(MIN_PROMPT_TOKENS, MAX_PROMPT_TOKENS)
        arrivals += Arrival(
            requestId = RequestId("r-${arrivals.size}"),
            atMs = atMs,
            vmIndex = vmIndex,
            team = team,
            model = model,
            adapterId = if (random.nextBoolean()) model.adapterIds.randomOrNull(random) else null,
            priorityClass = priorityClass,
            promptTokens = promptTokens,
            outputTokens = random.nextInt(MIN_OUTPUT_TOKENS, MAX_OUTPUT_TOKENS),
            maxOutputTokens = MAX_OUTPUT_TOKENS,
            deadlineMs = atMs + timeoutMs(priorityClass),
            prefixHashes = prefixHashes(team, model, promptTokens),
        )
    }

    private fun timeoutMs(priorityClass: PriorityClass): Long =
        when (priorityClass) {
            PriorityClass.INTERACTIVE -> INTERACTIVE_DEADLINE_MS
            PriorityClass.BATCH -> BATCH_DEADLINE_MS
        }

    /** Returns block hashes of the first two thirds of a prompt, which are the same for a team's prompts to a model. */
    private fun prefixHashes(team: TeamSpec, model: ModelSpec, promptTokens: Int): LongArray {
        val blockCount = promptTokens * 2 / 3 / PREFIX_BLOCK_TOKENS
        val sharedPrefixHash = "${team.teamId}/${model.modelId}".hashCode().toLong() shl PREFIX_INDEX_BITS
        return LongArray(blockCount) { sharedPrefixHash + it }
    }

    private fun drawTeam(teams: List<TeamSpec>): TeamSpec {
        var drawn = random.nextLong(teams.sumOf { it.rateTokensPerSecond })
        return teams.first { team ->
            drawn -= team.rateTokensPerSecond
            drawn < 0
        }
    }

    private fun drawModel(): ModelSpec {
        val drawn = random.nextDouble()
        return modelsByPopularity[cumulativeShares.indexOfFirst { drawn < it }]
    }

    private fun drawCallerVm(team: TeamSpec): Int =
        if (random.nextDouble() < HOME_VM_SHARE) Math.floorMod(team.teamId.hashCode(), site.vmCount) else drawVm()

    private fun drawVm(): Int = random.nextInt(site.vmCount)

    private fun drawInterArrivalMs(meanInterArrivalMs: Double): Long =
        (-ln(1 - random.nextDouble()) * meanInterArrivalMs).toLong()

    private companion object {
        const val MIN_PROMPT_TOKENS = 500
        const val MAX_PROMPT_TOKENS = 2_500
        const val MIN_OUTPUT_TOKENS = 50
        const val MAX_OUTPUT_TOKENS = 450
        const val MEAN_USED_TOKENS = 1_750.0
        const val INTERACTIVE_DEADLINE_MS = 60_000L
        const val BATCH_DEADLINE_MS = 14_400_000L
        const val PREFIX_BLOCK_TOKENS = 256
        const val PREFIX_INDEX_BITS = 8
        const val HOME_VM_SHARE = 0.5
    }
}

private fun cumulativeZipfShares(count: Int): DoubleArray {
    val shares = DoubleArray(count) { 1.0 / (it + 1) }
    val sum = shares.sum()
    var cumulative = 0.0
    return DoubleArray(count) { index ->
        cumulative += shares[index] / sum
        if (index == count - 1) 1.0 else cumulative
    }
}
