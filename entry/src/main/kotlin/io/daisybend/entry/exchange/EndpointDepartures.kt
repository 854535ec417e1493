/*
 * Applies what endpoints and peers say of endpoints that are leaving: they get no new requests, their idle connections
 * are closed, waiting requests choose again, and the peers learn of it. Streams in progress go on.
 */
package io.daisybend.entry.exchange

import io.daisybend.entry.EventLog
import io.daisybend.entry.http.OutgoingConnections
import io.daisybend.platform.SocketAddress
import io.daisybend.serving.endpoint.EndpointTable
import io.daisybend.serving.endpoint.Incarnation

/** Takes leaving endpoints out of use; calls [onChange] and [requestEarlyReport] for each that this VM learns of. */
internal class EndpointDepartures(
    private val table: EndpointTable,
    private val connections: OutgoingConnections,
    private val log: EventLog,
    private val steadyMs: () -> Long,
    private val onChange: () -> Unit,
    private val requestEarlyReport: () -> Unit,
) {
    /** Records that a response of [endpoint] said that it is leaving. */
    fun onResponse(endpoint: Incarnation) {
        if (!table.leaving.onResponse(endpoint, steadyMs())) return
        takeOutOfUse(endpoint, source = "response")
        requestEarlyReport()
    }

    /** Records that [peer] reported [endpoints] as leaving. */
    fun onPeerReport(peer: String, endpoints: List<Incarnation>) =
        endpoints.filter { table.leaving.onPeerReport(it, steadyMs()) }.forEach { takeOutOfUse(it, source = peer) }

    private fun takeOutOfUse(endpoint: Incarnation, source: String) {
        table.onLeaving(endpoint)
        table.find(endpoint.id)?.takeIf { it.incarnation == endpoint }?.let {
            connections.closeIdle(SocketAddress(it.entry.host, it.entry.port))
        }
        log.write("endpoint-leaving", "endpoint" to endpoint.id, "bornMs" to endpoint.bornMs, "source" to source)
        onChange()
    }

    /** Returns the leaving endpoints that peers should learn of with the next report. */
    fun reportChanges(): List<Incarnation> = table.leaving.reportChanges()

    /** Returns all listed endpoints that are leaving, for a peer that may know none of them. */
    fun reportAll(): List<Incarnation> = table.leaving.allOf(table.all().map { it.incarnation })

    /** Forgets endpoints that have left long ago. */
    fun removeForgotten() {
        if (table.leaving.isEmpty) return
        table.leaving.removeForgotten(table.all().mapTo(HashSet()) { it.incarnation }, steadyMs())
    }
}
