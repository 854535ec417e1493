package io.daisybend.rates

import io.daisybend.kernel.VmId
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.random.Random

class ShardBucketTest : FunSpec({
    fun bucket(balance: Long = 100) =
        ShardBucket(ShardLimits(refillMicroTokensPerMs = 1, 100), balance, refillFromMs = 0)

    fun grantId(number: Long) = GrantId(HolderId(VmId("requester"), 1), number)

    test("refills up to its capacity") {
        bucket(balance = 0).balanceMicroTokens(nowMs = 30) shouldBe 30
        bucket(balance = 0).balanceMicroTokens(nowMs = 500) shouldBe 100
    }

    test("does not refill above the capacity less the outstanding grants") {
        val bucket = bucket()
        bucket.grant(grantId(1), wantedMicroTokens = 60, expiresAtMs = 1_000, nowMs = 0) shouldBe 60
        bucket.balanceMicroTokens(nowMs = 900) shouldBe 40
        bucket.balanceMicroTokens(nowMs = 1_050) shouldBe 40
        bucket.balanceMicroTokens(nowMs = 1_080) shouldBe 70
    }

    test("answers a repeated request without taking more tokens") {
        val bucket = bucket()
        bucket.grant(grantId(1), 60, expiresAtMs = 1_000, nowMs = 0) shouldBe 60
        bucket.grant(grantId(1), 60, expiresAtMs = 1_000, nowMs = 0) shouldBe 60
        bucket.balanceMicroTokens(nowMs = 0) shouldBe 40
    }

    test("restores tokens that are returned at once") {
        val bucket = bucket()
        bucket.grant(grantId(1), 60, expiresAtMs = 1_000, nowMs = 0)
        bucket.confirm(grantId(1), nowMs = 0)
        bucket.settle(grantId(1), returnedMicroTokens = 50, nowMs = 0)
        bucket.balanceMicroTokens(nowMs = 0) shouldBe 90
    }

    test("accepts a return only once") {
        val bucket = bucket()
        bucket.grant(grantId(1), 60, expiresAtMs = 1_000, nowMs = 0)
        repeat(2) { bucket.settle(grantId(1), returnedMicroTokens = 20, nowMs = 0) }
        bucket.balanceMicroTokens(nowMs = 0) shouldBe 60
    }

    test("does not restore tokens that the refill has replaced") {
        val bucket = bucket()
        bucket.grant(grantId(1), 100, expiresAtMs = 1_000, nowMs = 0)
        bucket.confirm(grantId(1), nowMs = 0)
        bucket.grant(grantId(2), 100, expiresAtMs = 1_000, nowMs = 100) shouldBe 100
        bucket.settle(grantId(1), returnedMicroTokens = 90, nowMs = 101)
        bucket.balanceMicroTokens(nowMs = 101) shouldBe 0
    }

    test("smaller limits take effect at once") {
        val bucket = bucket()
        bucket.changeLimits(ShardLimits(refillMicroTokensPerMs = 1, capacityMicroTokens = 10), nowMs = 0)
        bucket.balanceMicroTokens(nowMs = 500) shouldBe 10
    }

    test("spends no more than a bucket that knows the use of each request in advance") {
        checkAll(PropTestConfig(seed = 1, iterations = 2_000), Arb.long()) { seed ->
            largestScheduleExcess(seed, restoresEveryReturn = false).shouldBeLessThanOrEqual(0)
        }
    }

    test("a bucket that restores every return spends more than one that knows the use in advance") {
        (1L..200L).firstOrNull { largestScheduleExcess(it, restoresEveryReturn = true) > 0 }.shouldNotBeNull()
    }
})

/**
 * Takes as many tokens as a [ShardBucket], or a bucket that restores every return, allows. Returns the largest amount
 * by which the net use of any interval exceeds the capacity plus the refill in it.
 */
private fun largestScheduleExcess(seed: Long, restoresEveryReturn: Boolean): Long {
    val random = Random(seed)
    val limits = ShardLimits(refillMicroTokensPerMs = 3, capacityMicroTokens = 1_000)
    val bucket = ShardBucket(limits, 1_000, refillFromMs = 0)
    val restoring = RestoreAllBucket(limits)
    val spent = ArrayList<LongArray>()
    val open = HashMap<Long, Long>()
    var largest = Long.MIN_VALUE
    for (nowMs in 0L..2_000L step 20) {
        val number = nowMs / 20
        val wanted = random.nextLong(1, 700)
        val granted = if (restoresEveryReturn) {
            restoring.take(wanted, nowMs)
        } else {
            bucket.grant(grantIdOf(number), wanted, expiresAtMs = nowMs + 1_000, nowMs = nowMs)
        }
        spent += longArrayOf(nowMs, granted)
        largest = maxOf(largest, largestExcess(spent, nowMs, limits))
        if (granted > 0) open[number] = granted
        if (random.nextBoolean()) bucket.confirm(grantIdOf(number), nowMs)
        open.keys.filter { random.nextInt(10) == 0 }.forEach { settled ->
            val returned = random.nextLong(open.getValue(settled) + 1)
            open.remove(settled)
            if (restoresEveryReturn) restoring.refund(returned) else bucket.settle(grantIdOf(settled), returned, nowMs)
            spent[settled.toInt()][1] -= returned
        }
    }
    return largest
}

private fun largestExcess(spent: List<LongArray>, nowMs: Long, limits: ShardLimits): Long {
    var sum = 0L
    return spent.asReversed().maxOf { (atMs, amount) ->
        sum += amount
        sum - limits.capacityMicroTokens - (nowMs - atMs) * limits.refillMicroTokensPerMs
    }
}

private class RestoreAllBucket(private val limits: ShardLimits) {
    private var balance = limits.capacityMicroTokens
    private var refilledToMs = 0L

    fun take(wanted: Long, nowMs: Long): Long {
        val refill = (nowMs - refilledToMs) * limits.refillMicroTokensPerMs
        balance = minOf(limits.capacityMicroTokens, balance + refill)
        refilledToMs = nowMs
        return minOf(balance, wanted).also { balance -= it }
    }

    fun refund(amount: Long) {
        balance = minOf(limits.capacityMicroTokens, balance + amount)
    }
}

private fun grantIdOf(number: Long) = GrantId(HolderId(VmId("requester"), 1), number)
