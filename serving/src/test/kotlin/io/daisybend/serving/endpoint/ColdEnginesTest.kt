package io.daisybend.serving.endpoint

import io.daisybend.serving.site.ColdStart
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import kotlin.random.Random

private const val PER_SECOND = 6.5

/** Most requests in a second: [PER_SECOND] x `bounds.coldOver` 1.5 + `bounds.coldSlack` 5. */
private const val BOUND = 14.75

private fun entry(bornMs: Long = 1, coldLeftMs: Long = 0) = entry("e-1", bornMs = bornMs).copy(coldLeftMs = coldLeftMs)

private fun endpointOf(entry: EndpointEntry) =
    EndpointTable().also { it.put(entry, nowMs = 0) }.find(entry.incarnation.id) ?: error("not listed")

/** Returns the cold endpoints of [vm], which knows [vms] and has run for long. */
private fun coldEngines(vm: String, vms: Set<String>?, coldStart: ColdStart = ColdStart(3_000, PER_SECOND)) =
    ColdEngines(vm).apply {
        configure(mapOf("s" to coldStart))
        setVms(vms)
    }

/** A fleet whose VMs each want to send ten requests a second to one endpoint. */
private class Fleet(val vms: List<ColdEngines>, private val random: Random) {
    val sentAtMs = ArrayList<Long>()
    private val nextAtMs = LongArray(vms.size) { random.nextLong(100) }
    private val writes = ArrayList<Triple<Int, Long, Long>>()

    /** Runs from [fromMs] to [untilMs]; opening a connection takes up to [connectMs]. */
    fun run(endpoint: Endpoint, fromMs: Long, untilMs: Long, connectMs: Long = 0, isFrozen: (Int, Long) -> Boolean) {
        for (nowMs in fromMs until untilMs) {
            val due = writes.filter { (vm, _, atMs) -> atMs <= nowMs && !isFrozen(vm, nowMs) }
            writes.removeAll(due)
            due.forEach { (vm, takenAtMs, _) ->
                if (vms[vm].maySend(endpoint, takenAtMs, nowMs)) {
                    sentAtMs.add(nowMs)
                } else {
                    vms[vm].giveBack(endpoint, takenAtMs)
                }
            }
            vms.indices.filter { nextAtMs[it] <= nowMs && !isFrozen(it, nowMs) }.forEach { vm ->
                nextAtMs[vm] = nowMs + random.nextLong(1, 200)
                if (vms[vm].take(endpoint, nowMs)) writes.add(Triple(vm, nowMs, nowMs + random.nextLong(connectMs + 1)))
            }
        }
    }

    fun mostInASecond(): Int {
        var from = 0
        return sentAtMs.indices.maxOfOrNull { to ->
            while (sentAtMs[to] - sentAtMs[from] >= 1_000) from++
            to - from + 1
        } ?: 0
    }
}

