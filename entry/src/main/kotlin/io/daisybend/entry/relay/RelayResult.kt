/*
 * What comes of opening a connection to an endpoint through a peer.
 */
package io.daisybend.entry.relay

import io.daisybend.entry.http.Connection

/** Result of opening a connection to an endpoint through a peer. */
internal sealed interface RelayResult {
    /** The [connection] can be used like a direct one. */
    class Connected(val connection: Connection) : RelayResult

    /** The peer itself could not connect to the endpoint. */
    data object EndpointUnreachable : RelayResult

    /** The peer can't be reached, or relays nothing: it is stopping, busy or doesn't know the endpoint. */
    data class PeerUnavailable(val reason: String) : RelayResult
}
