/*
 * Rendezvous hashing: ranks candidates by a hash of the key and of the candidate's string form. Every process with the
 * same candidates computes the same order, and removing a candidate moves only the keys assigned to it.
 */
package io.daisybend.kernel

import com.dynatrace.hash4j.hashing.Hashing

private val hasher = Hashing.komihash5_0()

/** Returns [candidates] in descending order of their rendezvous score for [key]. */
public fun <T : Any> rankByRendezvous(key: String, candidates: Collection<T>): List<T> =
    candidates.sortedWith(compareByDescending<T> { rendezvousScore(key, it.toString()) }.thenBy { it.toString() })

/** Returns the candidate with the highest rendezvous score for [key], or null if [candidates] is empty. */
public fun <T : Any> firstByRendezvous(key: String, candidates: Collection<T>): T? =
    firstByRendezvous(key, candidates) { it.toString() }

/** Returns the candidate with the highest rendezvous score of its [name] for [key], or null without candidates. */
public fun <T : Any> firstByRendezvous(key: String, candidates: Collection<T>, name: (T) -> String): T? {
    val order = compareBy<Pair<T, ULong>> { it.second }.thenByDescending { name(it.first) }
    return candidates.map { it to rendezvousScore(key, name(it)) }.maxWithOrNull(order)?.first
}

/** Returns the index that [candidate], one of [candidates], has in the order of [rankByRendezvous] for [key]. */
public fun rendezvousRank(key: String, candidate: String, candidates: Collection<String>): Int {
    val own = rendezvousScore(key, candidate)
    return candidates.count { other ->
        val score = rendezvousScore(key, other)
        score > own || (score == own && other < candidate)
    }
}

private fun rendezvousScore(key: String, candidate: String): ULong =
    hasher.hashStream().putString(key).putString(candidate).asLong.toULong()
