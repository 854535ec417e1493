/*
 * Collects the settlements of grants, so that one message to a holder reports several of them.
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

    /** Adds [grant]; it replaces an unsent settlement of the same grant. */
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
