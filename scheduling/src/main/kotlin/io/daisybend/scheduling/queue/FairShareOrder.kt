/*
 * Implements start-time fair queueing (SFQ) over weighted keys. Each key has a start tag in virtual time, which
 * advances by the service that the key receives divided by its weight. The key with the smallest tag is next. A key
 * that becomes active again starts no earlier than the current virtual time, so idle keys accumulate no credit.
 */
package io.daisybend.scheduling.queue

import java.util.TreeSet

/** Orders active keys by the service that they have received relative to their weights. */
internal class FairShareOrder<K : Comparable<K>> {
    private class Flow<K : Comparable<K>>(val key: K, var weight: Int, var startTag: Long) : Comparable<Flow<K>> {
        override fun compareTo(other: Flow<K>): Int {
            val byStartTag = startTag.compareTo(other.startTag)
            return if (byStartTag != 0) byStartTag else key.compareTo(other.key)
        }
    }

    private val flows = HashMap<K, Flow<K>>()
    private val activeFlows = TreeSet<Flow<K>>()
    private var virtualTime = 0L

    /** Activates [key] with [weight]; its start tag is at least the current virtual time. */
    fun activate(key: K, weight: Int) {
        require(weight > 0) { "expected a positive weight for $key, got $weight" }
        val flow = flows.getOrPut(key) { Flow(key, weight, virtualTime) }
        if (flow in activeFlows) return
        flow.weight = weight
        flow.startTag = maxOf(flow.startTag, virtualTime)
        activeFlows += flow
    }

    /** Deactivates [key]; its start tag is kept until all keys are inactive. */
    fun deactivate(key: K) {
        flows[key]?.let { activeFlows -= it }
        if (activeFlows.isEmpty()) flows.clear()
    }

    /** Charges [key] with [tokens] of service that starts now; virtual time advances to its start tag. */
    fun charge(key: K, tokens: Long) {
        val flow = flows[key] ?: return
        virtualTime = maxOf(virtualTime, flow.startTag)
        advance(flow, tokens)
    }

    /** Corrects the service charged to [key] by [tokens], which may be negative. */
    fun correct(key: K, tokens: Long) {
        flows[key]?.let { advance(it, tokens) }
    }

    private fun advance(flow: Flow<K>, tokens: Long) {
        val wasActive = activeFlows.remove(flow)
        flow.startTag += tokens * TAG_UNITS_PER_TOKEN / flow.weight
        if (wasActive) activeFlows += flow
    }

    /** Returns the first active key in order that is eligible, or null. */
    inline fun firstOrNull(isEligible: (K) -> Boolean = { true }): K? = keysInOrder().firstOrNull { isEligible(it) }

    fun keysInOrder(): Sequence<K> = activeFlows.asSequence().map { it.key }

    private companion object {
        const val TAG_UNITS_PER_TOKEN = 1_000L
    }
}
