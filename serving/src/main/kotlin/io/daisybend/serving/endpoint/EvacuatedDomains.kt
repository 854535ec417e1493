/*
 * Failure domains that operators have evacuated. The store alone keeps that; this VM follows it. A store that comes
 * back from an older copy may lack an evacuation that is in force, so the evacuation stays for a while to let the
 * operator write it again.
 */
package io.daisybend.serving.endpoint

/** The evacuated failure domains at one moment; immutable. */
public class EvacuatedDomains(private val names: Set<String> = emptySet()) {
    /** Whether no domain is evacuated. */
    public val isEmpty: Boolean get() = names.isEmpty()

    /** Number of evacuated domains. */
    public val size: Int get() = names.size

    /** Returns whether [domain] is evacuated. */
    public operator fun contains(domain: String): Boolean = domain in names

    /** Returns the domains that [other] does not contain. */
    public operator fun minus(other: EvacuatedDomains): Set<String> = names - other.names
}

/** Follows the evacuations in the store; written by one coroutine, [current] may be read by all. */
public class EvacuationFollower {
    /** The domains in force, with the time until which each one lasts; that is [UNLIMITED] if the store has it. */
    private val endsAtMs = HashMap<String, Long>()

    /** The evacuated domains. */
    @Volatile
    public var current: EvacuatedDomains = EvacuatedDomains()
        private set

    /** Applies a record that begins or ends the evacuation of [domain]. */
    public fun onRecord(domain: String, isEvacuated: Boolean) {
        if (isEvacuated) endsAtMs[domain] = UNLIMITED else endsAtMs.remove(domain)
        publish()
    }

    /**
     * Applies a snapshot of the store at [nowMs], which has the evacuations of [domains]. Those that it lacks have
     * ended, unless the store [isRestored] from an older copy since the last snapshot; then they last for a while.
     */
    public fun onSnapshot(domains: Set<String>, isRestored: Boolean, nowMs: Long) {
        if (isRestored) endsAtMs.replaceAll { _, endAtMs -> minOf(endAtMs, nowMs + RESTORE_GRACE_MS) }
        endsAtMs.entries.removeIf { (domain, endAtMs) -> domain !in domains && endAtMs == UNLIMITED }
        domains.forEach { endsAtMs[it] = UNLIMITED }
        removeOverdue(nowMs)
    }

    /** Ends the evacuations that nothing in the restored store has confirmed by [nowMs]. */
    public fun removeOverdue(nowMs: Long) {
        endsAtMs.values.removeIf { it <= nowMs }
        publish()
    }

    private fun publish() {
        val now = EvacuatedDomains(endsAtMs.keys.toSet())
        if ((now - current).isNotEmpty() || (current - now).isNotEmpty()) current = now
    }

    private companion object {
        const val UNLIMITED = Long.MAX_VALUE

        /** How long an evacuation lasts that a restored store lacks, in milliseconds: operators write it again. */
        const val RESTORE_GRACE_MS = 30_000L
    }
}
