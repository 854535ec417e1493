/*
 * Limiters that lack one or all of the safety mechanisms; the checker has to find overshoot with each of them.
 */
package io.daisybend.rates

import io.daisybend.kernel.RequestId
import io.daisybend.kernel.VmId

/** A plain token bucket that starts full. */
internal class NaiveBucket(private val limits: TeamLimits) {
    private var milliTokens = limits.burstTokens * MILLI
    private var refilledToMs: Long? = null

    fun take(tokens: Long, nowMs: Long): Boolean {
        val elapsedMs = nowMs - (refilledToMs ?: nowMs)
        refilledToMs = nowMs
        milliTokens = minOf(limits.burstTokens * MILLI, milliTokens + elapsedMs * limits.rateTokensPerSecond)
        if (milliTokens < tokens * MILLI) return false
        milliTokens -= tokens * MILLI
        return true
    }

    fun refund(tokens: Long) {
        milliTokens = minOf(limits.burstTokens * MILLI, milliTokens + tokens * MILLI)
    }

    private companion object {
        const val MILLI = 1_000L
    }
}

/** Gives every VM an equal part of the limits and a bucket of its own that starts full. */
internal class NaiveStaticSplit(vmCount: Int, limits: TeamLimits) : TestedLimiter {
    private val bucket =
        NaiveBucket(TeamLimits(limits.rateTokensPerSecond / vmCount, limits.burstTokens / vmCount))
    private val reserved = HashMap<RequestId, Long>()

    override val readFromOffset: Long = 0

    override fun handle(event: RateEvent, nowMs: Long): List<RateAction> = when (event) {
        is RateEvent.Reserve -> listOf(admitOrRefuse(event.requestId, event.tokens, bucket.take(event.tokens, nowMs)))
        is RateEvent.Settle -> {
            reserved.remove(event.requestId)?.let { bucket.refund(it - event.usedTokens) }
            emptyList()
        }
        else -> emptyList()
    }

    private fun admitOrRefuse(requestId: RequestId, tokens: Long, isAvailable: Boolean): RateAction {
        if (isAvailable) reserved[requestId] = tokens
        return if (isAvailable) RateAction.Admitted(requestId, 0) else refusal(requestId)
    }
}

/** Keeps one bucket on the first VM; its grants never expire. */
internal class NaiveGrantsWithoutExpiry(private val self: HolderId, limits: TeamLimits) : TestedLimiter {
    private val bucket = NaiveBucket(limits)
    private val requests = ArrayList<RequestId>()

    override val readFromOffset: Long = 0

    override fun handle(event: RateEvent, nowMs: Long): List<RateAction> = when (event) {
        is RateEvent.Reserve -> listOf(requestGrant(event))
        is RateEvent.MessageReceived -> receive(event.message, nowMs)
        else -> emptyList()
    }

    private fun requestGrant(event: RateEvent.Reserve): RateAction {
        requests += event.requestId
        val number = requests.lastIndex.toLong()
        return RateAction.Send(
            holder.vmId,
            RateMessage.GrantRequest(event.teamId, self, number, holder, 0, event.tokens),
        )
    }

    private fun receive(message: RateMessage, nowMs: Long): List<RateAction> = when (message) {
        is RateMessage.GrantRequest -> {
            val granted = if (bucket.take(message.wantedMicroTokens, nowMs)) message.wantedMicroTokens else 0
            val grant = RateMessage.Grant(message.teamId, message.requester, message.grantNumber, 0, granted, 0)
            listOf(RateAction.Send(message.requester.vmId, grant))
        }
        is RateMessage.Grant -> listOfNotNull(admitOnce(message))
        else -> emptyList()
    }

    private fun admitOnce(grant: RateMessage.Grant): RateAction? {
        if (grant.requester != self) return null
        val requestId = requests[grant.grantNumber.toInt()]
        if (requestId == decided) return null
        requests[grant.grantNumber.toInt()] = decided
        return if (grant.grantedMicroTokens > 0) RateAction.Admitted(requestId, 0) else refusal(requestId)
    }

    private companion object {
        val holder = HolderId(VmId("vm-0"), 0)
        val decided = RequestId("decided")
    }
}

/** The production limiter, except that a holder counts every grant as used at once instead of as outstanding. */
internal class GrantForgettingLimiter(self: HolderId) : TestedLimiter {
    private val limiter = ProductionLimiter(self, longGrantSettings)

    override val readFromOffset: Long get() = limiter.readFromOffset

    override fun handle(event: RateEvent, nowMs: Long): List<RateAction> {
        val actions = limiter.handle(event, nowMs)
        if (event is RateEvent.MessageReceived && event.message is RateMessage.GrantRequest) spend(event.message, nowMs)
        return actions
    }

    private fun spend(request: RateMessage.GrantRequest, nowMs: Long) {
        val used = listOf(SettledGrant(request.grantNumber, request.shardIndex))
        val settlements = RateMessage.Settlements(request.teamId, request.requester, request.holder, used)
        limiter.handle(RateEvent.MessageReceived(settlements), nowMs)
    }
}

/** The production limiter, except that a witness does not remember which holders it supports. */
internal class SupportForgettingLimiter(self: HolderId) : TestedLimiter {
    private val limiter = ProductionLimiter(self, shortSettings)
    private val process = self

    override val readFromOffset: Long get() = limiter.readFromOffset

    override fun handle(event: RateEvent, nowMs: Long): List<RateAction> {
        val request = (event as? RateEvent.MessageReceived)?.message as? RateMessage.SupportRequest
            ?: return limiter.handle(event, nowMs)
        return listOf(RateAction.Send(request.holder.vmId, RateMessage.Support(process, request.holder, request.round)))
    }
}

/** The production limiter, except that the lease of the first VM does not end within a test. */
internal class EndlessLeaseLimiter(self: HolderId) : TestedLimiter by ProductionLimiter(
    self,
    if (self.vmId == VmId("vm-0")) shortSettings.copy(leaseDurationMs = 1_000_000) else shortSettings,
)

private fun refusal(requestId: RequestId) =
    RateAction.Refused(requestId, RateRefusal.RateExceeded(0, 0), retryAfterMs = null)
