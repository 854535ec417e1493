/*
 * Measures how the state and the time of the rate decisions grow with the number of teams, and the sizes of encoded
 * messages and records. `main` prints one table for each.
 */
package io.daisybend.rates

import com.github.michaelbull.result.get
import io.daisybend.kernel.LogStream
import io.daisybend.kernel.RequestId
import io.daisybend.kernel.TeamId
import io.daisybend.kernel.VmId

private val self = HolderId(VmId("vm-0"), 1)
private val teamLimits = TeamLimits(rateTokensPerSecond = 1_000_000, burstTokens = 100_000_000)
private const val VM_COUNT = 12

/** One VM of a cell of twelve; it claims the one shard of each team that the other VMs leave free. */
private class ScalingCell(teams: Int) {
    val limiter = RateLimiter(self, LogStream("seats-scaling"))
    val teamIds = List(teams) { TeamId("team-$it") }
    private val log = ArrayList<OffsetRecord>()
    var nowMs = 0L

    init {
        limiter.handle(RateEvent.LimitsChanged(teamIds.associateWith { teamLimits }), nowMs)
        limiter.handle(RateEvent.LiveVmsChanged(List(VM_COUNT) { VmId("vm-$it") }), nowMs)
        val others = teamIds.flatMapIndexed { number, teamId ->
            listOf(1, 2).map { index ->
                1 + (number + index * 4) % (VM_COUNT - 1) to ShardClaim(ShardId(teamId, index), -1)
            }
        }
        others.groupBy({ it.first }, { it.second }).forEach { (vm, claims) ->
            claims.chunked(200).forEach { append(ShardRecord.Claimed(HolderId(VmId("vm-$vm"), 1), 0, it)) }
        }
        read()
        repeat(200) {
            nowMs += 100
            perform(limiter.handle(RateEvent.Tick, nowMs))
            read()
        }
    }

    private fun append(record: ShardRecord) {
        val decoded = decodeShardRecord(record.encode())
        log += OffsetRecord(log.size.toLong(), decoded.get())
    }

    private fun read() {
        val from = limiter.readFromOffset.toInt()
        val event = RateEvent.LogRead(log.drop(from), firstOffset = 0, nextOffset = log.size.toLong())
        perform(limiter.handle(event, nowMs))
    }

    fun perform(actions: List<RateAction>) = actions.forEach { if (it is RateAction.Append) append(it.record) }
}

fun main() {
    rowFor(teams = 400)
    println("teams | bytes of state per shard | ns per reservation and settlement | ns per tick of all teams")
    listOf(100, 400, 1_600, 6_400).forEach { teams -> println(rowFor(teams)) }
    println("message | bytes")
    encodedSizes().forEach { (name, bytes) -> println("$name | $bytes") }
}

private fun rowFor(teams: Int): String {
    val before = usedBytes()
    val cell = ScalingCell(teams)
    val bytesPerShard = (usedBytes() - before) / (teams * RateSettings().shardsPerTeam)
    val held = cell.teamIds.filter { VmId("vm-0") in cell.limiter.holdersOf(it) }
    reserveAndSettle(cell, held, ROUNDS)
    val reserveNs = elapsedNs { reserveAndSettle(cell, held, ROUNDS) } / ROUNDS
    repeat(TICKS) { cell.limiter.handle(RateEvent.Tick, ++cell.nowMs) }
    val tickNs = elapsedNs { repeat(TICKS) { cell.limiter.handle(RateEvent.Tick, ++cell.nowMs) } } / TICKS
    return "$teams (${held.size} shards held) | $bytesPerShard | $reserveNs | $tickNs"
}

private const val ROUNDS = 200_000
private const val TICKS = 2_000

private fun reserveAndSettle(cell: ScalingCell, held: List<TeamId>, rounds: Int) = repeat(rounds) { round ->
    val teamId = held[round % held.size]
    val requestId = RequestId("request-$round")
    cell.limiter.handle(RateEvent.Reserve(requestId, teamId, tokens = 500), cell.nowMs)
    cell.limiter.handle(RateEvent.Settle(requestId, teamId, usedTokens = 300), cell.nowMs)
}

private fun elapsedNs(block: () -> Unit): Long {
    val startNs = System.nanoTime()
    block()
    return System.nanoTime() - startNs
}

private fun usedBytes(): Long {
    repeat(3) { System.gc() }
    return Runtime.getRuntime().run { totalMemory() - freeMemory() }
}

private fun encodedSizes(): Map<String, Int> {
    val team = TeamId("team-123")
    val witnesses = List(VM_COUNT - 1) { HolderId(VmId("vm-$it"), 1_796_360_237_777) }
    val holder = HolderId(VmId("vm-1"), 1_796_360_237_777)
    return mapOf(
        "grant request" to RateMessage.GrantRequest(team, holder, 12_345, holder, 1, 500_000_000).encode().size,
        "grant" to RateMessage.Grant(team, holder, 12_345, 1, 500_000_000, 9_000_000_000).encode().size,
        "settlement of one grant" to
            RateMessage.Settlements(team, holder, holder, listOf(SettledGrant(12_345, 1, 200_000_000))).encode().size,
        "support request" to RateMessage.SupportRequest(holder, 123_456, 12).encode().size,
        "support" to RateMessage.Support(holder, holder, 12).encode().size,
        "renewal" to ShardRecord.Renewed(holder, 12_345).encode().size,
        "renewal with 11 witnesses" to ShardRecord.Renewed(holder, 12_345, witnesses).encode().size,
        "claim of one shard" to
            ShardRecord.Claimed(holder, 12_345, listOf(ShardClaim(ShardId(team, 1), 99_999))).encode().size,
    )
}
