/*
 * Tells from the newest lease record when some VM will send orders, so that requests whose model is held nowhere wait
 * for it or are refused with that time. The estimate needs no contact with the store: it is the age of the record.
 */
package io.daisybend.serving.duty

/** When some VM sends orders, as far as this VM knows. */
public sealed interface DutyOutlook {
    /** Some VM sends orders now. */
    public data object Held : DutyOutlook

    /** No VM sends orders; the next holder is expected to do so in [inMs] milliseconds. */
    public data class Expected(val inMs: Long) : DutyOutlook

    /** This VM knows no record, or hears no VM that could be the holder. */
    public data object Unknown : DutyOutlook
}

/**
 * The state of the succession on one VM: this VM learned of the newest record [recordAgeMs] milliseconds ago, and the
 * first candidate may take the duty in [dueInMs] milliseconds, a negative number if it could have done so before.
 */
public data class DutySuccession(val recordAgeMs: Long, val dueInMs: Long)

/** What a VM hears of the holder: [isHolderHeard] through reports that arrive at least every [reportIntervalMs]. */
public data class DutyContact(val isHolderHeard: Boolean, val isAnyVmHeard: Boolean, val reportIntervalMs: Long)

/** Estimates when the duty is held, with the [settings] of the lease; holds no state. */
public class DutyForecast(private val settings: DutySettings) {
    /**
     * Returns the outlook of a VM that does not hold the duty. A holder whose newest record is older than its validity
     * has lost the right to order, although its last report still says that it holds the duty.
     */
    public fun outlook(succession: DutySuccession?, contact: DutyContact): DutyOutlook = when {
        succession == null || !contact.isAnyVmHeard -> DutyOutlook.Unknown
        contact.isHolderHeard && succession.recordAgeMs <= settings.validityMs + contact.reportIntervalMs ->
            DutyOutlook.Held
        else -> DutyOutlook.Expected(remainingMs(succession.dueInMs))
    }

    /**
     * Returns the time until the next holder orders: until its append and for the append itself. A succession that is
     * overdue, since the store is down or the candidates are not in touch, is expected to take as long again.
     */
    private fun remainingMs(dueInMs: Long): Long =
        if (dueInMs >= 0) dueInMs + settings.candidateStaggerMs else maxOf(-dueInMs, settings.candidateStaggerMs)
}
