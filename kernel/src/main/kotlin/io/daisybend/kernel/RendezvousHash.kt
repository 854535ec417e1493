/*
 * Rendezvous hashing: ranks candidates for a key so that every process with the same candidates gets the same order,
 * and the loss of one candidate moves only the keys that it held.
 */
package io.daisybend.kernel

import com.dynatrace.hash4j.hashing.Hashing

private val hasher = Hashing.komihash5_0()

/** Returns [candidates] ordered by their rendezvous score for [key], best first. */
public fun <T : Any> rankByRendezvous(key: String, candidates: Collection<T>): List<T> =
    candidates.sortedWith(compareByDescending<T> { scoreFor(key, it.toString()) }.thenBy { it.toString() })

/** Returns the best candidate for [key], or null when there is none. */
public fun <T : Any> firstByRendezvous(key: String, candidates: Collection<T>): T? =
    candidates.maxWithOrNull(compareBy<T> { scoreFor(key, it.toString()) }.thenByDescending { it.toString() })

private fun scoreFor(key: String, candidate: String): ULong =
    hasher.hashStream().putString(key).putString(candidate).asLong.toULong()
