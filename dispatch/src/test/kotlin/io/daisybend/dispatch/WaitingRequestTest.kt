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
    fun arrived() = WaitingRequest(DEADLINE_MS, random = Random(1)).also { it.handle(WaitEvent.Arrived, 0L) }

    test("every request is served or refused by its deadline, and every other grant is given back") {
        checkAll(PropTestConfig(seed = 1L, iterations = 5_000), Arb.long()) { seed ->
            val outcome = WaitSchedule(seed).run()
            outcome.ends shouldBe 1
            outcome.slotsTaken shouldBe outcome.served
        }
    }

    test("the owner that died with its queue is replaced by asking the new one") {
        val request = arrived()
        request.handle(WaitEvent.Queued(0, expectedAtMs = 900L), 10L)
        request.handle(WaitEvent.OwnerChanged, 500L) shouldContainExactly
            listOf(WaitAction.LeaveQueue(0), WaitAction.AskOwner(1))
    }

    test("an owner that is not heard of is asked again") {
        val request = arrived()
        request.handle(WaitEvent.Tick, 999L).shouldBeEmpty()
        request.handle(WaitEvent.Tick, 1_000L).last() shouldBe WaitAction.AskOwner(1)
    }

    test("a queue that is too long is refused early") {
        val refusal = WaitRefusal.TooLongQueue(expectedAtMs = DEADLINE_MS, deadlineMs = DEADLINE_MS)
        arrived().handle(WaitEvent.Queued(0, expectedAtMs = DEADLINE_MS), 10L).last() shouldBe
            WaitAction.Refuse(refusal)
    }

    test("a grant that was repeated on its way changes nothing, one of an earlier question is given back") {
        val request = arrived()
        request.handle(WaitEvent.OwnerChanged, 5L)
        request.handle(WaitEvent.Granted(1, endpointId), 10L) shouldBe listOf(WaitAction.Serve(endpointId))
        request.handle(WaitEvent.Granted(1, endpointId), 11L).shouldBeEmpty()
        request.handle(WaitEvent.Granted(0, endpointId), 12L) shouldBe listOf(WaitAction.GiveBack(0, endpointId))
    }
})

/** Owners that queue, grant, die with their queue and lose, delay and repeat messages. */
private class WaitSchedule(seed: Long) {
    private val random = Random(seed)
    private val request = WaitingRequest(DEADLINE_MS, random = Random(seed))
    private val messages = mutableListOf<WaitEvent>()
    private val queued = mutableListOf<Int>()
    private val taken = mutableSetOf<Int>()
    private var nowMs = 0L
    var ends = 0
        private set
    var served = 0
        private set
    val slotsTaken: Int get() = taken.size

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
            0 -> queued.clear()
            1 -> feed(WaitEvent.OwnerChanged)
            2 -> queued.removeFirstOrNull()?.let { grant(it) }
            in 3..6 -> feed(WaitEvent.Tick)
            else -> messages.randomOrNull(random)?.let { deliver(it) }
        }
    }

    private fun deliver(message: WaitEvent) {
        if (random.nextInt(10) > 0) messages.remove(message)
        feed(message)
    }

    private fun grant(ask: Int) {
        taken += ask
        messages += WaitEvent.Granted(ask, endpointId)
    }

    private fun feed(event: WaitEvent) = request.handle(event, nowMs).forEach { perform(it) }

    private fun perform(action: WaitAction) {
        when (action) {
            is WaitAction.AskOwner -> asked(action.ask)
            is WaitAction.Serve -> {
                check(nowMs < DEADLINE_MS) { "served at $nowMs ms, after the deadline" }
                ends++
                served++
            }
            is WaitAction.GiveBack -> taken -= action.ask
            is WaitAction.LeaveQueue -> queued -= action.ask
            is WaitAction.Refuse -> ends++
        }
    }

    private fun asked(ask: Int) {
        when (random.nextInt(4)) {
            0 -> Unit
            1 -> messages += WaitEvent.OwnerLost(ask)
            else -> {
                queued += ask
                messages += WaitEvent.Queued(ask, expectedAtMs = null)
            }
        }
    }
}
