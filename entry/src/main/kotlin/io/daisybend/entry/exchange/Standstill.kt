/*
 * How a VM notices that it stood still, as under a processor limit or a suspension, and what it owes its input then.
 */
package io.daisybend.entry.exchange

/** Limits for decisions that a timer makes about input, which may have come while this VM stood still. */
internal object Standstill {
    /** Lateness of a timer above which this VM stood still, in milliseconds: a period of a processor limit. */
    const val TIMER_LATENESS_MS = 100L

    /** Time in which input that arrived while this VM stood still is read, in milliseconds: two such periods. */
    const val UNREAD_INPUT_MS = 200L
}
