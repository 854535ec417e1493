/*
 * What one incarnation of an endpoint is doing now. The base is what all VMs count as sent there: this VM's requests
 * are exact, those of the peers are as old as their reports. What the endpoint itself says in responses and reports
 * corrects the count: the difference between both at the time of the sample is added, and loses weight as the sample
 * ages, because the reports of the peers catch up with it. The pace of the machine changes many times a second, so a
 * sample of it fades to the machine's average.
 */
package io.daisybend.serving.endpoint

import kotlin.math.exp
import kotlin.math.roundToInt
import kotlin.math.roundToLong

/** The load that an endpoint states in a response; [pace] is how long work takes there, 1 as usual, null if unnamed. */
public data class LoadSample(val running: Int, val waiting: Int, val slots: Int, val pace: Double? = null)

/** The load that an engine states in its report; [kvUsedTokens] can't yield to new requests. */
public data class ReportedLoad(
    val running: Int,
    val waiting: Int,
    val kvUsedTokens: Long,
    val kvTotalTokens: Long,
    /** Tokens of the first waiting request, 0 if none waits. */
    val firstWaitingTokens: Long = 0,
)

/** How a sample was taken into an estimate. */
public enum class SampleUse {
    USED,

    /** The VM's own requests contradict the sample, so it counts less. */
    CONTRADICTED,
}

/** The estimated load of one incarnation of an endpoint, with [rates] of its own; thread-safe. */
public class EngineLoadEstimate(public val rates: EngineRates = EngineRates()) {
    private class Difference(val inFlight: Double, val waiting: Int, val atMs: Long, val weight: Double)

    private class KvDifference(val tokens: Double, val totalTokens: Long, val atMs: Long)

    private class Pace(val recent: Double, val average: Double, val atMs: Long)

    private var trust = 1.0

    @Volatile
    private var difference: Difference? = null

    @Volatile
    private var kvDifference: KvDifference? = null

    @Volatile
    private var pace: Pace? = null

    /** Whether the endpoint has stated its load. */
    public val hasSample: Boolean get() = difference != null

    /** Whether the endpoint has stated its pace. */
    public val hasPace: Boolean get() = pace != null

    /** Returns the age of the newest statement of the endpoint at [nowMs], in milliseconds, or null without one. */
    public fun sampleAgeMs(nowMs: Long): Long? = difference?.let { (nowMs - it.atMs).coerceAtLeast(0) }

    /**
     * Takes in the load that the endpoint stated in a response at [nowMs], when all VMs together [counted] as much and
     * this VM [ownAnswered] requests whose response has begun and not ended.
     */
    @Synchronized
    public fun onSample(sample: LoadSample, counted: EndpointLoad, ownAnswered: Int, nowMs: Long): SampleUse {
        val stated = sample.running + sample.waiting
        val isContradicted = stated < ownAnswered - OWN_COUNT_SLACK
        trust = if (isContradicted) trust * DISTRUST else trust + (1 - trust) * REGAINED_TRUST
        difference = Difference((stated - counted.inFlight).toDouble(), sample.waiting, nowMs, trust)
        sample.pace?.let { onPace(it, nowMs) }
        return if (isContradicted) SampleUse.CONTRADICTED else SampleUse.USED
    }

    private fun onPace(stated: Double, nowMs: Long) {
        val bounded = stated.coerceIn(MIN_PACE, MAX_PACE)
        val known = pace
        if (known == null) {
            pace = Pace(bounded, 1 + (bounded - 1) * FIRST_PACE_WEIGHT, nowMs)
            return
        }
        val ageMs = (nowMs - known.atMs).coerceAtLeast(0).toDouble()
        val average = known.average + (bounded - known.average) * (1 - exp(-(ageMs + 1) / PACE_AVERAGE_MS))
        val kept = exp(-ageMs / PACE_MEMORY_MS) * RECENT_PACE_KEPT
        pace = Pace(bounded + (known.recent - bounded) * kept, average, nowMs)
    }

    /** Takes in a [report] read at [nowMs], when all VMs together [counted] as much. */
    @Synchronized
    public fun onReport(report: ReportedLoad, counted: EndpointLoad, nowMs: Long) {
        kvDifference = KvDifference((report.kvUsedTokens - counted.kvTokens).toDouble(), report.kvTotalTokens, nowMs)
        val known = difference
        // A report is some hundred milliseconds old, so a response of the same time tells more.
        if (known != null && nowMs - known.atMs < REPORT_AGE_MS) return
        val stated = report.running + report.waiting
        difference =
            Difference((stated - counted.inFlight).toDouble(), report.waiting, nowMs - REPORT_AGE_MS, trust)
    }