class ColdEnginesTest : FunSpec({
    val names = (1..70).map { "vm-$it" }

    // A cold endpoint crashes under more; the target is what it takes, the bound is what the platform tolerates.
    test("70 VMs that hear nobody send a cold endpoint no more than it takes, also when connections are slow") {
        repeat(20) { seed ->
            val fleet = Fleet(names.map { coldEngines(it, names.toSet()) }, Random(seed))
            fleet.vms.forEach { it.onListed(entry(coldLeftMs = 60_000), isFirstRead = true, nowMs = 0) }
            fleet.run(endpointOf(entry()), 0, 5_000, connectMs = 400) { _, _ -> false }
            withClue("seed $seed") {
                fleet.mostInASecond() shouldBeLessThanOrEqual 6
                fleet.sentAtMs.size shouldBeGreaterThanOrEqual 20
            }
        }
    }

    test("VMs that stand still and go on with what they had chosen stay within the share") {
        repeat(10) { seed ->
            val fleet = Fleet(names.map { coldEngines(it, names.toSet()) }, Random(seed))
            fleet.vms.forEach { it.onListed(entry(coldLeftMs = 60_000), isFirstRead = true, nowMs = 0) }
            fleet.run(endpointOf(entry()), 0, 6_000, connectMs = 400) { _, now -> now in 1_500..3_500 }
            fleet.mostInASecond() shouldBeLessThanOrEqual 6
        }
    }

    test("the sum stays below the bound while up to 8 of 75 VMs are missing from the lists of some") {
        val all = (1..75).map { "vm-$it" }
        repeat(200) { seed ->
            val random = Random(seed)
            // Lists grow one VM after the other, so the older ones are parts of the newer ones.
            val missing = all.shuffled(random).take(8)
            val fleet = Fleet(all.map { vm -> coldEngines(vm, all.toSet() - missing.take(random.nextInt(9))) }, random)
            fleet.vms.forEach { it.onListed(entry(coldLeftMs = 60_000), isFirstRead = true, nowMs = 0) }
            fleet.run(endpointOf(entry()), 0, 1_200) { _, _ -> false }
            withClue("seed $seed") { fleet.mostInASecond().toDouble() shouldBeLessThanOrEqual BOUND }
        }
    }

    test("each size of the fleet has shares that add up to no more than the endpoint takes") {
        for (vmCount in 1..400) {
            for (perSecond in listOf(0.2, 0.9, 1.0, 2.7, 6.5, 30.0)) {
                val share = ColdShare.of(perSecond, vmCount)
                share.requests * share.senders * 1_000.0 / share.windowMs shouldBeLessThanOrEqual perSecond
            }
        }
        ColdShare.of(0.2, 75) shouldBe ColdShare(senders = 1, requests = 1, windowMs = 5_000)
        ColdShare.of(6.5, 3) shouldBe ColdShare(senders = 3, requests = 2, windowMs = 1_000)
    }

    test("a VM that has not read the list of VMs has no share, and waits until the endpoint is warm") {
        val cold = coldEngines("vm-1", vms = null)
        cold.onListed(entry(coldLeftMs = 900), isFirstRead = true, nowMs = 100)
        val endpoint = endpointOf(entry())
        cold.waitMs(endpoint, nowMs = 300) shouldBe 700
        cold.take(endpoint, nowMs = 300) shouldBe false
        cold.take(endpoint, nowMs = 1_000) shouldBe true
    }

    test("a new incarnation is cold and has a share of its own, but not at the start of the VM") {
        val cold = coldEngines("vm-1", setOf("vm-1"))
        cold.onListed(entry(bornMs = 1), isFirstRead = true, nowMs = 0)
        cold.leftMs(endpointOf(entry(bornMs = 1)), nowMs = 1) shouldBe 0
        cold.onListed(entry(bornMs = 2), isFirstRead = false, nowMs = 5_000)
        val second = endpointOf(entry(bornMs = 2))
        cold.leftMs(second, nowMs = 5_500) shouldBe 2_500
        repeat(6) { cold.take(second, nowMs = 5_500) shouldBe true }
        cold.take(second, nowMs = 5_600) shouldBe false
        // Listed again, as after the store was back from an older copy: the cold time is the same.
        cold.onListed(entry(bornMs = 2), isFirstRead = false, nowMs = 6_000)
        cold.leftMs(second, nowMs = 6_000) shouldBe 2_000
        cold.onListed(entry(bornMs = 3), isFirstRead = false, nowMs = 6_000)
        cold.take(endpointOf(entry(bornMs = 3)), nowMs = 6_000) shouldBe true
        cold.waitMs(second, nowMs = 6_000) shouldBeInRange 400L..600L
    }

    test("requests that were sent before an endpoint turned out to be cold count") {
        val cold = coldEngines("vm-1", setOf("vm-1"))
        val endpoint = endpointOf(entry())
        cold.onListed(entry(), isFirstRead = true, nowMs = 0)
        repeat(50) { cold.take(endpoint, nowMs = 10L * it) shouldBe true }
        cold.onListed(entry(coldLeftMs = 5_000), isFirstRead = false, nowMs = 500)
        cold.take(endpoint, nowMs = 500) shouldBe false
        cold.maySend(endpoint, takenAtMs = 490, nowMs = 500) shouldBe true
        cold.waitMs(endpoint, nowMs = 500) shouldBeInRange 900L..1_001L
    }

    test("an endpoint is cold after a lost connection until its incarnation is confirmed, and after an evacuation") {
        val cold = coldEngines("vm-1", setOf("vm-1"), ColdStart(20_000, PER_SECOND))
        val endpoint = endpointOf(entry())
        cold.onListed(entry(), isFirstRead = true, nowMs = 0)
        cold.onConnectionLost(endpoint, nowMs = 1_000)
        // This entry may have been written before the connection was lost.
        cold.onListed(entry(), isFirstRead = false, nowMs = 2_000)
        cold.leftMs(endpoint, nowMs = 2_000) shouldBe 19_000
        cold.onListed(entry(), isFirstRead = false, nowMs = 4_000)
        cold.leftMs(endpoint, nowMs = 4_000) shouldBe 0
        cold.onEvacuationEnded(listOf(endpoint), nowMs = 10_000)
        cold.leftMs(endpoint, nowMs = 12_000) shouldBe 18_000
    }

    test("a request that was not written gives its share back, and one that was written does not") {
        val cold = coldEngines("vm-1", (1..6).map { "vm-$it" }.toSet(), ColdStart(3_000, 6.5))
        val endpoint = endpointOf(entry())
        cold.onListed(entry(coldLeftMs = 9_000), isFirstRead = true, nowMs = 0)
        cold.take(endpoint, nowMs = 0) shouldBe true
        cold.take(endpoint, nowMs = 10) shouldBe false
        cold.giveBack(endpoint, takenAtMs = 0)
        cold.take(endpoint, nowMs = 20) shouldBe true
        cold.maySend(endpoint, takenAtMs = 20, nowMs = 300) shouldBe true
        // The request counts from when it was written.
        cold.waitMs(endpoint, nowMs = 1_021) shouldBe 280
    }

    test("services without a cold start are never cold") {
        val cold = ColdEngines("vm-1")
        cold.onListed(entry(coldLeftMs = 60_000), isFirstRead = false, nowMs = 0)
        cold.isInUse shouldBe false
        cold.take(endpointOf(entry()), nowMs = 0) shouldBe true
    }

    test("the list of VMs counts once it has settled, and outlasts a store from an older copy for a while") {
        val known = KnownVms("vm-1")
        known.current(listOf("vm-2"), nowMs = 0) shouldBe null
        known.onList(listOf("vm-1", "vm-3"), nowMs = 0)
        known.current(listOf("vm-2"), nowMs = 1_999) shouldBe null
        known.current(listOf("vm-2"), nowMs = 2_000) shouldBe setOf("vm-1", "vm-2", "vm-3")
        known.onList(listOf("vm-1"), nowMs = 10_000)
        known.current(emptyList(), nowMs = 10_000) shouldBe setOf("vm-1", "vm-3")
        known.onList(listOf("vm-1"), nowMs = 70_000)
        known.current(emptyList(), nowMs = 70_000) shouldBe setOf("vm-1")
    }
})
