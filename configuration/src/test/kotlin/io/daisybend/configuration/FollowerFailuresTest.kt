/*
 * Tests the reaction of a follower to single failures.
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

private val firstRecord = encodeChange(ChangeId("first"), applyAll(smallManifest())).single()
private val withdrawal =
    encodeRecord(ConfigurationRecord.Change(ChangeId("w"), ConfigurationChange.WithdrawKey(KeyId("key-0"))))
private val peers = List(4) { VmId("peer-$it") }

private fun batch(vararg payloads: ByteArray, fromOffset: Long = 0) = LogBatch(
    records = payloads.mapIndexed { index, payload -> LogRecord(fromOffset + index, payload) },
    firstOffset = 0,
    nextOffset = fromOffset + payloads.size,
)

private fun follower(nowMs: Long = 0, vararg payloads: ByteArray = arrayOf(firstRecord)): ConfigurationFollower {
    val follower = ConfigurationFollower(random = Random(1))
    follower.handle(FollowerEvent.PeersListed(peers), nowMs)
    follower.handle(FollowerEvent.SnapshotRead(null), nowMs)
    follower.handle(FollowerEvent.LogRead(nowMs, 0, batch(*payloads)), nowMs)
    return follower
}

private fun List<FollowerAction>.probes() =
    filterIsInstance<FollowerAction.Send>().filter { it.message is GossipMessage.Probe }

/** Makes the [responding] peers answer every probe of [follower] for [durationMs] while the log is unavailable. */
private fun runGossip(
    follower: ConfigurationFollower,
    fromMs: Long,
    durationMs: Long,
    responding: Collection<VmId>,
    response: (GossipMessage.Probe) -> GossipMessage.ProbeResponse,
): List<FollowerAction> = (fromMs..fromMs + durationMs step 250).flatMap { nowMs ->
    val actions = follower.handle(FollowerEvent.Tick, nowMs)
    val logUnavailable = FollowerEvent.LogReadFailed(nowMs, LogFailure.Unavailable("expected the log, got none"))
    val responseActions = actions.probes().filter { it.peer in responding }.flatMap { sent ->
        val probe = sent.message as GossipMessage.Probe
        follower.handle(FollowerEvent.PeerMessage(sent.peer, response(probe)), nowMs)
    }
    actions + follower.handle(logUnavailable, nowMs) + responseActions
}

