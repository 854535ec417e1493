/*
 * The shards of one team that this process holds. Tokens are granted from a shard only while its lease runs. The lease
 * is checked against the clock on every use, so that a process that was paused detects an expired lease at once.
 */
package io.daisybend.rates

internal class HeldShards(private var limits: ShardLimits) {
    private class OpenShard(val bucket: ShardBucket, var leaseEndMs: Long)

    private val shards = HashMap<Int, OpenShard>()

    /** Returns the indexes of the shards whose lease has not ended. */
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

    /** Closes the shard and returns its balance, or 0 if its lease has ended. */
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

    /** Applies the settlement of a grant reported by [requester]. */
    fun apply(grant: SettledGrant, requester: HolderId, nowMs: Long) {
        val grantId = GrantId(requester, grant.grantNumber)
        when (val returned = grant.returnedMicroTokens) {
            null -> confirm(grant.shardIndex, grantId, nowMs)
            else -> settle(grant.shardIndex, grantId, returned, nowMs)
        }
    }

    private fun running(shardIndex: Int, nowMs: Long) = shards[shardIndex]?.takeIf { nowMs < it.leaseEndMs }?.bucket
}
