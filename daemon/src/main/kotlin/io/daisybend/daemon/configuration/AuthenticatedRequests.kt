/*
 * Tracks the authenticated requests in progress, so that they can be cancelled when their key becomes invalid. Entries
 * are divided into lock stripes by key to reduce contention.
 */
package io.daisybend.daemon.configuration

import io.daisybend.configuration.KeyId
import io.daisybend.daemon.request.RequestFailure
import kotlinx.coroutines.CompletableDeferred

internal class AuthenticatedRequests {
    private class Stripe {
        val waitersByKey = HashMap<KeyId, MutableSet<CompletableDeferred<RequestFailure>>>()
    }

    private val stripes = List(STRIPE_COUNT) { Stripe() }

    /**
     * Suspends until the requests of [keyId] are cancelled and returns the failure to report. Returns at once if
     * [invalidReason] is not null; it is evaluated after registration so that no concurrent cancellation is missed.
     */
    suspend fun awaitInvalidation(keyId: KeyId, invalidReason: () -> RequestFailure?): RequestFailure {
        val waiter = CompletableDeferred<RequestFailure>()
        val stripe = stripeOf(keyId)
        synchronized(stripe) { stripe.waitersByKey.getOrPut(keyId) { mutableSetOf() } += waiter }
        try {
            return invalidReason() ?: waiter.await()
        } finally {
            synchronized(stripe) { stripe.remove(keyId, waiter) }
        }
    }

    /** Cancels the requests of [keyIds] with [failure]. */
    fun cancel(keyIds: Set<KeyId>, failure: RequestFailure) = keyIds.forEach { keyId ->
        val stripe = stripeOf(keyId)
        val waiters = synchronized(stripe) { stripe.waitersByKey[keyId].orEmpty().toList() }
        waiters.forEach { it.complete(failure) }
    }

    /** Cancels all requests with [failure]. */
    fun cancelAll(failure: RequestFailure) = stripes.forEach { stripe ->
        val waiters = synchronized(stripe) { stripe.waitersByKey.values.flatten() }
        waiters.forEach { it.complete(failure) }
    }

    private fun stripeOf(keyId: KeyId) = stripes[Math.floorMod(keyId.hashCode(), STRIPE_COUNT)]

    private fun Stripe.remove(keyId: KeyId, waiter: CompletableDeferred<RequestFailure>) {
        val waiters = waitersByKey[keyId] ?: return
        waiters -= waiter
        if (waiters.isEmpty()) waitersByKey -= keyId
    }

    private companion object {
        const val STRIPE_COUNT = 16
    }
}
