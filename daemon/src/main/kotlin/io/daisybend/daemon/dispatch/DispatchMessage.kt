/*
 * Messages between daemons about non-idempotent calls. Messages may be lost or duplicated; the state machines that
 * exchange them resend their requests.
 */
package io.daisybend.daemon.dispatch

import io.daisybend.dispatch.AttemptId
import io.daisybend.dispatch.AttemptState
import io.daisybend.dispatch.CoordinatorAnswer
import io.daisybend.dispatch.IntentRecord
import io.daisybend.dispatch.RequestKey
import io.daisybend.kernel.VmId
import io.daisybend.transport.PeerNetwork
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

@Serializable
internal sealed interface DispatchMessage {
    /** Requests that the coordinator of [partition] append [record]. */
    @Serializable
    @SerialName("record")
    data class Record(val partition: Int, val record: IntentRecord) : DispatchMessage

    /** Returns the coordinator's [answer] to the executor of [attemptId]. */
    @Serializable
    @SerialName("recorded")
    data class Recorded(val attemptId: AttemptId, val answer: CoordinatorAnswer) : DispatchMessage

    /** Queries a gateway for the state of its attempt [attemptId]. */
    @Serializable
    @SerialName("query")
    data class Query(
        @SerialName("asker") val querierId: AttemptId,
        val key: RequestKey,
        val attemptId: AttemptId,
    ) : DispatchMessage

    /** Returns the [state] of the queried attempt to [querierId]. */
    @Serializable
    @SerialName("state")
    data class State(@SerialName("asker") val querierId: AttemptId, val state: AttemptState) : DispatchMessage
}

/** Sends dispatch messages to other daemons. */
internal fun interface DispatchPeers {
    /** Sends [payload] to [to]; returns whether [to] acknowledged it. */
    suspend fun send(to: VmId, payload: ByteArray): Boolean
}

internal const val DISPATCH_CHANNEL = "dispatch"

private const val SEND_TIMEOUT_MS = 1_000L

/** Returns a [DispatchPeers] that sends over [network]. */
internal fun dispatchPeers(network: PeerNetwork): DispatchPeers =
    DispatchPeers { to, payload -> network.call(to, DISPATCH_CHANNEL, payload, SEND_TIMEOUT_MS).isOk }
