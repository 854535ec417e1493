/*
 * Failures of calls to peers. Each states whether the peer may have handled the call.
 */
package io.daisybend.transport

import io.daisybend.kernel.Failure
import io.daisybend.kernel.VmId

/** Reason why a call to a peer failed. */
public sealed interface PeerFailure : Failure {
    /** Whether the peer may have handled the call, fully or in part. */
    public val mayHaveHandled: Boolean

    /** The address of [peer] is not known. */
    public data class UnknownPeer(val peer: VmId) : PeerFailure {
        override val mayHaveHandled: Boolean = false
        override val message: String = "expected an address for peer $peer, found none"
    }

    /** No connection to [peer] could be opened, so the call was not sent. */
    public data class NotConnected(val peer: VmId, val reason: String) : PeerFailure {
        override val mayHaveHandled: Boolean = false
        override val message: String = "expected a connection to peer $peer, got $reason"
    }

    /** The process at the address of [peer] did not complete the handshake with the system's shared secret. */
    public data class NotAuthenticated(val peer: VmId) : PeerFailure {
        override val mayHaveHandled: Boolean = false
        override val message: String = "expected proof of the shared secret from peer $peer, got an invalid handshake"
    }

    /** The payload exceeds the maximum size of a frame; nothing was sent. */
    public data class TooLarge(val peer: VmId, val sizeBytes: Int, val maxBytes: Int) : PeerFailure {
        override val mayHaveHandled: Boolean = false
        override val message: String = "expected a payload of at most $maxBytes bytes for peer $peer, got $sizeBytes"
    }

    /** The connection to [peer] closed before the response arrived. */
    public data class ConnectionLost(val peer: VmId) : PeerFailure {
        override val mayHaveHandled: Boolean = true
        override val message: String = "expected a response from peer $peer, the connection closed"
    }

    /** [peer] did not respond within [timeoutMs]. */
    public data class TimedOut(val peer: VmId, val timeoutMs: Long) : PeerFailure {
        override val mayHaveHandled: Boolean = true
        override val message: String = "expected a response from peer $peer within $timeoutMs ms, got none"
    }

    /**
     * [peer] has no handler for the channel, or the handler rejected the call or failed. A refusal frame does not name
     * the channel, so [channel] can be empty.
     */
    public data class Refused(val peer: VmId, val channel: String) : PeerFailure {
        override val mayHaveHandled: Boolean = true
        override val message: String = "expected peer $peer to handle a call on channel `$channel`, got a refusal"
    }
}
