/*
 * What a configuration follower is told and what it asks its runtime to do. Answers of the log carry the time at which
 * the question was asked: what an answer confirms holds from then on.
 */
package io.daisybend.configuration

import io.daisybend.kernel.Failure
import io.daisybend.kernel.LogBatch
import io.daisybend.kernel.LogFailure
import io.daisybend.kernel.VmId

/** What a [ConfigurationFollower] is told. */
public sealed interface FollowerEvent {
    /** Time has passed; expected several times a second. */
    public data object Tick : FollowerEvent

    /** The other live VMs. */
    public data class PeersListed(val peers: List<VmId>) : FollowerEvent

    /** The log answered the read that was asked at [requestedAtMs]. */
    public class LogRead(public val requestedAtMs: Long, public val fromOffset: Long, public val batch: LogBatch) :
        FollowerEvent

    /** The read that was asked at [requestedAtMs] failed. */
    public data class LogReadFailed(val requestedAtMs: Long, val failure: LogFailure) : FollowerEvent

    /** The log's newest whole snapshot was read; [state] is null if the log holds none. */
    public class SnapshotRead(public val state: ConfigurationState?) : FollowerEvent

    /** The log's snapshots could not be read. */
    public data object SnapshotReadFailed : FollowerEvent

    /** Another VM sent [message]. */
    public class PeerMessage(public val from: VmId, public val message: GossipMessage) : FollowerEvent

    /** An operator waits until most VMs have replayed what this one reads next. */
    public data object Refresh : FollowerEvent
}

/** What a [ConfigurationFollower] asks its runtime to do. */
public sealed interface FollowerAction {
    /** Read the configuration stream and report with [requestedAtMs]. */
    public data class ReadLog(val requestedAtMs: Long, val fromOffset: Long, val maxRecords: Int) : FollowerAction

    /** Read the newest whole snapshot from the log. */
    public data object ReadSnapshot : FollowerAction

    /** Send [message] to [peer]. */
    public class Send(public val peer: VmId, public val message: GossipMessage) : FollowerAction

    /** Put [state] in force. */
    public class Publish(public val state: ConfigurationState) : FollowerAction

    /** End the requests in flight of the keys that are no longer in force. */
    public data class CancelRequests(val keyIds: Set<KeyId>) : FollowerAction

    /** End all requests in flight that came with a key: the VM could not confirm its configuration for too long. */
    public data object CancelAuthenticatedRequests : FollowerAction

    /** Serve, or refuse requests with "not run", from now on. */
    public data class SetFreshness(val freshness: Freshness) : FollowerAction

    /** Tell the operators. */
    public data class Alarm(val alarm: FollowerAlarm) : FollowerAction
}

/** Whether the configuration in force is known to be the newest. */
public sealed interface Freshness {
    /** Confirmed within the last seconds, by the log or through a VM that read it. */
    public data object ConfirmedByLog : Freshness

    /** The log is out of reach for all VMs heard of, most VMs are heard, and none knows more. */
    public data object ConfirmedByPeers : Freshness

    /** Not confirmed: requests have to be refused. */
    public data object Unconfirmed : Freshness, Failure {
        override val message: String = "expected a configuration confirmed within seconds by the log or by most VMs"
    }
}

/** What operators have to know of a follower. */
public sealed interface FollowerAlarm : Failure {
    /** A newer VM wrote the record at [offset]; this VM cannot follow until it is replaced. */
    public data class NewerFormat(val offset: Long, val format: Int) : FollowerAlarm {
        override val message: String get() = "expected a record this version reads, came format $format at $offset"
    }

    /** The log ends before what was read from it; it was reset or replaced. */
    public data class LogBehind(val nextOffset: Long, val logNextOffset: Long) : FollowerAlarm {
        override val message: String get() =
            "expected a log that ends at $nextOffset or later, it ends at $logNextOffset"
    }

    /** Records up to [firstOffset] are gone and the log holds no whole snapshot that replaces them. */
    public data class RecordsLost(val nextOffset: Long, val firstOffset: Long) : FollowerAlarm {
        override val message: String get() =
            "expected a snapshot or records from $nextOffset, the oldest record kept is $firstOffset"
    }
}

/** Intervals and limits of a [ConfigurationFollower]. */
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
    internal val minSample: Int get() = (probesPerRound * freshnessMs / probeIntervalMs).toInt()
}
