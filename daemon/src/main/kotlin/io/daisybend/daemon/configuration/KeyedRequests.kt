/*
 * The requests in flight that came with a key. They wait here for the end of their key; entries stand in shards, each
 * under its own lock.
 */
package io.daisybend.daemon.configuration

import io.daisybend.configuration.KeyId
import io.daisybend.daemon.request.RequestFailure
import kotlinx.coroutines.CompletableDeferred

internal class KeyedRequests {
    private class Shard {
        val waiting = HashMap<KeyId, MutableSet<CompletableDeferred<RequestFailure>>>()
    }

    private val shards = List(SHARDS) { Shard() }

    /** Suspends until [keyId] ends, at once if [endedAlready] says so, and returns why. */
    suspend fun awaitEnd(keyId: KeyId, endedAlready: () -> RequestFailure?): RequestFailure {
        val end = CompletableDeferred<RequestFailure>()
        val shard = shardOf(keyId)
        synchronized(shard) { shard.waiting.getOrPut(keyId) { mutableSetOf() } += end }
        try {
            return endedAlready() ?: end.await()
        } finally {
            synchronized(shard) { shard.remove(keyId, end) }
        }
    }

    /** Ends the requests of [keyIds]. */
    fun end(keyIds: Set<KeyId>, failure: RequestFailure) = keyIds.forEach { keyId ->
        val shard = shardOf(keyId)
        val ended = synchronized(shard) { shard.waiting[keyId].orEmpty().toList() }
        ended.forEach { it.complete(failure) }
    }

    /** Ends the requests of all keys. */
    fun endAll(failure: RequestFailure) = shards.forEach { shard ->
        val ended = synchronized(shard) { shard.waiting.values.flatten() }
        ended.forEach { it.complete(failure) }
    }

    private fun shardOf(keyId: KeyId) = shards[Math.floorMod(keyId.hashCode(), SHARDS)]

    private fun Shard.remove(keyId: KeyId, end: CompletableDeferred<RequestFailure>) {
        val others = waiting[keyId] ?: return
        others -= end
        if (others.isEmpty()) waiting -= keyId
    }

    private companion object {
        const val SHARDS = 16
    }
}