    /** Records that an idle engine took [tookMs] to the first event of a request with [tokens] to read. */
    public fun onPrefilled(tokens: Long, tookMs: Long, nowMs: Long) {
        if (tokens < MIN_PREFILL_TOKENS) return
        rates.prefillTokensPerMs.onObserved(tokens * paceAt(nowMs) / (tookMs - FIRST_EVENT_MS).coerceAtLeast(1.0))
    }

    /** Records that a run of at most [maxOutputTokens] took [tookMs] from its first event to its end at [nowMs]. */
    public fun onRunEnded(maxOutputTokens: Int, tookMs: Long, nowMs: Long) {
        if (maxOutputTokens < MIN_OUTPUT_TOKENS || tookMs <= 0) return
        rates.outputMsPerToken.onObserved(tookMs.toDouble() / maxOutputTokens / paceAt(nowMs))
    }

    /** Returns how long work is expected to take at [nowMs], 1 as usual. */
    public fun paceAt(nowMs: Long): Double {
        val known = pace ?: return 1.0
        val ageMs = (nowMs - known.atMs).coerceAtLeast(0)
        return known.average + (known.recent - known.average) * exp(-ageMs / PACE_MEMORY_MS)
    }

    /**
     * Returns the load at [nowMs], when all VMs together count [counted] and the peers report each [reportIntervalMs];
     * [withRates] adds the learned rates.
     */
    public fun loadAt(
        counted: EndpointLoad,
        withRates: Boolean,
        nowMs: Long,
        reportIntervalMs: Long = LONG_REPORT_INTERVAL_MS,
    ): EndpointLoad {
        val counts = difference
        val kv = kvDifference
        val fade = counts?.let { fadeOf(nowMs - it.atMs, reportIntervalMs * DIFFERENCE_INTERVALS) * it.weight } ?: 0.0
        val inFlight = counts?.let { (counted.inFlight + it.inFlight * fade).roundToInt().coerceAtLeast(0) }
        val kvTokens = kv?.let {
            (counted.kvTokens + it.tokens * fadeOf(nowMs - it.atMs, KV_MEMORY_MS)).roundToLong().coerceAtLeast(0)
        }
        return EndpointLoad(
            inFlight = inFlight ?: counted.inFlight,
            pendingPromptTokens = counted.pendingPromptTokens,
            kvTokens = kvTokens ?: counted.kvTokens,
            waiting = (counts?.waiting ?: 0) * fade,
            pace = paceAt(nowMs),
            kvTotalTokens = kv?.totalTokens?.takeIf { it > 0 },
            prefillTokensPerMs = if (withRates) rates.prefillTokensPerMs.value else null,
            outputMsPerToken = if (withRates) rates.outputMsPerToken.value else null,
        )
    }

    private fun fadeOf(ageMs: Long, memoryMs: Double) = exp(-ageMs.coerceAtLeast(0) / memoryMs)

    private companion object {
        /** Requests that may end on the way to an endpoint or at it before it writes its load. */
        const val OWN_COUNT_SLACK = 1

        /** Factor of the trust in an endpoint that a contradicted sample leaves, and the share that another regains. */
        const val DISTRUST = 0.5
        const val REGAINED_TRUST = 0.1

        /** Interval of the peers' reports where none is given: that of 75 VMs, in milliseconds. */
        const val LONG_REPORT_INTERVAL_MS = 750L

        /** Report intervals after which a third of a difference is left: the peers' reports have caught up by then. */
        const val DIFFERENCE_INTERVALS = 0.8

        /** Times after which a third of a sample is left, in milliseconds. */
        const val KV_MEMORY_MS = 2_000.0
        const val PACE_MEMORY_MS = 500.0

        /** Time over which the average pace is taken, in milliseconds. */
        const val PACE_AVERAGE_MS = 30_000.0

        /** Weight of the first pace in the average, and of an earlier pace in the recent one. */
        const val FIRST_PACE_WEIGHT = 0.3
        const val RECENT_PACE_KEPT = 0.5

        /** Paces outside of these bounds count as the bounds. */
        const val MIN_PACE = 0.25
        const val MAX_PACE = 10.0

        /** Age of the state in a report when it is read, in milliseconds. */
        const val REPORT_AGE_MS = 200L

        /** Shorter prompts and outputs show no rate: the network takes most of their time. */
        const val MIN_PREFILL_TOKENS = 1_000L
        const val MIN_OUTPUT_TOKENS = 16

        /** Time to the first event beside the reading, in milliseconds: 6,300 tokens take 164 ms, 9,190 take 237. */
        const val FIRST_EVENT_MS = 5.0
    }
}
