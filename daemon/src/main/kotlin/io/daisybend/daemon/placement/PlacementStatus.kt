/*
 * Reports the ledger's offset and each endpoint's owner, fence, offset, free memory and replicas to operators.
 */
package io.daisybend.daemon.placement

import io.daisybend.daemon.admin.StatusLine
import io.daisybend.daemon.admin.StatusSource
import io.daisybend.placement.EndpointEntry
import io.daisybend.placement.Reservation

internal class PlacementStatus(private val runtime: PlacementRuntime) : StatusSource {
    override fun status(): List<StatusLine> {
        val state = if (runtime.isCaughtUp) "caught up" else "reading"
        val ledger = StatusLine("placement", "ledger", "offset ${runtime.nextOffset.value} $state")
        return listOf(ledger) + runtime.ledger.endpoints().map { it.toStatusLine() }
    }

    private fun EndpointEntry.toStatusLine(): StatusLine {
        val ready = if (runtime.isReady(endpointId)) " ready" else ""
        val ownership = "owner ${owner?.vmId ?: "none"} fence $fence offset $lastOffset$ready"
        val replicas = reservations.joinToString { it.toText() }.ifEmpty { "none" }
        return StatusLine("endpoint", endpointId.value, "$ownership, $freeBytes bytes free, replicas: $replicas")
    }

    private fun Reservation.toText() = "${artifact.itemId} ${phase.name.lowercase()}"
}
