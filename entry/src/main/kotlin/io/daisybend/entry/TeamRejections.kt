/*
 * Shows operators which teams are over their rates: a log line and a counter for each team.
 */
package io.daisybend.entry

import io.daisybend.serving.rates.RejectionCounts
import io.daisybend.serving.rates.TeamRateLimiter

/** Writes the rejections that [limiter] decided to [log] and [metrics]. */
internal class TeamRejections(private val limiter: TeamRateLimiter, private val log: EventLog, metrics: Metrics) {
    private val counts = RejectionCounts()

    init {
        metrics.addCounters("daisybend_team_rejections", "Requests beyond the rate of their team", "team") {
            counts.totals.mapValues { it.value.toDouble() }
        }
    }

    /** Counts a request of [team] that was rejected. */
    fun record(team: String) = counts.record(team)

    /** Writes the log lines that are due at [nowMs]. */
    fun writeDue(nowMs: Long) = counts.takeDue(nowMs).forEach { (team, rejected) ->
        val state = limiter.stateOf(team, nowMs)
        log.write(
            "team-over-rate",
            "team" to team,
            "rejected" to rejected,
            "level" to state?.level?.toLong(),
            "unreachableShare" to state?.unreachableShare,
            "lostShare" to state?.lostShare,
        )
    }
}
