/*
 * Hands a request of a silent engine over to another one. The silent engine keeps the request until another engine has
 * accepted it: an engine that is full or refuses the request must not end a stream that would have gone on. It also
 * keeps a request that it says it works on, since it may go on after the close of its connection, unless it has made
 * events that don't arrive. Silence counts only while this VM runs: after a pause of its own, what the engine sent
 * meanwhile is read first.
 */
package io.daisybend.entry.exchange

import io.daisybend.serving.stream.SilenceLimits
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.coroutines.yield

/** Offers a request to other engines. */
internal interface RequestOffers {
    /** Whether the engine that has the request has ended. */
    suspend fun hasEngineEnded(): Boolean

    /** Whether the engine that has the request says that it works on it, and what it made has arrived. */
    suspend fun isEngineAtWork(): Boolean

    /** Offers the request to another engine; returns whether it has accepted it. */
    suspend fun offer(): Boolean

    /** Ends the request at an engine that has accepted it. */
    fun withdraw()
}

/** Watches the silence of the engine that has a request, and makes [offers] to others. */
internal class SilentEngineHandover(private val offers: RequestOffers, private val steadyMs: () -> Long) {
    private var pendingOffer: Deferred<Boolean>? = null
    private var nextOfferAtMs = 0L

    /** The last pause of this VM that a timer has shown, in milliseconds of the monotonic clock. */
    private var lastPauseMs = LongRange.EMPTY

    /**
     * Waits for [step] of an engine that is silent since [silentSinceMs]; offers run in [scope]. Returns false once
     * another engine has accepted the request. An offer that is pending when the step completes goes on.
     */
    suspend fun awaitStep(scope: CoroutineScope, step: Job, silentSinceMs: Long, limits: SilenceLimits): Boolean {
        while (!step.isCompleted) {
            val pending = pendingOffer
            val waitMs = offerAtMs(silentSinceMs, limits) - steadyMs()
            when {
                pending != null -> {
                    select {
                        step.onJoin { }
                        pending.onJoin { }
                    }
                    if (step.isCompleted) return true
                    pendingOffer = null
                    if (pending.await()) return false
                    nextOfferAtMs = steadyMs() + limits.nextCheckInMs(steadyMs() - silentSinceMs)
                }
                // The last part of the wait is one of its own, in which a pause that ends before it can be made up for.
                waitMs > Standstill.UNREAD_INPUT_MS -> awaitPunctually(step, waitMs - Standstill.UNREAD_INPUT_MS)
                waitMs > 0 -> awaitPunctually(step, waitMs)
                else -> pendingOffer = scope.async { offerIfDue(silentSinceMs, limits) }
            }
        }
        return true
    }

    /**
     * Returns when to offer the request: when that is due, but not before what came during a pause of this VM is read.
     * A pause that begins later delays it no more, or a VM that pauses again and again would never offer it.
     */
    private fun offerAtMs(silentSinceMs: Long, limits: SilenceLimits): Long {
        val dueAtMs = maxOf(silentSinceMs + limits.checkAfterMs, nextOfferAtMs)
        val isDelayed = !lastPauseMs.isEmpty() && lastPauseMs.first <= silentSinceMs + limits.toleranceMs
        return if (isDelayed) maxOf(dueAtMs, lastPauseMs.last + Standstill.UNREAD_INPUT_MS) else dueAtMs
    }

    /** Waits up to [waitMs] for [step]; a wait that ends late shows that this VM stood still. */
    private suspend fun awaitPunctually(step: Job, waitMs: Long) {
        val endsAtMs = steadyMs() + waitMs
        withTimeoutOrNull(waitMs) { step.join() }
        recordPause(endsAtMs)
    }

    /** Records that this VM stood still if it goes on well after [expectedAtMs]. */
    private fun recordPause(expectedAtMs: Long) {
        val nowMs = steadyMs()
        if (nowMs - expectedAtMs > Standstill.TIMER_LATENESS_MS) lastPauseMs = expectedAtMs..nowMs
    }

    /** Waits for the pending offer, since the engine has ended the request; returns whether it was accepted. */
    suspend fun awaitOffer(): Boolean {
        val pending = pendingOffer ?: return false
        pendingOffer = null
        return pending.await()
    }

    /** Takes back what was offered, since the engine goes on with the request. */
    suspend fun cancelOffer() {
        val pending = pendingOffer ?: return
        pendingOffer = null
        pending.cancelAndJoin()
        offers.withdraw()
    }

    /** Forgets the silence of an engine, after the coroutines of [awaitStep] have ended. */
    fun reset() {
        pendingOffer = null
        nextOfferAtMs = 0
    }

    private suspend fun offerIfDue(silentSinceMs: Long, limits: SilenceLimits): Boolean {
        val askedAtMs = steadyMs()
        val wasDelayed = lastPauseMs.last + Standstill.UNREAD_INPUT_MS > silentSinceMs + limits.toleranceMs
        val isDue = watchingPauses {
            limits.isOfferDue(askedAtMs - silentSinceMs, offers::hasEngineEnded) && !offers.isEngineAtWork()
        }
        if (!isDue) return false
        val isAnswerOld = lastPauseMs.last >= askedAtMs && !wasDelayed
        return !isAnswerOld && offers.offer()
    }

    /** Runs [ask], whose time-outs a pause of this VM may let pass, and records such pauses. */
    private suspend fun <T> watchingPauses(ask: suspend () -> T): T = coroutineScope {
        val watching = launch {
            while (true) {
                val expectedAtMs = steadyMs() + TICK_MS
                delay(TICK_MS)
                recordPause(expectedAtMs)
            }
        }
        ask().also {
            // A tick that is overdue runs before the result counts.
            yield()
            watching.cancel()
        }
    }

    private companion object {
        /** Interval at which pauses are looked for during questions to an engine, in milliseconds. */
        const val TICK_MS = 50L
    }
}
