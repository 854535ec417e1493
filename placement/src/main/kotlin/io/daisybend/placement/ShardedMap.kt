/*
 * A map in shards, each with its own lock. Values are immutable, and each access holds one lock for a single operation.
 */
package io.daisybend.placement

internal class ShardedMap<K : Any, V : Any>(shardCount: Int = DEFAULT_SHARD_COUNT) {
    private class Shard<K, V> {
        val lock = Any()
        val values = HashMap<K, V>()
    }

    private val shards = List(shardCount) { Shard<K, V>() }

    operator fun get(key: K): V? = shardOf(key).let { shard -> synchronized(shard.lock) { shard.values[key] } }

    operator fun set(key: K, value: V) {
        val shard = shardOf(key)
        synchronized(shard.lock) { shard.values[key] = value }
    }

    fun values(): List<V> = shards.flatMap { shard -> synchronized(shard.lock) { shard.values.values.toList() } }

    private fun shardOf(key: K): Shard<K, V> = shards[Math.floorMod(key.hashCode(), shards.size)]

    private companion object {
        const val DEFAULT_SHARD_COUNT = 16
    }
}
