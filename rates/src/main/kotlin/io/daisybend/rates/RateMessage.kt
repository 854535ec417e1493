/*
 * Messages about tokens between VMs. A gateway requests tokens from the holder of a shard, which grants all, some or
 * none; the gateway later confirms that it admitted the request, and returns the unused tokens.
 */
package io.daisybend.rates

import com.github.michaelbull.result.Result
import io.daisybend.kernel.MalformedCbor
import io.daisybend.kernel.TeamId
import io.daisybend.kernel.decodeCbor
import io.daisybend.kernel.encodeCbor
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A message between the rate limiters of two VMs. */
@Serializable
public sealed interface RateMessage {
    /** A message that concerns the tokens of one team. */
    @Serializable
    public sealed interface OfTeam : RateMessage {
        /** The team whose tokens the message concerns. */
        public val teamId: TeamId
    }

    /** Asks a witness to support [holder], whose latest known record is at [leaseOffset], for one more lease. */
    @Serializable
    @SerialName("supportAsk")
    public data class SupportRequest(val holder: HolderId, val leaseOffset: Long, val round: Long) : RateMessage

    /** Promises not to suspect [holder] for one lease duration after [witness] received the request of [round]. */
    @Serializable
    @SerialName("support")
    public data class Support(val witness: HolderId, val holder: HolderId, val round: Long) : RateMessage

    /** Requests up to [wantedMicroTokens] of the shard [shardIndex] from [holder]. */
    @Serializable
    @SerialName("ask")
    public data class GrantRequest(
        override val teamId: TeamId,
        @SerialName("asker") val requester: HolderId,
        @SerialName("askNumber") val grantNumber: Long,
        val holder: HolderId,
        @SerialName("seatIndex") val shardIndex: Int,
        val wantedMicroTokens: Long,
    ) : OfTeam

    /** Answers grant request [grantNumber]; [balanceMicroTokens] is the remaining balance of the shard. */
    @Serializable
    @SerialName("grant")
    public data class Grant(
        override val teamId: TeamId,
        @SerialName("asker") val requester: HolderId,
        @SerialName("askNumber") val grantNumber: Long,
        @SerialName("seatIndex") val shardIndex: Int,
        val grantedMicroTokens: Long,
        val balanceMicroTokens: Long,
    ) : OfTeam

    /** Reports the use of grants from [holder] to [requester]. */
    @Serializable
    @SerialName("settlements")
    public data class Settlements(
        override val teamId: TeamId,
        @SerialName("asker") val requester: HolderId,
        val holder: HolderId,
        val grants: List<SettledGrant>,
    ) : OfTeam
}

/** The use of one grant: its request still runs if [returnedMicroTokens] is null, and has ended otherwise. */
@Serializable
public data class SettledGrant(
    @SerialName("askNumber") val grantNumber: Long,
    @SerialName("seatIndex") val shardIndex: Int,
    val returnedMicroTokens: Long? = null,
)

/** Returns this message encoded for the peer channel. */
public fun RateMessage.encode(): ByteArray = encodeCbor(RateMessage.serializer(), this)

/** Decodes a message of the peer channel; fails with [MalformedCbor] if [bytes] are not a valid message. */
public fun decodeRateMessage(bytes: ByteArray): Result<RateMessage, MalformedCbor> =
    decodeCbor(RateMessage.serializer(), bytes)
