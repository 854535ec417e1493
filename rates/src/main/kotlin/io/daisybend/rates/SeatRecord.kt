/*
 * The records of a cell's seat stream in the platform's log, and the identity of those who write them. Every record
 * also renews the term of its writer.
 */
package io.daisybend.rates

import com.github.michaelbull.result.Result
import io.daisybend.kernel.MalformedCbor
import io.daisybend.kernel.TeamId
import io.daisybend.kernel.VmId
import io.daisybend.kernel.decodeCbor
import io.daisybend.kernel.encodeCbor
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One process on a VM; a later process on the same VM has a larger [incarnation]. */
@Serializable
public data class HolderId(val vmId: VmId, val incarnation: Long)

/** One of the seats of a team. */
@Serializable
public data class SeatId(val teamId: TeamId, val index: Int)

/**
 * A claim to a seat whose last change stood at [expectedVersion]. An [isOverdue] claim needs no suspicions: its writer
 * has not read anything from the holder for longer than any term can be extended.
 */
@Serializable
public data class SeatClaim(val seatId: SeatId, val expectedVersion: Long, val isOverdue: Boolean = false)

/** Says that [holder], whose latest record stands at [leaseOffset], gets no extension of its term from the writer. */
@Serializable
public data class Suspicion(val holder: HolderId, val leaseOffset: Long)

/** The release of a seat that was claimed at [claimOffset], with what its bucket held. */
@Serializable
public data class SeatRelease(val seatId: SeatId, val claimOffset: Long, val balanceMicroTokens: Long)

/** The replayed state of one seat. */
@Serializable
public data class SeatState(
    val seatId: SeatId,
    val holder: HolderId?,
    val versionOffset: Long,
    val balanceMicroTokens: Long = 0,
)

/** The replayed state of one writer: where its latest record stands and who may extend its term without the log. */
@Serializable
public data class HolderLease(
    val holder: HolderId,
    val offset: Long,
    val witnesses: List<HolderId> = emptyList(),
    val witnessesSequence: Long = -1,
    val suspectedBy: Set<HolderId> = emptySet(),
)

/** A record of the seat stream. */
@Serializable
public sealed interface SeatRecord {
    /** Extends the writer's term; [witnesses] replace the earlier ones unless null. */
    @Serializable
    @SerialName("renewed")
    public data class Renewed(
        val holder: HolderId,
        val sequence: Long,
        val witnesses: List<HolderId>? = null,
    ) : SeatRecord

    /** Withdraws the writer's support from holders that have been silent for their term. */
    @Serializable
    @SerialName("suspected")
    public data class Suspected(
        val holder: HolderId,
        val sequence: Long,
        val suspicions: List<Suspicion>,
    ) : SeatRecord

    /** Claims seats; each claim is valid when the seat has not changed since its expected version. */
    @Serializable
    @SerialName("claimed")
    public data class Claimed(val holder: HolderId, val sequence: Long, val claims: List<SeatClaim>) : SeatRecord

    /** Gives seats back with their balance. */
    @Serializable
    @SerialName("released")
    public data class Released(val holder: HolderId, val sequence: Long, val releases: List<SeatRelease>) : SeatRecord

    /** The state of all seats before [nextOffset]; readers that start late begin here. */
    @Serializable
    @SerialName("snapshot")
    public data class Snapshot(
        val nextOffset: Long,
        val seats: List<SeatState>,
        val leases: List<HolderLease>,
        val lostHistory: Boolean,
    ) : SeatRecord

    /** Declares that the records before [nextOffset] are no longer kept and that no term from then can still run. */
    @Serializable
    @SerialName("historyLost")
    public data class HistoryLost(val nextOffset: Long) : SeatRecord
}

/** Encodes this record for the platform's log. */
public fun SeatRecord.encode(): ByteArray = encodeCbor(SeatRecord.serializer(), this)

/** Decodes a record of the seat stream; fails with [MalformedCbor] when the bytes are none. */
public fun decodeSeatRecord(bytes: ByteArray): Result<SeatRecord, MalformedCbor> =
    decodeCbor(SeatRecord.serializer(), bytes)
