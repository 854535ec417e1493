/*
 * Collects what holders have to know about their grants, so that one message tells a holder about many.
 */
package io.daisybend.rates

import io.daisybend.kernel.TeamId

internal class SettlementQueue(
    private val teamId: TeamId,
    private val self: HolderId,
    private val settings: RateSettings,
) {
    private val byHolder = LinkedHashMap<HolderId, LinkedHashMap<Long, SettledGrant>>()
    private var oldestMs = 0L

    /** Adds [grant], in place of what was not yet sent about the same one. */
    fun add(holder: HolderId, grant: SettledGrant, nowMs: Long) {
        if (byHolder.isEmpty()) oldestMs = nowMs
        byHolder.getOrPut(holder) { LinkedHashMap() }[grant.grantNumber] = grant
    }

    fun takeDue(nowMs: Long): List<RateAction> {
        if (byHolder.isEmpty() || nowMs - oldestMs < settings.settlementDelayMs) return emptyList()
        val messages = byHolder.map { (holder, grants) ->
            RateAction.Send(holder.vmId, RateMessage.Settlements(teamId, self, holder, grants.values.toList()))
        }
        byHolder.clear()
        return messages
    }
}
