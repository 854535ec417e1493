/*
 * The records of the shard stream of a cell in the platform's log, and the identity of the processes that write them.
 * Every record with a writer also renews the lease of that writer.
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

/** Identifies one process on a VM; a later process on the same VM has a larger [incarnation]. */
@Serializable
public data class HolderId(val vmId: VmId, val incarnation: Long)

/** Identifies one shard of a team's token bucket. */
@Serializable
@SerialName("SeatId")
public data class ShardId(val teamId: TeamId, val index: Int)

/**
 * A claim to a shard, valid if the version of the shard is still [expectedVersion]. An [isOverdue] claim needs no
 * suspicions: its writer has read no record of the holder for longer than a lease can be extended.
 */
@Serializable
@SerialName("SeatClaim")
public data class ShardClaim(
    @SerialName("seatId") val shardId: ShardId,
    val expectedVersion: Long,
    val isOverdue: Boolean = false,
)

/** Declares that the writer will not extend the lease of [holder] whose latest record is at [leaseOffset]. */
@Serializable
public data class Suspicion(val holder: HolderId, val leaseOffset: Long)

/** The release of a shard that was claimed at [claimOffset], with the balance of its bucket. */
@Serializable
@SerialName("SeatRelease")
public data class ShardRelease(
    @SerialName("seatId") val shardId: ShardId,
    val claimOffset: Long,
    val balanceMicroTokens: Long,
)

/** The replayed state of one shard. */
@Serializable
@SerialName("SeatState")
public data class ShardState(
    @SerialName("seatId") val shardId: ShardId,
    val holder: HolderId?,
    val versionOffset: Long,
    val balanceMicroTokens: Long = 0,
)

/** The replayed lease of one writer: the offset of its latest record, and the witnesses that can extend it. */
@Serializable
public data class HolderLease(
    val holder: HolderId,
    val offset: Long,
    val witnesses: List<HolderId> = emptyList(),
    val witnessesSequence: Long = -1,
    val suspectedBy: Set<HolderId> = emptySet(),
)

/** A record of the shard stream. */
@Serializable
public sealed interface ShardRecord {
    /** Renews the lease of the writer; [witnesses] replace the earlier ones unless null. */
    @Serializable
    @SerialName("renewed")
    public data class Renewed(
        val holder: HolderId,
        val sequence: Long,
        val witnesses: List<HolderId>? = null,
    ) : ShardRecord

    /** Withdraws the support of the writer from holders whose leases have expired without a renewal. */
    @Serializable
    @SerialName("suspected")
    public data class Suspected(
        val holder: HolderId,
        val sequence: Long,
        val suspicions: List<Suspicion>,
    ) : ShardRecord

    /** Claims shards; each claim is valid only if the shard still has the expected version. */
    @Serializable
    @SerialName("claimed")
    public data class Claimed(val holder: HolderId, val sequence: Long, val claims: List<ShardClaim>) : ShardRecord

    /** Releases shards with their balances. */
    @Serializable
    @SerialName("released")
    public data class Released(val holder: HolderId, val sequence: Long, val releases: List<ShardRelease>) : ShardRecord

    /** The state of all shards before [nextOffset], from which a new reader can start. */
    @Serializable
    @SerialName("snapshot")
    public data class Snapshot(
        val nextOffset: Long,
        @SerialName("seats") val shards: List<ShardState>,
        val leases: List<HolderLease>,
        val lostHistory: Boolean,
    ) : ShardRecord

    /** Declares that records before [nextOffset] have been deleted and that every lease in them has ended. */
    @Serializable
    @SerialName("historyLost")
    public data class HistoryLost(val nextOffset: Long) : ShardRecord
}

/** Returns this record encoded for the platform's log. */
public fun ShardRecord.encode(): ByteArray = encodeCbor(ShardRecord.serializer(), this)

/** Decodes a record of the shard stream; fails with [MalformedCbor] if [bytes] are not a valid record. */
public fun decodeShardRecord(bytes: ByteArray): Result<ShardRecord, MalformedCbor> =
    decodeCbor(ShardRecord.serializer(), bytes)
