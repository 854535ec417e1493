/*
 * Messages between VMs about tokens. A gateway asks the holder of a seat to spend on its behalf; the holder grants all,
 * a part or nothing; the gateway later confirms that it has admitted the request and returns what was not used.
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
    public data class SupportAsk(val holder: HolderId, val leaseOffset: Long, val round: Long) : RateMessage

    /** [witness] will not suspect [holder] for a term from its receipt of the ask of [round]. */
    @Serializable
    @SerialName("support")
    public data class Support(val witness: HolderId, val holder: HolderId, val round: Long) : RateMessage

    /** Asks [holder] for up to [wantedMicroTokens] from its seat [seatIndex]. */
    @Serializable
    @SerialName("ask")
    public data class Ask(
        override val teamId: TeamId,
        val asker: HolderId,
        val askNumber: Long,
        val holder: HolderId,
        val seatIndex: Int,
        val wantedMicroTokens: Long,
    ) : OfTeam

    /** Answers ask [askNumber]; [balanceMicroTokens] is what the seat still holds. */
    @Serializable
    @SerialName("grant")
    public data class Grant(
        override val teamId: TeamId,
        val asker: HolderId,
        val askNumber: Long,
        val seatIndex: Int,
        val grantedMicroTokens: Long,
        val balanceMicroTokens: Long,
    ) : OfTeam

    /** Tells [holder] what became of its grants to [asker]. */
    @Serializable
    @SerialName("settlements")
    public data class Settlements(
        override val teamId: TeamId,
        val asker: HolderId,
        val holder: HolderId,
        val grants: List<SettledGrant>,
    ) : OfTeam
}

/** What became of one grant: admitted and still running when [returnedMicroTokens] is null, otherwise over. */
@Serializable
public data class SettledGrant(val askNumber: Long, val seatIndex: Int, val returnedMicroTokens: Long? = null)

/** Encodes this message for the peers' channel. */
public fun RateMessage.encode(): ByteArray = encodeCbor(RateMessage.serializer(), this)

/** Decodes a message of the peers' channel; fails with [MalformedCbor] when the bytes are none. */
public fun decodeRateMessage(bytes: ByteArray): Result<RateMessage, MalformedCbor> =
    decodeCbor(RateMessage.serializer(), bytes)
