/*
 * How requests that are not admitted are answered.
 */
package io.daisybend.entry.exchange

import io.daisybend.entry.http.Status
import io.daisybend.serving.site.AdmissionRefusal

/** A status, and when the caller may come back, in milliseconds; null where coming back does not help. */
internal data class RefusalAnswer(val status: Int, val retryAfterMs: Long?)

/** Returns the answer to a request that is not admitted. */
internal fun AdmissionRefusal.answer(): RefusalAnswer = when (this) {
    AdmissionRefusal.UnknownRoute -> RefusalAnswer(Status.NOT_FOUND, null)
    AdmissionRefusal.UnknownKey -> RefusalAnswer(Status.UNAUTHENTICATED, null)
    is AdmissionRefusal.OverRate -> RefusalAnswer(Status.OVER_RATE, retryAfterMs)
    is AdmissionRefusal.Unconfirmed -> RefusalAnswer(Status.UNAVAILABLE, UNCONFIRMED_RETRY_MS)
    AdmissionRefusal.NoConfiguration, AdmissionRefusal.NoService ->
        RefusalAnswer(Status.UNAVAILABLE, NO_CONFIGURATION_RETRY_MS)
}

/** What callers are told to wait without a configuration: one read of the store, in milliseconds. */
private const val NO_CONFIGURATION_RETRY_MS = 500L

/** What callers are told to wait when this VM lost the store, in milliseconds: others take them at once. */
private const val UNCONFIRMED_RETRY_MS = 50L
