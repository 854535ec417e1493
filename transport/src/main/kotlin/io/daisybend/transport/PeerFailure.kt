/*
 * Why a message to a peer got no answer, and whether it can have had an effect.
 */
package io.daisybend.transport

import io.daisybend.kernel.Failure
import io.daisybend.kernel.VmId

/** A call to a peer that got no answer. */
public sealed interface PeerFailure : Failure {
    /** Whether the peer may have handled the message. */
    public val mayHaveHandled: Boolean

    /** The address of [peer] is not known. */
    public data class UnknownPeer(val peer: VmId) : PeerFailure {
        override val mayHaveHandled: Boolean = false
        override val message: String = "expected an address for peer $peer, know none"
    }

    /** No connection to [peer] could be opened; nothing was sent. */
    public data class NotConnected(val peer: VmId, val reason: String) : PeerFailure {
        override val mayHaveHandled: Boolean = false
        override val message: String = "expected a connection to peer $peer, got $reason"
    }

    /** The process at the peer's address did not prove that it belongs to this system. */
    public data class NotAuthenticated(val peer: VmId) : PeerFailure {
        override val mayHaveHandled: Boolean = false
        override val message: String = "expected a proof of the system's secret from peer $peer, got another"
    }

    /** The message is larger than a frame may be. */
    public data class TooLarge(val peer: VmId, val sizeBytes: Int, val maxBytes: Int) : PeerFailure {
        override val mayHaveHandled: Boolean = false
        override val message: String = "expected at most $maxBytes bytes for peer $peer, got $sizeBytes"
    }

    /** The connection to [peer] ended before the answer came. */
    public data class ConnectionLost(val peer: VmId) : PeerFailure {
        override val mayHaveHandled: Boolean = true
        override val message: String = "expected an answer from peer $peer, the connection ended"
    }

    /** No answer came from [peer] within [timeoutMs]. */
    public data class TimedOut(val peer: VmId, val timeoutMs: Long) : PeerFailure {
        override val mayHaveHandled: Boolean = true
        override val message: String = "expected an answer from peer $peer within $timeoutMs ms, got none"
    }

    /** The peer does not handle [channel], or its handler failed. */
    public data class Refused(val peer: VmId, val channel: String) : PeerFailure {
        override val mayHaveHandled: Boolean = true
        override val message: String = "expected peer $peer to handle channel $channel, it refused"
    }
}
