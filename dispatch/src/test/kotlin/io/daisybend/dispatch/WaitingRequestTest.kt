package io.daisybend.dispatch

import io.daisybend.kernel.EndpointId
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.random.Random

private const val DEADLINE_MS = 5_000L
private val endpointId = EndpointId("engine-1")

class WaitingRequestTest : FunSpec({
    fun arrivedRequest() = WaitingRequest(DEADLINE_MS, random = Random(1)).also { it.handle(WaitEvent.Arrived, 0L) }

    test("every request is served or refused once by its deadline, and every other granted slot is released") {
        checkAll(PropTestConfig(seed = 1L, iterations = 5_000), Arb.long()) { seed ->
            val schedule = WaitSchedule(seed).run()
            schedule.endCount shouldBe 1
            schedule.heldSlotCount shouldBe schedule.servedCount
        }
    }

    test("a change of owner makes the request leave the old queue and request a slot from the new owner") {
        val request = arrivedRequest()
        request.handle(WaitEvent.Queued(0, expectedAtMs = 900L), 10L)
        request.handle(WaitEvent.OwnerChanged, 500L) shouldContainExactly
            listOf(WaitAction.LeaveQueue(0), WaitAction.RequestSlot(1))
    }

    test("a slot is requested again if the owner does not respond in time") {
        val request = arrivedRequest()
        request.handle(WaitEvent.Tick, 999L).shouldBeEmpty()
        request.handle(WaitEvent.Tick, 1_000L).last() shouldBe WaitAction.RequestSlot(1)
    }

    test("a request is refused early if the expected wait exceeds its deadline") {
        val refusal = WaitRefusal.QueueTooLong(expectedAtMs = DEADLINE_MS, deadlineMs = DEADLINE_MS)
        arrivedRequest().handle(WaitEvent.Queued(0, expectedAtMs = DEADLINE_MS), 10L).last() shouldBe
            WaitAction.Refuse(refusal)
    }

    test("a duplicate grant has no effect, and a slot granted to an earlier slot request is released") {
        val request = arrivedRequest()
        request.handle(WaitEvent.OwnerChanged, 5L)
        request.handle(WaitEvent.Granted(1, endpointId), 10L) shouldBe listOf(WaitAction.Serve(endpointId))
        request.handle(WaitEvent.Granted(1, endpointId), 11L).shouldBeEmpty()
        request.handle(WaitEvent.Granted(0, endpointId), 12L) shouldBe listOf(WaitAction.ReleaseSlot(0, endpointId))
    }
})

/** Runs one request against owners that may lose their queue; messages may be lost, delayed or duplicated. */
private class WaitSchedule(seed: Long) {
    private val random = Random(seed)
    private val request = WaitingRequest(DEADLINE_MS, random = Random(seed))
    private val messages = mutableListOf<WaitEvent>()
    private val queuedSlotRequestIds = mutableListOf<Int>()
    private val heldSlots = mutableSetOf<Int>()
    private var nowMs = 0L
    var endCount = 0
        private set
    var servedCount = 0
        private set
    val heldSlotCount: Int get() = heldSlots.size

    fun run(): WaitSchedule {
        feed(WaitEvent.Arrived)
        while (nowMs <= DEADLINE_MS + 200L) step()
        feed(WaitEvent.Tick)
        while (messages.isNotEmpty()) feed(messages.removeAt(0))
        return this
    }

    private fun step() {
        nowMs += random.nextLong(60L)
        when (random.nextInt(12)) {
            0 -> queuedSlotRequestIds.clear()
            1 -> feed(WaitEvent.OwnerChanged)
            2 -> queuedSlotRequestIds.removeFirstOrNull()?.let { grant(it) }
            in 3..6 -> feed(WaitEvent.Tick)
            else -> messages.randomOrNull(random)?.let { deliver(it) }
        }
    }

    private fun deliver(message: WaitEvent) {
        if (random.nextInt(10) > 0) messages.remove(message)
        feed(message)
    }

    private fun grant(slotRequestId: Int) {
        heldSlots += slotRequestId
        messages += WaitEvent.Granted(slotRequestId, endpointId)
    }

    private fun feed(event: WaitEvent) = request.handle(event, nowMs).forEach { perform(it) }

    private fun perform(action: WaitAction) {
        when (action) {
            is WaitAction.RequestSlot -> onSlotRequested(action.slotRequestId)
            is WaitAction.Serve -> {
                check(nowMs < DEADLINE_MS) { "expected a start before the deadline, served at $nowMs ms" }
                endCount++
                servedCount++
            }
            is WaitAction.ReleaseSlot -> heldSlots -= action.slotRequestId
            is WaitAction.LeaveQueue -> queuedSlotRequestIds -= action.slotRequestId
            is WaitAction.Refuse -> endCount++
        }
    }

    private fun onSlotRequested(slotRequestId: Int) {
        when (random.nextInt(4)) {
            0 -> Unit
            1 -> messages += WaitEvent.OwnerUnavailable(slotRequestId)
            else -> {
                queuedSlotRequestIds += slotRequestId
                messages += WaitEvent.Queued(slotRequestId, expectedAtMs = null)
            }
        }
    }
}
