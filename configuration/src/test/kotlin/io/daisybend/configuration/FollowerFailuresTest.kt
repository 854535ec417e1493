/*
 * Single failures of a follower, each brought about on its own.
 */
package io.daisybend.configuration

import io.daisybend.kernel.LogBatch
import io.daisybend.kernel.LogFailure
import io.daisybend.kernel.LogRecord
import io.daisybend.kernel.TeamId
import io.daisybend.kernel.VmId
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.random.Random

private val first = encodeChange(ChangeId("first"), applyAll(smallManifest())).single()
private val withdrawal =
    encodeRecord(ConfigurationRecord.Change(ChangeId("w"), ConfigurationChange.WithdrawKey(KeyId("key-0"))))
private val peers = List(4) { VmId("peer-$it") }

private fun batch(vararg payloads: ByteArray, fromOffset: Long = 0) = LogBatch(
    records = payloads.mapIndexed { at, payload -> LogRecord(fromOffset + at, payload) },
    firstOffset = 0,
    nextOffset = fromOffset + payloads.size,
)

private fun follower(nowMs: Long = 0, vararg payloads: ByteArray = arrayOf(first)): ConfigurationFollower {
    val follower = ConfigurationFollower(random = Random(1))
    follower.handle(FollowerEvent.PeersListed(peers), nowMs)
    follower.handle(FollowerEvent.SnapshotRead(null), nowMs)
    follower.handle(FollowerEvent.LogRead(nowMs, 0, batch(*payloads)), nowMs)
    return follower
}

private fun List<FollowerAction>.probes() =
    filterIsInstance<FollowerAction.Send>().filter { it.message is GossipMessage.Probe }

/** Lets [answering] peers answer every probe of [follower] for [durationMs], without the log. */
private fun gossip(
    follower: ConfigurationFollower,
    fromMs: Long,
    durationMs: Long,
    answering: Collection<VmId>,
    answer: (GossipMessage.Probe) -> GossipMessage.ProbeResponse,
): List<FollowerAction> = (fromMs..fromMs + durationMs step 250).flatMap { nowMs ->
    val actions = follower.handle(FollowerEvent.Tick, nowMs)
    val lost = FollowerEvent.LogReadFailed(nowMs, LogFailure.Unavailable("expected the log, it is down"))
    val answered = actions.probes().filter { it.peer in answering }.flatMap { sent ->
        val probe = sent.message as GossipMessage.Probe
        follower.handle(FollowerEvent.PeerMessage(sent.peer, answer(probe)), nowMs)
    }
    actions + follower.handle(lost, nowMs) + answered
}

