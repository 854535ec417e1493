/*
 * The token bucket of one shard. At every moment
 *
 *     balance + outstanding + returnable <= capacity
 *
 * where `outstanding` are tokens granted to a requester that may still admit a request with them, and `returnable` is
 * the part of the spent tokens that a return may still bring back. The refill stops where balance and outstanding
 * grants reach the capacity, so a grant that was delayed on its way is never added to a full bucket. The refill
 * displaces returnable tokens, oldest first: a return restores only what the bucket would hold had those tokens never
 * been reserved. From this follows that the tokens admitted in any interval, less those returned, are at most the
 * capacity at its start plus the refill within it.
 */
package io.daisybend.rates

/** Identifies one grant: the asking process and its running number. */
internal data class GrantId(val requester: HolderId, val number: Long)

/** The bucket of one shard; not safe for use by several threads. */
internal class ShardBucket(
    private var limits: ShardLimits,
    balanceMicroTokens: Long,
    refillFromMs: Long,
) {
    private var balance = balanceMicroTokens.coerceIn(0, limits.capacityMicroTokens)
    private var refilledToMs = refillFromMs
    private var outstanding = 0L
    private var returnable = 0L
    private val outstandingGrants = LinkedHashMap<GrantId, OutstandingGrant>()
    private val returnableGrants = LinkedHashMap<GrantId, Long>()

    private class OutstandingGrant(val microTokens: Long, val expiresAtMs: Long)

    val capacityMicroTokens: Long get() = limits.capacityMicroTokens

    /** The number of grants that take memory. */
    val grantCount: Int get() = outstandingGrants.size + returnableGrants.size

    fun balanceMicroTokens(nowMs: Long): Long {
        advance(nowMs)
        return balance
    }

    /** Grants up to [wantedMicroTokens]; a repeated [grantId] gets the same answer and costs nothing. */
    fun grant(grantId: GrantId, wantedMicroTokens: Long, expiresAtMs: Long, nowMs: Long): Long {
        advance(nowMs)
        outstandingGrants[grantId]?.let { return it.microTokens }
        if (grantId in returnableGrants) return 0
        val granted = minOf(balance, wantedMicroTokens.coerceAtLeast(0))
        if (granted == 0L) return 0
        balance -= granted
        outstanding += granted
        outstandingGrants[grantId] = OutstandingGrant(granted, expiresAtMs)
        return granted
    }

    /** Notes that the requester has admitted its request. */
    fun confirm(grantId: GrantId, nowMs: Long) {
        advance(nowMs)
        outstandingGrants[grantId]?.let { moveToReturnable(grantId, it) }
        trimReturnable()
    }

    /** Takes back up to [returnedMicroTokens] of a grant and forgets it; a repeated return has no effect. */
    fun settle(grantId: GrantId, returnedMicroTokens: Long, nowMs: Long) {
        advance(nowMs)
        val grant = outstandingGrants.remove(grantId)
        if (grant != null) {
            outstanding -= grant.microTokens
            balance += returnedMicroTokens.coerceIn(0, grant.microTokens)
        } else {
            val stillReturnable = returnableGrants.remove(grantId) ?: return
            returnable -= stillReturnable
            balance += returnedMicroTokens.coerceIn(0, stillReturnable)
        }
        trimBalance()
    }

    /** Changes the limits; tokens above the new capacity are lost. */
    fun changeLimits(newLimits: ShardLimits, nowMs: Long) {
        advance(nowMs)
        limits = newLimits
        trimBalance()
        trimReturnable()
    }

    /** Empties the bucket and returns what it held. */
    fun drain(nowMs: Long): Long {
        advance(nowMs)
        val drained = balance
        balance = 0
        return drained
    }

    private fun advance(nowMs: Long) {
        refill(nowMs)
        expireGrants(nowMs)
        trimReturnable()
    }

    private fun refill(nowMs: Long) {
        val elapsedMs = nowMs - refilledToMs
        if (elapsedMs <= 0) return
        refilledToMs = nowMs
        val room = (limits.capacityMicroTokens - outstanding - balance).coerceAtLeast(0)
        val displaced = refillOver(elapsedMs)
        balance += minOf(displaced, room)
    }

    private fun refillOver(elapsedMs: Long): Long {
        val perMs = limits.refillMicroTokensPerMs
        val fillTimeMs = if (perMs == 0L) 0 else limits.capacityMicroTokens / perMs + 1
        return minOf(elapsedMs, fillTimeMs) * perMs
    }

    private fun expireGrants(nowMs: Long) {
        while (true) {
            val (grantId, grant) = outstandingGrants.entries.firstOrNull() ?: return
            if (grant.expiresAtMs > nowMs) return
            moveToReturnable(grantId, grant)
        }
    }

    private fun moveToReturnable(grantId: GrantId, grant: OutstandingGrant) {
        outstandingGrants.remove(grantId)
        outstanding -= grant.microTokens
        returnableGrants[grantId] = grant.microTokens
        returnable += grant.microTokens
    }

    private fun trimBalance() {
        balance = balance.coerceAtMost((limits.capacityMicroTokens - outstanding).coerceAtLeast(0))
    }

    private fun trimReturnable() {
        var excess = balance + outstanding + returnable - limits.capacityMicroTokens
        while (excess > 0 && returnableGrants.isNotEmpty()) {
            val (grantId, amount) = returnableGrants.entries.first()
            val trimmed = minOf(excess, amount)
            if (trimmed == amount) returnableGrants.remove(grantId) else returnableGrants[grantId] = amount - trimmed
            returnable -= trimmed
            excess -= trimmed
        }
    }
}
