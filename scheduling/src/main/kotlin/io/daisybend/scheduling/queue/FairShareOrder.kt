/*
 * Start-time fair queueing over weighted keys. Each key carries a tag of virtual time that advances by the service it
 * got divided by its weight; the key with the smallest tag goes next. A key that returns after idling starts at the
 * current virtual time, so idling earns no credit.
 */
package io.daisybend.scheduling.queue

import java.util.TreeSet

/** Orders active keys by the service that they have received in relation to their weights. */
internal class FairShareOrder<K : Comparable<K>> {
    private class Member<K : Comparable<K>>(val key: K, var weight: Int, var tag: Long) : Comparable<Member<K>> {
        override fun compareTo(other: Member<K>): Int {
            val byTag = tag.compareTo(other.tag)
            return if (byTag != 0) byTag else key.compareTo(other.key)
        }
    }

    private val members = HashMap<K, Member<K>>()
    private val active = TreeSet<Member<K>>()
    private var virtualTime = 0L

    /** Adds [key] with [weight]; it starts no earlier than the current virtual time. */
    fun activate(key: K, weight: Int) {
        require(weight > 0) { "expected a positive weight for $key, got $weight" }
        val member = members.getOrPut(key) { Member(key, weight, virtualTime) }
        if (member in active) return
        member.weight = weight
        member.tag = maxOf(member.tag, virtualTime)
        active += member
    }

    /** Removes [key] from the competition; its tag is kept until all keys are idle. */
    fun deactivate(key: K) {
        members[key]?.let { active -= it }
        if (active.isEmpty()) members.clear()
    }

    /** Accounts [tokens] of service that [key] is about to get; virtual time advances to its tag. */
    fun charge(key: K, tokens: Long) {
        val member = members[key] ?: return
        virtualTime = maxOf(virtualTime, member.tag)
        advance(member, tokens)
    }

    /** Accounts service that turned out to differ by [tokens] from what was charged. */
    fun correct(key: K, tokens: Long) {
        members[key]?.let { advance(it, tokens) }
    }

    private fun advance(member: Member<K>, tokens: Long) {
        val wasActive = active.remove(member)
        member.tag += tokens * TAG_UNITS_PER_TOKEN / member.weight
        if (wasActive) active += member
    }

    /** Returns the active key that goes next and passes [accept], or null. */
    inline fun firstOrNull(accept: (K) -> Boolean = { true }): K? = keysInOrder().firstOrNull { accept(it) }

    fun keysInOrder(): Sequence<K> = active.asSequence().map { it.key }

    private companion object {
        const val TAG_UNITS_PER_TOKEN = 1_000L
    }
}
