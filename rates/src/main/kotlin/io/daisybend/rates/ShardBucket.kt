/*
 * The token bucket of one shard. At every moment
 *
 *     balance + outstanding + returnable <= capacity
 *
 * where `outstanding` is the number of tokens granted to requesters that may still admit a request with them, and
 * `returnable` is the number of spent tokens that a return can still restore. The refill stops when the balance and the
 * outstanding grants reach the capacity, so a delayed grant is never added to a full bucket. The refill displaces
 * returnable tokens, oldest first: a return restores only the tokens that the bucket would hold if they had never been
 * reserved. Therefore the tokens admitted in any interval, less the returned ones, are at most the capacity at its
 * start plus the refill within it.
 */
package io.daisybend.rates

/** Identifies one grant by the requesting process and its sequence number there. */
internal data class GrantId(val requester: HolderId, val number: Long)

/** The token bucket of one shard; not thread-safe. */
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

    /** The number of grants held in memory. */
    val grantCount: Int get() = outstandingGrants.size + returnableGrants.size

    fun balanceMicroTokens(nowMs: Long): Long {
        advance(nowMs)
        return balance
    }

    /** Grants up to [wantedMicroTokens]; a repeat returns the same amount while outstanding, and 0 while returnable. */
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

    /** Records that the requester has admitted its request. */
    fun confirm(grantId: GrantId, nowMs: Long) {
        advance(nowMs)
        outstandingGrants[grantId]?.let { moveToReturnable(grantId, it) }
        trimReturnable()
    }

    /** Restores up to [returnedMicroTokens] of a grant and removes it; a repeated return has no effect. */
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

    /** Empties the bucket and returns its previous balance. */
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
        val refill = refillDuring(elapsedMs)
        balance += minOf(refill, room)
    }

    private fun refillDuring(elapsedMs: Long): Long {
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
