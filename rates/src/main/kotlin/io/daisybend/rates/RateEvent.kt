/*
 * What goes into and comes out of the rate decisions.
 */
package io.daisybend.rates

import io.daisybend.kernel.Failure
import io.daisybend.kernel.LogStream
import io.daisybend.kernel.RequestId
import io.daisybend.kernel.TeamId
import io.daisybend.kernel.VmId

/** Something that happened and that the rate decisions have to know. */
public sealed interface RateEvent {
    /** A caller of [teamId] wants [tokens] (prompt and largest output) for [requestId]. */
    public data class Reserve(val requestId: RequestId, val teamId: TeamId, val tokens: Long) : RateEvent

    /** The request is over, or was given up, after using [usedTokens]. */
    public data class Settle(val requestId: RequestId, val teamId: TeamId, val usedTokens: Long) : RateEvent

    /** A peer sent [message]. */
    public data class MessageReceived(val message: RateMessage) : RateEvent

    /** The configuration in force gives these limits; teams that are missing have none. */
    public data class LimitsChanged(val limits: Map<TeamId, TeamLimits>) : RateEvent

    /** These VMs of the cell may hold shards, this one included. */
    public data class LiveVmsChanged(val vmIds: List<VmId>) : RateEvent

    /** The shard stream was read from [RateLimiter.readFromOffset], or from the oldest kept record if that is gone. */
    public data class LogRead(
        val records: List<OffsetRecord>,
        val firstOffset: Long,
        val nextOffset: Long,
    ) : RateEvent

    /** This process is about to stop: release all shards and claim none. */
    public data object Drain : RateEvent

    /** Time has passed; expected every few tens of milliseconds. */
    public data object Tick : RateEvent
}

/** Why a request was not admitted. It has not run. */
public sealed interface RateRefusal : Failure {
    /** The team has no limits in the configuration in force. */
    public data class UnknownTeam(val teamId: TeamId) : RateRefusal {
        override val message: String = "expected a team of the configuration, got $teamId"
    }

    /** The request can never fit the team's burst. */
    public data class ExceedsBurst(val tokens: Long, val burstTokens: Long) : RateRefusal {
        override val message: String = "expected at most $burstTokens tokens in one request, got $tokens"
    }

    /** The team's tokens are spent. */
    public data class RateExceeded(val tokens: Long, val availableTokens: Long) : RateRefusal {
        override val message: String = "expected at most $availableTokens tokens now, got $tokens"
    }
}

/** Something that has to be done. */
public sealed interface RateAction {
    /** The request may run; it must not be dispatched after [dispatchByMs]. */
    public data class Admitted(val requestId: RequestId, val dispatchByMs: Long) : RateAction

    /** The request must not run; a retry makes sense after [retryAfterMs], never when that is null. */
    public data class Refused(
        val requestId: RequestId,
        val refusal: RateRefusal,
        val retryAfterMs: Long?,
    ) : RateAction

    /** Send [message] to the VM; it may get lost, late or doubled. */
    public data class Send(val toVmId: VmId, val message: RateMessage) : RateAction

    /** Append [record] once to the shard stream; the answer does not matter. */
    public data class Append(val stream: LogStream, val record: ShardRecord) : RateAction
}

/** Counters since the start of the process. */
public data class RateCounters(
    val admitted: Long = 0,
    val refused: Long = 0,
    val admittedLocally: Long = 0,
    val grantRequestsSent: Long = 0,
    val grantRequestsTimedOut: Long = 0,
    val grantsIssued: Long = 0,
) {
    /** Returns the sums of both. */
    public operator fun plus(other: RateCounters): RateCounters = RateCounters(
        admitted = admitted + other.admitted,
        refused = refused + other.refused,
        admittedLocally = admittedLocally + other.admittedLocally,
        grantRequestsSent = grantRequestsSent + other.grantRequestsSent,
        grantRequestsTimedOut = grantRequestsTimedOut + other.grantRequestsTimedOut,
        grantsIssued = grantsIssued + other.grantsIssued,
    )
}
