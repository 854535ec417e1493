/*
 * Messages between VMs about tokens. A gateway asks the holder of a shard to spend on its behalf; the holder grants
 * all, a part or nothing; the gateway later confirms that it has admitted the request and returns what was not used.
 */
package io.daisybend.rates

import com.github.michaelbull.result.Result
import io.daisybend.kernel.MalformedCbor
import io.daisybend.kernel.TeamId
import io.daisybend.kernel.decodeCbor
import io.daisybend.kernel.encodeCbor
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A message about rates between two VMs. */
@Serializable
public sealed interface RateMessage {
    /** A message about the tokens of one team. */
    @Serializable
    public sealed interface OfTeam : RateMessage {
        /** The team whose tokens are meant. */
        public val teamId: TeamId
    }

    /** Asks a witness to support [holder], whose latest known record stands at [leaseOffset], without the log. */
    @Serializable
    @SerialName("supportAsk")
    public data class SupportRequest(val holder: HolderId, val leaseOffset: Long, val round: Long) : RateMessage

    /** [witness] will not suspect [holder] for a term from its receipt of the ask of [round]. */
    @Serializable
    @SerialName("support")
    public data class Support(val witness: HolderId, val holder: HolderId, val round: Long) : RateMessage

    /** Asks [holder] for up to [wantedMicroTokens] from its shard [shardIndex]. */
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

    /** Answers ask [grantNumber]; [balanceMicroTokens] is what the shard still holds. */
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

    /** Tells [holder] what became of its grants to [requester]. */
    @Serializable
    @SerialName("settlements")
    public data class Settlements(
        override val teamId: TeamId,
        @SerialName("asker") val requester: HolderId,
        val holder: HolderId,
        val grants: List<SettledGrant>,
    ) : OfTeam
}

/** What became of one grant: admitted and still running when [returnedMicroTokens] is null, otherwise over. */
@Serializable
public data class SettledGrant(@SerialName("askNumber") val grantNumber: Long, @SerialName("seatIndex") val shardIndex: Int, val returnedMicroTokens: Long? = null)

/** Encodes this message for the peers' channel. */
public fun RateMessage.encode(): ByteArray = encodeCbor(RateMessage.serializer(), this)

/** Decodes a message of the peers' channel; fails with [MalformedCbor] when the bytes are none. */
public fun decodeRateMessage(bytes: ByteArray): Result<RateMessage, MalformedCbor> =
    decodeCbor(RateMessage.serializer(), bytes)
