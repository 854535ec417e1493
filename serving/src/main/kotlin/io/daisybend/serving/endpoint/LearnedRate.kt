/*
 * A quantity that is learned from observations, such as the time that an engine takes for a token. Observations have
 * long tails (queues, losses, slow callers), so the estimate moves by steps towards each of them, like a median, and
 * stays within a factor of its prior.
 */
package io.daisybend.serving.endpoint

import kotlin.math.exp
import kotlin.math.ln

/**
 * Learns a positive quantity; [prior] is its value before any observation. With a [parent], which learns the same from
 * more sources, the value follows the parent until this one has observations of its own. Thread-safe.
 */
public class LearnedRate(private val prior: Double, private val parent: LearnedRate? = null) {
    private var logRatio = 0.0

    /** The value without the parent, and its weight against the parent's; choices read them without a lock. */
    @Volatile
    private var ownValue = prior

    @Volatile
    private var ownWeight = 0.0
    private var count = 0

    /** Records an observed [value]; ignores one that is not finite and positive. */
    @Synchronized
    public fun onObserved(value: Double) {
        if (!value.isFinite() || value <= 0) return
        parent?.onObserved(value)
        val observed = ln(value / prior).coerceIn(-MAX_LOG_RATIO, MAX_LOG_RATIO)
        count = (count + 1).coerceAtMost(MAX_COUNT)
        val step = maxOf(MIN_STEP, FIRST_STEP / count)
        logRatio += (observed - logRatio).coerceIn(-step, step)
        ownValue = prior * exp(logRatio)
        ownWeight = count / (count + PARENT_WEIGHT)
    }

    /** The learned value, in the unit of the observations. */
    public val value: Double
        get() {
            if (parent == null) return ownValue
            val inherited = parent.value
            return inherited + (ownValue - inherited) * ownWeight
        }

    private companion object {
        /** Greatest ratio of the value to its prior: engines of one site differ by less. */
        val MAX_LOG_RATIO = ln(4.0)

        /** Observations after which the steps stay the same, so that the value follows changes. */
        const val MAX_COUNT = 64

        /** Longest step of the first observation and of late ones, as the logarithm of a ratio. */
        const val FIRST_STEP = 0.5
        const val MIN_STEP = 0.02

        /** Own observations at which the parent and the own ones count the same. */
        const val PARENT_WEIGHT = 8.0
    }
}

/** The rates of the engines of one service, from which the rates of a new engine start. */
public class EngineRates(priors: EngineDelayModel = EngineDelayModel(), parent: EngineRates? = null) {
    /** Prompt tokens that an engine reads per millisecond at the usual pace. */
    public val prefillTokensPerMs: LearnedRate = LearnedRate(priors.prefillTokensPerMs, parent?.prefillTokensPerMs)

    /** Time from the first event to the end for each token of maximum output at the usual pace, in milliseconds. */
    public val outputMsPerToken: LearnedRate = LearnedRate(priors.outputMsPerToken, parent?.outputMsPerToken)
}
