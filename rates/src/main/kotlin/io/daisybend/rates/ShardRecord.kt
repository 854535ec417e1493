/*
 * The records of a cell's shard stream in the platform's log, and the identity of those who write them. Every record
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

/** One of the shards of a team. */
@Serializable
@SerialName("SeatId")
public data class ShardId(val teamId: TeamId, val index: Int)

/**
 * A claim to a shard whose last change stood at [expectedVersion]. An [isOverdue] claim needs no suspicions: its writer
 * has not read anything from the holder for longer than any term can be extended.
 */
@Serializable
@SerialName("SeatClaim")
public data class ShardClaim(@SerialName("seatId") val shardId: ShardId, val expectedVersion: Long, val isOverdue: Boolean = false)

/** Says that [holder], whose latest record stands at [leaseOffset], gets no extension of its term from the writer. */
@Serializable
public data class Suspicion(val holder: HolderId, val leaseOffset: Long)

/** The release of a shard that was claimed at [claimOffset], with what its bucket held. */
@Serializable
@SerialName("SeatRelease")
public data class ShardRelease(@SerialName("seatId") val shardId: ShardId, val claimOffset: Long, val balanceMicroTokens: Long)

/** The replayed state of one shard. */
@Serializable
@SerialName("SeatState")
public data class ShardState(
    @SerialName("seatId") val shardId: ShardId,
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

/** A record of the shard stream. */
@Serializable
public sealed interface ShardRecord {
    /** Extends the writer's term; [witnesses] replace the earlier ones unless null. */
    @Serializable
    @SerialName("renewed")
    public data class Renewed(
        val holder: HolderId,
        val sequence: Long,
        val witnesses: List<HolderId>? = null,
    ) : ShardRecord

    /** Withdraws the writer's support from holders that have been silent for their term. */
    @Serializable
    @SerialName("suspected")
    public data class Suspected(
        val holder: HolderId,
        val sequence: Long,
        val suspicions: List<Suspicion>,
    ) : ShardRecord

    /** Claims shards; each claim is valid when the shard has not changed since its expected version. */
    @Serializable
    @SerialName("claimed")
    public data class Claimed(val holder: HolderId, val sequence: Long, val claims: List<ShardClaim>) : ShardRecord

    /** Gives shards back with their balance. */
    @Serializable
    @SerialName("released")
    public data class Released(val holder: HolderId, val sequence: Long, val releases: List<ShardRelease>) : ShardRecord

    /** The state of all shards before [nextOffset]; readers that start late begin here. */
    @Serializable
    @SerialName("snapshot")
    public data class Snapshot(
        val nextOffset: Long,
        @SerialName("seats") val shards: List<ShardState>,
        val leases: List<HolderLease>,
        val lostHistory: Boolean,
    ) : ShardRecord

    /** Declares that the records before [nextOffset] are no longer kept and that no term from then can still run. */
    @Serializable
    @SerialName("historyLost")
    public data class HistoryLost(val nextOffset: Long) : ShardRecord
}

/** Encodes this record for the platform's log. */
public fun ShardRecord.encode(): ByteArray = encodeCbor(ShardRecord.serializer(), this)

/** Decodes a record of the shard stream; fails with [MalformedCbor] when the bytes are none. */
public fun decodeShardRecord(bytes: ByteArray): Result<ShardRecord, MalformedCbor> =
    decodeCbor(ShardRecord.serializer(), bytes)
