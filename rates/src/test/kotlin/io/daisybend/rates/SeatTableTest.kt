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

class SeatTableTest : FunSpec({
    val seat = SeatId(TeamId("team"), 0)
    val first = HolderId(VmId("vm-a"), 1)
    val second = HolderId(VmId("vm-b"), 1)

    fun replay(vararg records: SeatRecord): SeatTable {
        val table = SeatTable.empty(nextOffset = 0, lostHistory = false)
        records.forEachIndexed { offset, record -> table.apply(offset.toLong(), record) }
        return table
    }

    fun claim(holder: HolderId, version: Long) = SeatRecord.Claimed(holder, 0, listOf(SeatClaim(seat, version)))

    test("the first of two claims wins") {
        replay(claim(first, -1), claim(second, -1)).seat(seat)?.holder shouldBe first
    }

    test("a claim made before the holder's renewal came in is void") {
        replay(claim(first, -1), SeatRecord.Renewed(first, 1), claim(second, 0)).seat(seat)?.holder shouldBe first
    }

    test("a claim against a holder with witnesses needs half of their suspicions") {
        val witnessed = SeatRecord.Renewed(first, 1, witnesses = listOf(second))
        val suspected = SeatRecord.Suspected(second, 0, listOf(Suspicion(first, leaseOffset = 1)))
        replay(claim(first, -1), witnessed, claim(second, 1)).seat(seat)?.holder shouldBe first
        replay(claim(first, -1), witnessed, suspected, claim(second, 1)).seat(seat)?.holder shouldBe second
    }

    test("a delayed second release of a seat that was claimed again has no effect") {
        val release = SeatRecord.Released(first, 1, listOf(SeatRelease(seat, claimOffset = 0, 500)))
        replay(claim(first, -1), release, claim(first, 1), release).seat(seat)?.holder shouldBe first
    }

    test("a newer process on the same VM ends the term of its predecessor") {
        replay(claim(first, -1), SeatRecord.Renewed(first.copy(incarnation = 2), 0)).seat(seat)?.holder shouldBe null
    }

    test("every later start from a snapshot reaches the same state") {
        checkAll(PropTestConfig(seed = 1, iterations = 500), Arb.long()) { seed ->
            val random = Random(seed)
            val whole = SeatTable.empty(nextOffset = 0, lostHistory = false)
            var restored: SeatTable? = null
            repeat(60) { offset ->
                val record = randomRecord(random, whole)
                whole.apply(offset.toLong(), record)
                restored?.apply(offset.toLong(), record)
                if (offset == 30) restored = SeatTable.restore(throughBytes(whole.snapshot()))
            }
            restored?.snapshot() shouldBe whole.snapshot()
        }
    }

    test("malformed bytes are a typed failure") {
        checkAll(PropTestConfig(seed = 1, iterations = 2_000), Arb.byteArray(Arb.int(0..40), Arb.byte())) { bytes ->
            decodeSeatRecord(bytes + 0x1C).getError().shouldNotBeNull()
            decodeRateMessage(bytes + 0x1C).getError().shouldNotBeNull()
        }
    }
})

private fun throughBytes(snapshot: SeatRecord.Snapshot) =
    decodeSeatRecord(snapshot.encode()).getOrThrow { AssertionError(it.message) } as SeatRecord.Snapshot

private fun randomRecord(random: Random, table: SeatTable): SeatRecord? {
    val holder = HolderId(VmId("vm-${random.nextInt(3)}"), random.nextLong(1, 3))
    val seatId = SeatId(TeamId("team"), random.nextInt(3))
    val offset = table.seat(seatId)?.versionOffset ?: 0
    return when (random.nextInt(6)) {
        0 -> SeatRecord.Renewed(
            holder,
            random.nextLong(9),
            listOf(HolderId(VmId("vm-0"), 1), HolderId(VmId("vm-1"), 2)),
        )
        1 -> SeatRecord.Renewed(holder, random.nextLong(9))
        2 -> SeatRecord.Released(holder, 0, listOf(SeatRelease(seatId, offset, random.nextLong(9))))
        3 -> SeatRecord.Suspected(holder, 0, table.processesOn(listOf(VmId("vm-2"))).map { Suspicion(it, offset) })
        4 -> null
        else -> SeatRecord.Claimed(holder, 0, listOf(SeatClaim(seatId, table.versionOf(seatId), random.nextBoolean())))
    }
}