class FollowerFailuresTest : FunSpec({
    test("a VM that most VMs respond to keeps serving during a long outage of the log") {
        val follower = follower()
        runGossip(follower, 1_000, 3_600_000, peers.take(2)) { GossipMessage.ProbeResponse(it.sequence, 1, null, true) }
        follower.freshnessAt(3_601_000) shouldBe Freshness.ConfirmedByPeers
    }

    test("a VM without the log and without most VMs refuses within seconds, then cancels requests with a key") {
        val follower = follower()
        val actions = runGossip(follower, 1_000, 6_000, peers.take(1)) {
            GossipMessage.ProbeResponse(it.sequence, 1, null, true)
        }
        actions shouldContain FollowerAction.SetFreshness(Freshness.Unconfirmed)
        actions shouldContain FollowerAction.CancelAuthenticatedRequests
        follower.freshnessAt(4_001) shouldBe Freshness.Unconfirmed
    }

    test("a withdrawal reaches a VM without the log through one peer and cancels the requests of the key") {
        val follower = follower()
        val actions = runGossip(follower, 1_000, 2_000, peers.take(1)) {
            val records = if (it.nextOffset == 1L) listOf(PassedRecord(1, withdrawal)) else emptyList()
            GossipMessage.ProbeResponse(it.sequence, 2, 100, true, 1, 2, records)
        }
        actions shouldContain FollowerAction.CancelRequests(setOf(KeyId("key-0")))
        follower.freshnessAt(3_000) shouldBe Freshness.ConfirmedByLog
    }

    test("a new VM starts from a peer's snapshot while the log is down, and restarted VMs form no majority") {
        val upToDate = follower()
        val newVm = ConfigurationFollower(random = Random(2))
        val newVmId = VmId("new")
        newVm.handle(FollowerEvent.PeersListed(peers), 0)
        fun exchangeMessages(isVoter: Boolean, fromMs: Long) = (fromMs..fromMs + 5_000 step 250).forEach { nowMs ->
            val queue = ArrayDeque(newVm.handle(FollowerEvent.Tick, nowMs).filterIsInstance<FollowerAction.Send>())
            while (queue.isNotEmpty()) {
                val sent = queue.removeFirst()
                val replies = upToDate.handle(FollowerEvent.PeerMessage(newVmId, sent.message), 0)
                replies.filterIsInstance<FollowerAction.Send>().forEach { reply ->
                    val message = when (val it = reply.message) {
                        is GossipMessage.ProbeResponse ->
                            GossipMessage.ProbeResponse(it.sequence, it.nextOffset, null, isVoter)
                        else -> it
                    }
                    val next = newVm.handle(FollowerEvent.PeerMessage(sent.peer, message), nowMs)
                    queue += next.filterIsInstance<FollowerAction.Send>()
                }
            }
        }
        exchangeMessages(isVoter = false, fromMs = 1_000)
        newVm.state?.revision shouldBe 1
        newVm.freshnessAt(6_000) shouldBe Freshness.Unconfirmed
        exchangeMessages(isVoter = true, fromMs = 6_250)
        newVm.freshnessAt(11_250) shouldBe Freshness.ConfirmedByPeers
    }

    test("a follower behind the retention period adopts a newer snapshot and never an older one") {
        val follower = follower(0, firstRecord, withdrawal)
        follower.handle(FollowerEvent.LogReadFailed(1_000, LogFailure.Expired(2, 9)), 1_000)
        follower.handle(FollowerEvent.SnapshotRead(replayAll(listOf(firstRecord))), 1_000)
        follower.state?.revision shouldBe 2
        follower.handle(FollowerEvent.LogReadFailed(1_500, LogFailure.Expired(2, 9)), 1_500)
        val newerState = replayAll(listOf(firstRecord, withdrawal) + List(8) { byteArrayOf(1) })
        follower.handle(FollowerEvent.SnapshotRead(newerState), 1_500)
        follower.state?.nextOffset shouldBe 10
    }

    test("records that are lost permanently raise an alarm and stop the VM from serving") {
        val follower = follower()
        follower.handle(FollowerEvent.LogReadFailed(5_000, LogFailure.Expired(1, 9)), 5_000)
        val actions = follower.handle(FollowerEvent.SnapshotRead(null), 5_000)
        actions shouldContain FollowerAction.Alarm(FollowerAlarm.RecordsLost(1, 9))
        follower.freshnessAt(5_000) shouldBe Freshness.Unconfirmed
    }

    test("a record of a newer format stops a VM that cannot read it from serving") {
        val follower = follower(0, firstRecord, byteArrayOf(9, 0))
        follower.state?.nextOffset shouldBe 1
        follower.freshnessAt(0) shouldBe Freshness.Unconfirmed
    }

    test("a late result of the log confirms the configuration only from the time of the request") {
        val follower = follower(nowMs = 0)
        follower.handle(FollowerEvent.LogRead(1_000, 1, batch(fromOffset = 1)), 4_900)
        follower.freshnessAt(5_000) shouldBe Freshness.ConfirmedByLog
        follower.freshnessAt(5_001).shouldBeInstanceOf<Freshness.Unconfirmed>()
    }

    test("a response without a matching probe changes nothing") {
        val follower = follower(nowMs = 0)
        val response = GossipMessage.ProbeResponse(77, 2, 0, true, 1, 2, listOf(PassedRecord(1, withdrawal)))
        follower.handle(FollowerEvent.PeerMessage(VmId("peer-0"), response), 10)
        follower.state?.tables?.keys?.get(KeyId("key-0"))?.teamId shouldBe TeamId("team-0")
    }
})
