package io.daisybend.rates

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrThrow
import io.daisybend.kernel.TeamId
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

class ShardTableTest : FunSpec({
    val shard = ShardId(TeamId("team"), 0)
    val first = HolderId(VmId("vm-a"), 1)
    val second = HolderId(VmId("vm-b"), 1)

    fun replay(vararg records: ShardRecord): ShardTable {
        val table = ShardTable.empty(nextOffset = 0, lostHistory = false)
        records.forEachIndexed { offset, record -> table.apply(offset.toLong(), record) }
        return table
    }

    fun claim(holder: HolderId, version: Long) = ShardRecord.Claimed(holder, 0, listOf(ShardClaim(shard, version)))

    test("the first of two competing claims wins") {
        replay(claim(first, -1), claim(second, -1)).shard(shard)?.holder shouldBe first
    }

    test("a claim that expects a version from before a renewal of the holder is ignored") {
        replay(claim(first, -1), ShardRecord.Renewed(first, 1), claim(second, 0)).shard(shard)?.holder shouldBe first
    }

    test("a claim to the shard of a holder with witnesses needs suspicions from half of them") {
        val witnessed = ShardRecord.Renewed(first, 1, witnesses = listOf(second))
        val suspected = ShardRecord.Suspected(second, 0, listOf(Suspicion(first, leaseOffset = 1)))
        replay(claim(first, -1), witnessed, claim(second, 1)).shard(shard)?.holder shouldBe first
        replay(claim(first, -1), witnessed, suspected, claim(second, 1)).shard(shard)?.holder shouldBe second
    }

    test("a delayed second release of a shard that was claimed again has no effect") {
        val release = ShardRecord.Released(first, 1, listOf(ShardRelease(shard, claimOffset = 0, 500)))
        replay(claim(first, -1), release, claim(first, 1), release).shard(shard)?.holder shouldBe first
    }

    test("a newer process on the same VM ends the lease of its predecessor") {
        replay(claim(first, -1), ShardRecord.Renewed(first.copy(incarnation = 2), 0)).shard(shard)?.holder shouldBe null
    }

    test("a replay from a snapshot reaches the same state as a replay from the beginning") {
        checkAll(PropTestConfig(seed = 1, iterations = 500), Arb.long()) { seed ->
            val random = Random(seed)
            val whole = ShardTable.empty(nextOffset = 0, lostHistory = false)
            var restored: ShardTable? = null
            repeat(60) { offset ->
                val record = randomRecord(random, whole)
                whole.apply(offset.toLong(), record)
                restored?.apply(offset.toLong(), record)
                if (offset == 30) restored = ShardTable.restore(encodeAndDecode(whole.snapshot()))
            }
            restored?.snapshot() shouldBe whole.snapshot()
        }
    }

    test("decoding malformed bytes returns a failure") {
        checkAll(PropTestConfig(seed = 1, iterations = 2_000), Arb.byteArray(Arb.int(0..40), Arb.byte())) { bytes ->
            decodeShardRecord(bytes + 0x1C).getError().shouldNotBeNull()
            decodeRateMessage(bytes + 0x1C).getError().shouldNotBeNull()
        }
    }
})

private fun encodeAndDecode(snapshot: ShardRecord.Snapshot) =
    decodeShardRecord(snapshot.encode()).getOrThrow { AssertionError(it.message) } as ShardRecord.Snapshot

private fun randomRecord(random: Random, table: ShardTable): ShardRecord? {
    val holder = HolderId(VmId("vm-${random.nextInt(3)}"), random.nextLong(1, 3))
    val shardId = ShardId(TeamId("team"), random.nextInt(3))
    val offset = table.shard(shardId)?.versionOffset ?: 0
    return when (random.nextInt(6)) {
        0 -> ShardRecord.Renewed(
            holder,
            random.nextLong(9),
            listOf(HolderId(VmId("vm-0"), 1), HolderId(VmId("vm-1"), 2)),
        )
        1 -> ShardRecord.Renewed(holder, random.nextLong(9))
        2 -> ShardRecord.Released(holder, 0, listOf(ShardRelease(shardId, offset, random.nextLong(9))))
        3 -> ShardRecord.Suspected(holder, 0, table.processesOn(listOf(VmId("vm-2"))).map { Suspicion(it, offset) })
        4 -> null
        else ->
            ShardRecord.Claimed(holder, 0, listOf(ShardClaim(shardId, table.versionOf(shardId), random.nextBoolean())))
    }
}