class FollowerFailuresTest : FunSpec({
    test("a long outage of the log does not stop a VM that most VMs answer") {
        val follower = follower()
        gossip(follower, 1_000, 3_600_000, peers.take(2)) { GossipMessage.ProbeResponse(it.sequence, 1, null, true) }
        follower.freshnessAt(3_601_000) shouldBe Freshness.ConfirmedByPeers
    }

    test("a VM that neither the log nor most VMs answer refuses within seconds and then ends keyed requests") {
        val follower = follower()
        val actions = gossip(follower, 1_000, 6_000, peers.take(1)) {
            GossipMessage.ProbeResponse(it.sequence, 1, null, true)
        }
        actions shouldContain FollowerAction.SetFreshness(Freshness.Unconfirmed)
        actions shouldContain FollowerAction.CancelAuthenticatedRequests
        follower.freshnessAt(4_001) shouldBe Freshness.Unconfirmed
    }

    test("a withdrawal reaches a VM that is cut off from the log through one peer and ends the key's requests") {
        val follower = follower()
        val actions = gossip(follower, 1_000, 2_000, peers.take(1)) {
            val records = if (it.nextOffset == 1L) listOf(PassedRecord(1, withdrawal)) else emptyList()
            GossipMessage.ProbeResponse(it.sequence, 2, 100, true, 1, 2, records)
        }
        actions shouldContain FollowerAction.CancelRequests(setOf(KeyId("key-0")))
        follower.freshnessAt(3_000) shouldBe Freshness.ConfirmedByLog
    }

    test("a new VM starts from a peer's snapshot while the log is down, and VMs that restarted do not outvote others") {
        val holder = follower()
        val fresh = ConfigurationFollower(random = Random(2))
        val own = VmId("new")
        fresh.handle(FollowerEvent.PeersListed(peers), 0)
        fun exchange(counts: Boolean, fromMs: Long) = (fromMs..fromMs + 5_000 step 250).forEach { nowMs ->
            val queue = ArrayDeque(fresh.handle(FollowerEvent.Tick, nowMs).filterIsInstance<FollowerAction.Send>())
            while (queue.isNotEmpty()) {
                val sent = queue.removeFirst()
                val replies = holder.handle(FollowerEvent.PeerMessage(own, sent.message), 0)
                replies.filterIsInstance<FollowerAction.Send>().forEach { reply ->
                    val message = when (val it = reply.message) {
                        is GossipMessage.ProbeResponse ->
                            GossipMessage.ProbeResponse(it.sequence, it.nextOffset, null, counts)
                        else -> it
                    }
                    val next = fresh.handle(FollowerEvent.PeerMessage(sent.peer, message), nowMs)
                    queue += next.filterIsInstance<FollowerAction.Send>()
                }
            }
        }
        exchange(counts = false, fromMs = 1_000)
        fresh.state?.revision shouldBe 1
        fresh.freshnessAt(6_000) shouldBe Freshness.Unconfirmed
        exchange(counts = true, fromMs = 6_250)
        fresh.freshnessAt(11_250) shouldBe Freshness.ConfirmedByPeers
    }

    test("a reader that lags behind retention takes a newer snapshot and never an older one") {
        val follower = follower(0, first, withdrawal)
        follower.handle(FollowerEvent.LogReadFailed(1_000, LogFailure.Expired(2, 9)), 1_000)
        follower.handle(FollowerEvent.SnapshotRead(replayAll(listOf(first))), 1_000)
        follower.state?.revision shouldBe 2
        follower.handle(FollowerEvent.LogReadFailed(1_500, LogFailure.Expired(2, 9)), 1_500)
        val newer = replayAll(listOf(first, withdrawal) + List(8) { byteArrayOf(1) })
        follower.handle(FollowerEvent.SnapshotRead(newer), 1_500)
        follower.state?.nextOffset shouldBe 10
    }

    test("records that are lost for good raise an alarm and stop service") {
        val follower = follower()
        follower.handle(FollowerEvent.LogReadFailed(5_000, LogFailure.Expired(1, 9)), 5_000)
        val actions = follower.handle(FollowerEvent.SnapshotRead(null), 5_000)
        actions shouldContain FollowerAction.Alarm(FollowerAlarm.RecordsLost(1, 9))
        follower.freshnessAt(5_000) shouldBe Freshness.Unconfirmed
    }

    test("a record of a newer version stops service on a VM that cannot read it") {
        val follower = follower(0, first, byteArrayOf(9, 0))
        follower.state?.nextOffset shouldBe 1
        follower.freshnessAt(0) shouldBe Freshness.Unconfirmed
    }

    test("a late answer confirms only what held when it was asked") {
        val follower = follower(nowMs = 0)
        follower.handle(FollowerEvent.LogRead(1_000, 1, batch(fromOffset = 1)), 4_900)
        follower.freshnessAt(5_000) shouldBe Freshness.ConfirmedByLog
        follower.freshnessAt(5_001).shouldBeInstanceOf<Freshness.Unconfirmed>()
    }

    test("an answer that nobody asked for changes nothing") {
        val follower = follower(nowMs = 0)
        val answer = GossipMessage.ProbeResponse(77, 2, 0, true, 1, 2, listOf(PassedRecord(1, withdrawal)))
        follower.handle(FollowerEvent.PeerMessage(VmId("peer-0"), answer), 10)
        follower.state?.tables?.keys?.get(KeyId("key-0"))?.teamId shouldBe TeamId("team-0")
    }
})
