package io.daisybend.serving.endpoint

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe

private val noTokens = Reservation(0, 0)

private class BrittleVm(vmCount: Int, endpointCount: Int = 2, slots: Int = 6, isInTouch: Boolean = true) {
    val changes = ArrayList<Pair<String, Int?>>()
    val table = EndpointTable().apply {
        repeat(endpointCount) {
            val id = Incarnation("e-$it", 1)
            put(EndpointEntry(id, "s", "h", it, "north", slots, isDraining = false, holdings = null), 0)
        }
    }
    val endpoints = table.ofService("s")
    val fleet = BrittleFleet((1..vmCount).mapTo(HashSet()) { "vm-$it" }, isSettled = true, isInTouch, reportMs = 250)
    var peersInFlight = 0
    val engines = BrittleEngines("vm-1", table::ofService, { peersInFlight }) { service, limit ->
        changes.add(service to limit)
    }.apply { setFleet(fleet, 0) }

    /** Sends to [endpoint] until it gets no more, with [pauseMs] in between; returns the number and the time. */
    fun fill(endpoint: Endpoint, fromMs: Long, pauseMs: Long = 60): Pair<Int, Long> {
        var now = fromMs
        while (engines.take(endpoint, now)) {
            table.onExchangeStarted(endpoint, noTokens)
            engines.onBegun(endpoint, now)
            engines.maySend(endpoint, now, now) shouldBe true
            now += pauseMs
        }
        return endpoint.inFlight to now
    }
}

