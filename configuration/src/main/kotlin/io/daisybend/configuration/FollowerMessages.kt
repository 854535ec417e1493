/*
 * The events that a configuration follower handles and the actions that it asks its runtime to perform. A result of the
 * log carries the time at which it was requested, because a confirmation counts from that time on.
 */
package io.daisybend.configuration

import io.daisybend.kernel.Failure
import io.daisybend.kernel.LogBatch
import io.daisybend.kernel.LogFailure
import io.daisybend.kernel.VmId

/** An event that a [ConfigurationFollower] handles. */
public sealed interface FollowerEvent {
    /** Time has passed; expected several times per second. */
    public data object Tick : FollowerEvent

    /** [peers] are the other live VMs. */
    public data class PeersListed(val peers: List<VmId>) : FollowerEvent

    /** The read from [fromOffset] that was requested at [requestedAtMs] returned [batch]. */
    public class LogRead(public val requestedAtMs: Long, public val fromOffset: Long, public val batch: LogBatch) :
        FollowerEvent

    /** The read that was requested at [requestedAtMs] failed. */
    public data class LogReadFailed(val requestedAtMs: Long, val failure: LogFailure) : FollowerEvent

    /** The newest complete snapshot in the log was read; [state] is null if the log holds none. */
    public class SnapshotRead(public val state: ConfigurationState?) : FollowerEvent

    /** The snapshots in the log could not be read. */
    public data object SnapshotReadFailed : FollowerEvent

    /** The VM [from] sent [message]. */
    public class PeerMessage(public val from: VmId, public val message: GossipMessage) : FollowerEvent

    /** A submitted change waits until most VMs have replayed it: read the log and probe peers now. */
    public data object Refresh : FollowerEvent
}

/** An action that a [ConfigurationFollower] asks its runtime to perform. */
public sealed interface FollowerAction {
    /** Read the configuration stream and report the result with [requestedAtMs]. */
    public data class ReadLog(val requestedAtMs: Long, val fromOffset: Long, val maxRecords: Int) : FollowerAction

    /** Read the newest complete snapshot from the log. */
    public data object ReadSnapshot : FollowerAction

    /** Send [message] to [peer]. */
    public class Send(public val peer: VmId, public val message: GossipMessage) : FollowerAction

    /** Put [state] in force. */
    public class Publish(public val state: ConfigurationState) : FollowerAction

    /** Cancel the requests in flight whose keys are no longer in force. */
    public data class CancelRequests(val keyIds: Set<KeyId>) : FollowerAction

    /** Cancel all requests in flight that carry a key, because the configuration was unconfirmed for too long. */
    public data object CancelAuthenticatedRequests : FollowerAction

    /** Serve requests from now on or, if [freshness] is [Freshness.Unconfirmed], refuse them as not run. */
    public data class SetFreshness(val freshness: Freshness) : FollowerAction

    /** Report [alarm] to the operators. */
    public data class Alarm(val alarm: FollowerAlarm) : FollowerAction
}

/** Whether the configuration in force is confirmed to be the newest. */
public sealed interface Freshness {
    /** Confirmed recently by the log, directly or through a VM that read it. */
    public data object ConfirmedByLog : Freshness

    /** Not confirmed by the log recently, but most VMs respond, and this VM is not behind known records for long. */
    public data object ConfirmedByPeers : Freshness

    /** Not confirmed; requests must be refused. */
    public data object Unconfirmed : Freshness, Failure {
        override val message: String = "expected a configuration confirmed recently by the log or by most VMs, got none"
    }
}

/** A condition of a follower that requires an operator. */
public sealed interface FollowerAlarm : Failure {
    /** A newer VM wrote the record at [offset]; this VM cannot follow until it is upgraded. */
    public data class NewerFormat(val offset: Long, val format: Int) : FollowerAlarm {
        override val message: String get() = "expected a supported record format, got format $format at offset $offset"
    }

    /** The log ends before the records that were read from it; it was reset or replaced. */
    public data class LogBehind(val nextOffset: Long, val logNextOffset: Long) : FollowerAlarm {
        override val message: String get() =
            "expected a log with next offset $nextOffset or later, got $logNextOffset"
    }

    /** The records before [firstOffset] have expired, and the log holds no complete snapshot that replaces them. */
    public data class RecordsLost(val nextOffset: Long, val firstOffset: Long) : FollowerAlarm {
        override val message: String get() =
            "expected a snapshot or records from offset $nextOffset, got records from offset $firstOffset"
    }
}

/** The intervals and limits of a [ConfigurationFollower]. */
public data class FollowerSettings(
    val freshnessMs: Long = 4_000,
    val minReadIntervalMs: Long = 1_000,
    val maxReadIntervalMs: Long = 5_000,
    val readIntervalPerVmMs: Long = 14,
    val readTimeoutMs: Long = 2_000,
    val snapshotReadTimeoutMs: Long = 20_000,
    val cancelRequestsAfterMs: Long = 1_000,
    val probeIntervalMs: Long = 1_000,
    val probesPerRound: Int = 3,
    val probesPerRoundWithoutLog: Int = 8,
    val peerSnapshotTimeoutMs: Long = 3_000,
    val maxBatchRecords: Int = 500,
) {
    internal val minSampleSize: Int get() = (probesPerRound * freshnessMs / probeIntervalMs).toInt()
}
