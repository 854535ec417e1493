package io.daisybend.dispatch

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.daisybend.kernel.VmId
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.byte
import io.kotest.property.arbitrary.byteArray
import io.kotest.property.arbitrary.int
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.random.Random

private const val KEY_COUNT = 12
private val writer = GatewayIncarnation(VmId("vm-1"), startId = 1L)

class IntentIndexTest : FunSpec({
    fun key(number: Int) = RequestKey(number.toLong(), number.toLong())

    fun randomRecord(random: Random): IntentRecord {
        val key = key(random.nextInt(KEY_COUNT))
        val attemptId = AttemptId(writer, random.nextLong(KEY_COUNT * 3L))
        val response = StoredResponse(200, "text/plain", ByteArray(random.nextInt(40)))
        return when (random.nextInt(4)) {
            0 -> IntentRecord.Abandonment(key, attemptId)
            1 -> IntentRecord.Outcome(key, attemptId, StoredOutcome(ExecutionStatus.Completed, response))
            else -> IntentRecord.Intent(key, RequestFingerprint(0L, 0L), attemptId)
        }
    }

    test("a reader that starts from a checkpoint has the same state as a reader of the whole stream") {
        checkAll(PropTestConfig(seed = 4L, iterations = 2_000), Arb.long()) { seed ->
            val random = Random(seed)
            val retention = IntentRetention(keyRetentionMs = 2_000L, maxResponseBytes = 100L)
            val fullReader = IntentIndex(retention)
            val stream = mutableListOf<IntentBatch>()
            var remainingParts = emptyList<IntentRecord.CheckpointPart>()
            val firstRetained = random.nextInt(20)
            repeat(60) { step ->
                if (step == 25) remainingParts = fullReader.checkpoint(writer, entriesPerPart = 2)
                val records = List(random.nextInt(3)) { randomRecord(random) } + remainingParts.take(1)
                remainingParts = remainingParts.drop(1)
                val batch = decodeIntentBatch(encodeIntentBatch(IntentBatch(step * 50L, records))).get()
                stream += batch.shouldNotBeNull()
                fullReader.replay(batch)
            }
            val lateReader = IntentIndex(retention)
            lateReader.restartAt(firstRetained.toLong())
            stream.drop(firstRetained).forEach { lateReader.replay(it) }
            lateReader.isComplete shouldBe (firstRetained <= 25)
            (0 until KEY_COUNT).forEach { number ->
                lateReader.find(key(number))?.attemptId shouldBe fullReader.find(key(number))?.attemptId
                lateReader.find(key(number))?.outcome?.status shouldBe fullReader.find(key(number))?.outcome?.status
            }
        }
    }

    test("a reader without a checkpoint is incomplete until its first record reaches the key retention time") {
        val index = IntentIndex(IntentRetention(keyRetentionMs = 1_000L))
        index.restartAt(firstOffset = 7L)
        index.replay(IntentBatch(appendedAtMs = 100L, records = emptyList()))
        index.tryComplete(nowMs = 1_099L)
        index.isComplete shouldBe false
        index.tryComplete(nowMs = 1_100L)
        index.isComplete shouldBe true
    }

    test("bytes that are not a valid batch return a typed failure") {
        val bytes = Arb.byteArray(Arb.int(0, 200), Arb.byte())
        checkAll(PropTestConfig(seed = 5L, iterations = 5_000), bytes) { payload ->
            val result = decodeIntentBatch(payload)
            if (result.isErr) result.getError().shouldNotBeNull()
        }
    }

    test("the oldest responses are dropped when their total size exceeds the limit, and their keys stay") {
        val index = IntentIndex(IntentRetention(maxResponseBytes = 50L))
        (0 until 3).forEach { number ->
            val attemptId = AttemptId(writer, number.toLong())
            val outcome = StoredOutcome(ExecutionStatus.Completed, StoredResponse(200, "text/plain", ByteArray(20)))
            val records = listOf(
                IntentRecord.Intent(key(number), RequestFingerprint(0L, 0L), attemptId),
                IntentRecord.Outcome(key(number), attemptId, outcome),
            )
            index.replay(IntentBatch(appendedAtMs = 0L, records))
        }
        (0 until 3).map { index.find(key(it))?.outcome?.response != null } shouldBe listOf(false, true, true)
    }

    test("keys of different teams and routes differ even if their concatenated parts are equal") {
        val one = requestKeyOf(io.daisybend.kernel.TeamId("ab"), "c", "d")
        val other = requestKeyOf(io.daisybend.kernel.TeamId("a"), "bc", "d")
        (one == other) shouldBe false
    }
})
