/*
 * What daemons tell each other about non-repeatable calls. Messages may be lost or come twice; the state machines
 * behind them ask again.
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
    /** Asks a coordinator to write a record. */
    @Serializable
    @SerialName("record")
    data class Record(val partition: Int, val record: IntentRecord) : DispatchMessage

    /** A coordinator's answer. */
    @Serializable
    @SerialName("recorded")
    data class Recorded(val attemptId: AttemptId, val answer: CoordinatorAnswer) : DispatchMessage

    /** Asks a gateway how one of its attempts stands. */
    @Serializable
    @SerialName("query")
    data class Query(val asker: AttemptId, val key: RequestKey, val attemptId: AttemptId) : DispatchMessage

    /** A gateway's answer. */
    @Serializable
    @SerialName("state")
    data class State(val asker: AttemptId, val state: AttemptState) : DispatchMessage
}

/** Sends messages to other daemons. */
internal fun interface DispatchPeers {
    /** Sends [payload] to [to] and tells whether it arrived. */
    suspend fun send(to: VmId, payload: ByteArray): Boolean
}

internal const val DISPATCH_CHANNEL = "dispatch"

private const val SEND_TIMEOUT_MS = 1_000L

/** Returns the peers that [network] reaches. */
internal fun dispatchPeers(network: PeerNetwork): DispatchPeers =
    DispatchPeers { to, payload -> network.call(to, DISPATCH_CHANNEL, payload, SEND_TIMEOUT_MS).isOk }