class BrittleEnginesTest : FunSpec({
    test("one answer makes all endpoints of the service brittle, and one without the header ends that") {
        val vm = BrittleVm(vmCount = 3)
        repeat(100) { vm.engines.take(vm.endpoints[1], 0) shouldBe true }
        vm.engines.onAnswer(vm.endpoints[0], 2, 0)
        vm.fill(vm.endpoints[1], 10).first shouldBe 2
        vm.engines.onAnswer(vm.endpoints[0], null, 500)
        vm.engines.take(vm.endpoints[1], 500) shouldBe true
        vm.changes shouldBe listOf("s" to 2, "s" to null)
    }

    test("a VM that hears of it by a report alone keeps to its share, and does not pass the report on as its own") {
        val vm = BrittleVm(vmCount = 3)
        vm.engines.onPeerReport("vm-2", listOf(BrittleService("s", 2, saidAgoMs = 100, isActive = true)), 0)
        vm.fill(vm.endpoints[0], 10).first shouldBe 2
        vm.engines.reports(20) shouldBe listOf(BrittleService("s", 2, saidAgoMs = null, isActive = true))
    }

    // Its waiting requests would all arrive at once.
    test("a VM that has had no answer for long asks with one request before it sends others") {
        val vm = BrittleVm(vmCount = 9, endpointCount = 1)
        vm.engines.onAnswer(vm.endpoints[0], 1, 0)
        vm.engines.removeExpired(10_000)
        vm.fill(vm.endpoints[0], 10_000).first shouldBe 1
        vm.engines.onAnswer(vm.endpoints[0], null, 11_000)
        vm.engines.isBrittle("s") shouldBe false
    }

    test("the shares of all VMs add up to the slots and the limit, and in a small fleet each VM has a slot") {
        val fleets = listOf(Triple(3, 6, 3), Triple(9, 6, 3), Triple(9, 6, 1), Triple(9, 64, 10), Triple(360, 64, 3))
        for ((vmCount, slots, limit) in fleets) {
            val endpoints = BrittleVm(vmCount, endpointCount = 12, slots).endpoints
            val names = (1..vmCount).mapTo(HashSet()) { "vm-$it" }
            val shares = names.map { BrittleShares.of(endpoints, names, it, limit) }
            endpoints.forEach { endpoint ->
                val each = shares.map { it.of(endpoint.incarnation)!! }
                each.sumOf { it.slots } shouldBeInRange slots..slots + limit
                each.sumOf { it.turnedAway } shouldBe limit
            }
            if (vmCount > slots + limit) continue
            shares.forEach { share ->
                endpoints.sumOf { share.of(it.incarnation)!!.slots } shouldBeGreaterThanOrEqual 1
            }
        }
    }

    test("after a request was turned away the next one waits until this VM's part allows it") {
        val vm = BrittleVm(vmCount = 3)
        val endpoint = vm.endpoints[0]
        vm.engines.onAnswer(endpoint, 3, 0)
        vm.engines.take(endpoint, 0) shouldBe true
        vm.engines.onTurnedAway(endpoint, 0, 5)
        vm.engines.waitMs(endpoint, 6) shouldBeInRange 1_000L..1_100L
        vm.engines.mayHaveFallen(endpoint, 1_000) shouldBe true
        vm.engines.waitMs(endpoint, 1_200) shouldBe 0
        // With a limit of 1, two of three VMs have no part, and each may have one turned away in three seconds.
        vm.engines.onAnswer(endpoint, 1, 1_200)
        val pausesMs = vm.endpoints.map {
            vm.engines.onTurnedAway(it, 0, 1_300)
            vm.engines.waitMs(it, 1_300)
        }
        pausesMs.max() shouldBeGreaterThan 1_000
    }

    test("a VM in touch uses most of an endpoint that the others leave free, some time after its first request") {
        val vm = BrittleVm(vmCount = 3, slots = 64)
        vm.engines.onAnswer(vm.endpoints[0], 3, 0)
        val (atFirst, now) = vm.fill(vm.endpoints[0], 0, pauseMs = 1)
        atFirst shouldBeLessThanOrEqual 22
        vm.engines.waitMs(vm.endpoints[0], now + 500) shouldBe 25
        vm.fill(vm.endpoints[0], now + 999).first shouldBeInRange 56..60
        vm.peersInFlight = 10
        vm.engines.take(vm.endpoints[0], now + 4_000) shouldBe false
    }

    test("a VM that has just started has one request in flight at the service") {
        val vm = BrittleVm(vmCount = 3)
        vm.engines.setFleet(vm.fleet.copy(isSettled = false), 0)
        vm.engines.onAnswer(vm.endpoints[0], 3, 0)
        vm.fill(vm.endpoints[0], 0).first shouldBe 1
        vm.fill(vm.endpoints[1], 100).first shouldBe 0
    }

    test("a VM out of touch keeps to its share") {
        val vm = BrittleVm(vmCount = 3, isInTouch = false)
        vm.engines.onAnswer(vm.endpoints[0], 3, 0)
        vm.fill(vm.endpoints[0], 0)
        vm.fill(vm.endpoints[0], 900).first shouldBe 2
    }

    test("while VMs may know different lists the smaller share counts") {
        val vm = BrittleVm(vmCount = 6, isInTouch = false)
        vm.engines.onAnswer(vm.endpoints[0], 3, 0)
        vm.engines.setFleet(vm.fleet.copy(vms = setOf("vm-1", "vm-2")), 100)
        vm.fill(vm.endpoints[0], 100).first shouldBe 1
        vm.engines.setFleet(vm.fleet.copy(vms = setOf("vm-1", "vm-2")), 4_200)
        vm.engines.onAnswer(vm.endpoints[0], 3, 4_200)
        vm.fill(vm.endpoints[0], 4_200).first shouldBe 3
    }

    // All waiting requests would meet an endpoint that is just back.
    test("an endpoint that is back after its fall gets no more than the share") {
        val vm = BrittleVm(vmCount = 3)
        vm.engines.onAnswer(vm.endpoints[0], 3, 0)
        vm.table.put(vm.endpoints[0].entry.copy(incarnation = Incarnation("e-0", 2)), 100)
        vm.fill(vm.table.find("e-0")!!, 200).first shouldBe 2
    }
})
