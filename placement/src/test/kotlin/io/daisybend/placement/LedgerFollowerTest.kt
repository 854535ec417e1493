package io.daisybend.placement

import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.LogBatch
import io.daisybend.kernel.LogFailure
import io.daisybend.kernel.LogRecord
import io.daisybend.kernel.ModelId
import io.daisybend.kernel.VmId
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.byte
import io.kotest.property.arbitrary.byteArray
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll

class LedgerFollowerTest : FunSpec({
    val records = (0 until 40).map { index ->
        val endpointId = EndpointId("engine-${index % 20}")
        if (index < 20) {
            val owner = OwnerId(VmId("vm-1"), "run-1")
            PlacementRecord.Claim(RecordId("c$index"), endpointId, owner, NO_FENCE, EndpointCapacity(100))
        } else {
            val artifact = Artifact(ModelId("model-$index"))
            PlacementRecord.DecideLoad(RecordId("l$index"), endpointId, index - 20L, artifact, 10, NO_REVISION)
        }
    }
    val log = records.mapIndexed { offset, record -> LogRecord(offset.toLong(), record.toPayload()) }

    fun batch(from: Int, stored: List<LogRecord> = log) =
        LogBatch(stored.drop(from), firstOffset = 0, nextOffset = stored.size.toLong())

    fun LedgerFollower.readAll() = handleBatch(nextRead(), batch(nextRead().fromOffset.toInt()))

    fun fullLedger() = LedgerFollower().also { it.readAll() }.ledger

    fun snapshotLog(payloads: List<ByteArray>) = payloads.mapIndexed { i, bytes -> LogRecord(i.toLong(), bytes) }

    test("a VM that starts after records have expired restores a snapshot and reaches the same ledger") {
        val partialLedger = PlacementLedger()
        records.take(30).forEachIndexed { offset, record -> partialLedger.apply(offset.toLong(), record) }
        val payloads = partialLedger.snapshot().toPayloads(RecordId("s1"), maxChunkBytes = 200)
        val follower = LedgerFollower()
        follower.handleReadFailure(follower.nextRead(), LogFailure.Expired(wantedOffset = 0, firstOffset = 25))
        follower.nextRead().stream shouldBe PLACEMENT_SNAPSHOT_STREAM
        follower.handleBatch(follower.nextRead(), batch(from = 0, stored = snapshotLog(payloads)))
        follower.nextRead() shouldBe FollowerRead(PLACEMENT_STREAM, fromOffset = 30)
        follower.isCaughtUp shouldBe false
        follower.readAll()
        follower.isCaughtUp shouldBe true
        follower.ledger.snapshot() shouldBe fullLedger().snapshot()
    }

    test("an incomplete snapshot or one older than the first kept record is not used") {
        val complete = fullLedger().snapshot().toPayloads(RecordId("s1"), maxChunkBytes = 200)
        val tooOld = PlacementLedger().snapshot().toPayloads(RecordId("s0"))
        val follower = LedgerFollower()
        follower.handleReadFailure(follower.nextRead(), LogFailure.Expired(wantedOffset = 0, firstOffset = 25))
        follower.handleBatch(follower.nextRead(), batch(from = 0, stored = snapshotLog(tooOld + complete.dropLast(1))))
        follower.nextRead().stream shouldBe PLACEMENT_SNAPSHOT_STREAM
        follower.isCaughtUp shouldBe false
    }

    test("a payload that is not a record is skipped and counted") {
        val malformed = listOf(LogRecord(0, byteArrayOf(1, 2, 3)))
        val follower = LedgerFollower()
        follower.handleBatch(follower.nextRead(), batch(from = 0, stored = malformed))
        follower.malformedRecords shouldBe 1
        follower.ledger.nextOffset shouldBe 1
    }

    test("random and corrupted payloads do not throw") {
        val follower = LedgerFollower()
        var offset = 0L
        fun handlePayload(payload: ByteArray) {
            val nextOffset = offset + 1
            follower.handleBatch(follower.nextRead(), LogBatch(listOf(LogRecord(offset, payload)), 0, nextOffset))
            offset = nextOffset
        }
        checkAll(PropTestConfig(seed = 3L, iterations = 3_000), Arb.byteArray(Arb.int(0, 60), Arb.byte())) {
            handlePayload(it)
        }
        checkAll(PropTestConfig(seed = 4L, iterations = 3_000), Arb.int(0, 39), Arb.int(0, 500), Arb.byte()) {
                recordIndex,
                byteIndex,
                byte,
            ->
            handlePayload(log[recordIndex].payload.copyOf().also { it[byteIndex % it.size] = byte })
        }
        follower.ledger.nextOffset shouldBe 6_000
    }
})
