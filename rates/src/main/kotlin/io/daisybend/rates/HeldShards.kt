/*
 * The shards of one team that this process holds. A shard spends only while its term runs; a process that was paused
 * finds the term over as soon as it reads the clock again. A closed shard spends no more.
 */
package io.daisybend.rates

internal class HeldShards(private var limits: ShardLimits) {
    private class OpenShard(val bucket: ShardBucket, var leaseEndMs: Long)

    private val shards = HashMap<Int, OpenShard>()

    /** The shards whose term runs. */
    fun runningShards(nowMs: Long): List<Int> = shards.filterValues { nowMs < it.leaseEndMs }.keys.sorted()

    val grantCount: Int get() = shards.values.sumOf { it.bucket.grantCount }

    fun open(shardIndex: Int, balanceMicroTokens: Long?, refillFromMs: Long, leaseEndMs: Long) {
        val bucket = ShardBucket(limits, balanceMicroTokens ?: limits.capacityMicroTokens, refillFromMs)
        shards[shardIndex] = OpenShard(bucket, leaseEndMs)
    }

    fun extend(shardIndex: Int, leaseEndMs: Long) {
        val shard = shards[shardIndex] ?: return
        shard.leaseEndMs = maxOf(shard.leaseEndMs, leaseEndMs)
    }

    /** Closes the shard and returns what it held, 0 when its term is over. */
    fun close(shardIndex: Int, nowMs: Long): Long {
        val shard = shards.remove(shardIndex) ?: return 0
        return if (nowMs < shard.leaseEndMs) shard.bucket.drain(nowMs) else 0
    }

    fun changeLimits(newLimits: ShardLimits, nowMs: Long) {
        limits = newLimits
        shards.values.forEach { it.bucket.changeLimits(newLimits, nowMs) }
    }

    fun balanceMicroTokens(shardIndex: Int, nowMs: Long): Long =
        running(shardIndex, nowMs)?.balanceMicroTokens(nowMs) ?: 0

    fun grant(shardIndex: Int, grantId: GrantId, wantedMicroTokens: Long, expiresAtMs: Long, nowMs: Long): Long =
        running(shardIndex, nowMs)?.grant(grantId, wantedMicroTokens, expiresAtMs, nowMs) ?: 0

    fun confirm(shardIndex: Int, grantId: GrantId, nowMs: Long) {
        shards[shardIndex]?.bucket?.confirm(grantId, nowMs)
    }

    fun settle(shardIndex: Int, grantId: GrantId, returnedMicroTokens: Long, nowMs: Long) {
        shards[shardIndex]?.bucket?.settle(grantId, returnedMicroTokens, nowMs)
    }

    /** Notes what [requester] says about its grant. */
    fun apply(grant: SettledGrant, requester: HolderId, nowMs: Long) {
        val grantId = GrantId(requester, grant.grantNumber)
        when (val returned = grant.returnedMicroTokens) {
            null -> confirm(grant.shardIndex, grantId, nowMs)
            else -> settle(grant.shardIndex, grantId, returned, nowMs)
        }
    }

    private fun running(shardIndex: Int, nowMs: Long) = shards[shardIndex]?.takeIf { nowMs < it.leaseEndMs }?.bucket
}
