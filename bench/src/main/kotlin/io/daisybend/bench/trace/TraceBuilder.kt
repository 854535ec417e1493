/*
 * Draws arrivals. Models follow a Zipf distribution, prompts of a team and model share their first blocks, and callers
 * of a team gather at one VM with some spread over the others.
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
    private val popularity = site.models.shuffled(random)
    private val cumulativeShares = cumulativeZipf(popularity.size)

    fun build(durationMs: Long): Trace = Trace(arrivals.sortedBy { it.atMs }, faults.sortedBy { it.atMs }, durationMs)

    fun burstOnEveryModel(untilMs: Long, requestsPerModel: Int) {
        for (model in site.models) {
            repeat(requestsPerModel) {
                val team = site.teams.random(random)
                add(random.nextLong(untilMs), team, model, PriorityClass.INTERACTIVE, vmIndex = anyVm())
            }
        }
    }

    fun steady(
        fromMs: Long,
        untilMs: Long,
        requestsPerSecond: Double,
        teamIndices: List<Int> = site.teams.indices.toList(),
        priorityClass: PriorityClass = PriorityClass.INTERACTIVE,
    ) {
        val meanGapMs = 1_000.0 / requestsPerSecond
        var atMs = fromMs + gapMs(meanGapMs)
        while (atMs < untilMs) {
            val team = drawTeam(teamIndices.map { site.teams[it] })
            add(atMs, team, drawModel(), priorityClass, callerVm(team))
            atMs += gapMs(meanGapMs)
        }
    }

    fun batchOf(teamIndex: Int, fromMs: Long, untilMs: Long, requestsPerSecond: Double) =
        steady(fromMs, untilMs, requestsPerSecond, listOf(teamIndex), PriorityClass.BATCH)

    fun steadyShareOfRate(fromMs: Long, untilMs: Long, teamIndex: Int, shareOfRate: Double) {
        val requestsPerSecond = site.teams[teamIndex].rateTokensPerSecond * shareOfRate / MEAN_USED_TOKENS
        steady(fromMs, untilMs, requestsPerSecond, listOf(teamIndex))
    }

    fun restartVm(atMs: Long, vmIndex: Int) {
        faults += Fault.VmRestarted(atMs, vmIndex)
    }

    fun logDown(fromMs: Long, untilMs: Long) {
        faults += Fault.LogDown(fromMs, untilMs)
    }

    private fun add(atMs: Long, team: TeamSpec, model: ModelSpec, priorityClass: PriorityClass, vmIndex: Int) {
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
            deadlineMs = atMs + deadlineAfterMs(priorityClass),
            prefixHashes = prefixHashes(team, model, promptTokens),
        )
    }

    private fun deadlineAfterMs(priorityClass: PriorityClass): Long =
        when (priorityClass) {
            PriorityClass.INTERACTIVE -> INTERACTIVE_DEADLINE_MS
            PriorityClass.BATCH -> BATCH_DEADLINE_MS
        }

    /** The first two thirds of a prompt are the catalogue that the team's callers share. */
    private fun prefixHashes(team: TeamSpec, model: ModelSpec, promptTokens: Int): LongArray {
        val blocks = promptTokens * 2 / 3 / PREFIX_BLOCK_TOKENS
        val catalogue = "${team.teamId}/${model.modelId}".hashCode().toLong() shl PREFIX_SHIFT
        return LongArray(blocks) { catalogue + it }
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
        return popularity[cumulativeShares.indexOfFirst { drawn < it }]
    }

    private fun callerVm(team: TeamSpec): Int =
        if (random.nextDouble() < GATHERED_SHARE) Math.floorMod(team.teamId.hashCode(), site.vmCount) else anyVm()

    private fun anyVm(): Int = random.nextInt(site.vmCount)

    private fun gapMs(meanMs: Double): Long = (-ln(1 - random.nextDouble()) * meanMs).toLong()

    private companion object {
        const val MIN_PROMPT_TOKENS = 500
        const val MAX_PROMPT_TOKENS = 2_500
        const val MIN_OUTPUT_TOKENS = 50
        const val MAX_OUTPUT_TOKENS = 450
        const val MEAN_USED_TOKENS = 1_750.0
        const val INTERACTIVE_DEADLINE_MS = 60_000L
        const val BATCH_DEADLINE_MS = 14_400_000L
        const val PREFIX_BLOCK_TOKENS = 256
        const val PREFIX_SHIFT = 8
        const val GATHERED_SHARE = 0.5
    }
}

private fun cumulativeZipf(count: Int): DoubleArray {
    val shares = DoubleArray(count) { 1.0 / (it + 1) }
    val sum = shares.sum()
    var cumulative = 0.0
    return DoubleArray(count) { index ->
        cumulative += shares[index] / sum
        if (index == count - 1) 1.0 else cumulative
    }
}
