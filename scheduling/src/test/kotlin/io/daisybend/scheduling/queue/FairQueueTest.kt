package io.daisybend.scheduling.queue

import io.daisybend.kernel.RequestId
import io.daisybend.kernel.TeamId
import io.daisybend.scheduling.PriorityClass
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.random.Random

private const val DISTANT_DEADLINE_MS = 1_000_000_000L

private fun request(
    id: Int,
    team: String,
    priorityClass: PriorityClass = PriorityClass.INTERACTIVE,
    costTokens: Long = 1_000,
    deadlineMs: Long = DISTANT_DEADLINE_MS + id,
    shareWeight: Int = 1,
) = QueuedRequest(RequestId("r-$id"), TeamId(team), priorityClass, costTokens, deadlineMs, shareWeight)

private fun List<QueueAction>.dispatched() = filterIsInstance<QueueAction.Dispatch>().map { it.request }

/** Returns the share of [teamId] in the tokens of [served]. */
private fun shareOf(teamId: TeamId, served: List<QueuedRequest>): Double =
    served.filter { it.teamId == teamId }.sumOf { it.costTokens }.toDouble() / served.sumOf { it.costTokens }

class FairQueueTest : FunSpec({
    val oneSlot = FairQueueSettings(maxConcurrentRequests = 1, reservedInteractiveSlots = 0)

    test("under random schedules every request ends once, and slots are neither exceeded nor idle with work waiting") {
        checkAll(PropTestConfig(seed = 11L, iterations = 2_000), Arb.long()) { seed ->
            QueueSchedule(Random(seed)).run()
        }
    }

    test("the dispatch order equals that of a reference queue that scans all waiting requests") {
        checkAll(PropTestConfig(seed = 12L, iterations = 1_000), Arb.long()) { seed ->
            val random = Random(seed)
            val queue = FairQueue(oneSlot)
            val reference = ScanningFairQueue(
                mapOf(
                    PriorityClass.INTERACTIVE to oneSlot.interactiveWeight,
                    PriorityClass.BATCH to oneSlot.batchWeight,
                ),
            )
            val requests = List(40) { id ->
                request(
                    id = id,
                    team = "team-${random.nextInt(4)}",
                    priorityClass = PriorityClass.entries.random(random),
                    costTokens = random.nextLong(1, 5_000),
                )
            }
            val order = ArrayList<QueuedRequest>()
            requests.forEach { order += queue.handle(QueueEvent.Arrived(it), 0).dispatched() }
            repeat(40) { index ->
                val running = order.getOrNull(index) ?: return@repeat
                val finished = QueueEvent.Finished(running.requestId, running.costTokens)
                order += queue.handle(finished, 0).dispatched()
            }
            reference.add(requests.first())
            val expected = arrayListOf(checkNotNull(reference.next()))
            requests.drop(1).forEach(reference::add)
            expected += generateSequence { reference.next() }
            order.map { it.requestId } shouldContainExactly expected.map { it.requestId }
        }
    }

    test("teams with a backlog share tokens by weight, regardless of the number and size of their requests") {
        val queue = FairQueue(oneSlot)
        val requests = List(900) { request(it, "large", costTokens = 2_000) } +
            List(300) { request(1_000 + it, "small", costTokens = 500) }
        val served = serveAll(queue, requests, steps = 400)
        val servedWhileBothWait = served.take(served.indexOfLast { it.teamId == TeamId("small") })
        val share = shareOf(TeamId("small"), servedWhileBothWait)
        (share in 0.45..0.55) shouldBe true
    }

    test("the share check detects that a FIFO queue starves the small team") {
        val queue = FifoQueue()
        repeat(900) { queue.add(request(it, "large")) }
        repeat(300) { queue.add(request(1_000 + it, "small")) }
        val served = List(400) { checkNotNull(queue.next()) }
        (shareOf(TeamId("small"), served) < 0.45) shouldBe true
    }

    test("an interactive request of a small team is dispatched at once despite the batch backlog of a large team") {
        val queue = FairQueue(FairQueueSettings(maxConcurrentRequests = 4, reservedInteractiveSlots = 1))
        repeat(500) { queue.handle(QueueEvent.Arrived(request(it, "large", PriorityClass.BATCH)), 0) }
        val actions = queue.handle(QueueEvent.Arrived(request(1_000, "small")), 1)
        actions.dispatched().map { it.teamId } shouldContainExactly listOf(TeamId("small"))
    }

    test("batch requests get their share under a permanent interactive backlog") {
        val queue = FairQueue(oneSlot)
        val requests = List(1_700) { request(it, "phone") } +
            List(200) { request(5_000 + it, "nightly", PriorityClass.BATCH) }
        val served = serveAll(queue, requests, steps = 1_700)
        served.count { it.priorityClass == PriorityClass.BATCH } shouldBeGreaterThanOrEqual 95
    }

    test("a request that cannot start before its deadline is refused on arrival with a retry delay") {
        val queue = FairQueue(FairQueueSettings(maxConcurrentRequests = 1, initialTokensPerSecondPerSlot = 100))
        repeat(10) { queue.handle(QueueEvent.Arrived(request(it, "large")), 0) }
        val late = request(100, "large", deadlineMs = 5_000)
        val refusal = queue.handle(QueueEvent.Arrived(late), 0).single()
        refusal.shouldBeInstanceOf<QueueAction.Refuse>().refusal.retryAfterMs shouldBeGreaterThanOrEqual 1_000
    }

    test("a full queue refuses a request of the team with the largest backlog and keeps the new one of a small team") {
        val queue = FairQueue(FairQueueSettings(maxConcurrentRequests = 1, maxWaitingRequests = 20))
        repeat(21) { queue.handle(QueueEvent.Arrived(request(it, "large")), 0) }
        val actions = queue.handle(QueueEvent.Arrived(request(100, "small")), 0)
        actions.filterIsInstance<QueueAction.Refuse>().map { it.request.teamId } shouldContainExactly
            listOf(TeamId("large"))
        queue.waitingCount shouldBe 20
    }

    test("the waiting requests of an endpoint that leaves are rerouted") {
        val queue = FairQueue(oneSlot)
        repeat(5) { queue.handle(QueueEvent.Arrived(request(it, "large")), 0) }
        queue.handle(QueueEvent.EndpointLeft, 1).filterIsInstance<QueueAction.Reroute>().size shouldBe 4
        queue.waitingCount shouldBe 0
    }
})

private fun serveAll(queue: FairQueue, requests: List<QueuedRequest>, steps: Int): List<QueuedRequest> {
    val served = ArrayList<QueuedRequest>()
    requests.forEach { served += queue.handle(QueueEvent.Arrived(it), 0).dispatched() }
    for (step in 0 until steps) {
        val running = served.getOrNull(step) ?: break
        served += queue.handle(QueueEvent.Finished(running.requestId, running.costTokens), 0).dispatched()
    }
    return served
}

/** Applies random events to one queue and checks its invariants after each event. */
private class QueueSchedule(private val random: Random) {
    private val slots = random.nextInt(1, 9)
    private val settings = FairQueueSettings(maxConcurrentRequests = slots, maxWaitingRequests = 30)
    private val queue = FairQueue(settings)
    private val waiting = LinkedHashMap<RequestId, QueuedRequest>()
    private val running = LinkedHashMap<RequestId, QueuedRequest>()
    private var nowMs = 0L
    private var nextId = 0

    fun run() {
        repeat(120) { step() }
        while (running.isNotEmpty() || waiting.isNotEmpty()) {
            nowMs += 1_000
            running.keys.firstOrNull()?.let(::finish) ?: apply(QueueEvent.Tick)
        }
    }

    private fun step() {
        nowMs += random.nextLong(0, 400)
        when (random.nextInt(10)) {
            in 0..5 -> arrive()
            in 6..7 -> running.keys.randomOrNull(random)?.let(::finish)
            8 -> (waiting.keys + running.keys).randomOrNull(random)?.let(::cancel)
            else -> apply(QueueEvent.Tick)
        }
    }

    private fun arrive() {
        val request = request(
            id = nextId++,
            team = "team-${random.nextInt(5)}",
            priorityClass = PriorityClass.entries.random(random),
            costTokens = random.nextLong(1, 3_000),
            deadlineMs = nowMs + random.nextLong(50, 60_000),
            shareWeight = random.nextInt(1, 4),
        )
        waiting[request.requestId] = request
        apply(QueueEvent.Arrived(request))
    }

    private fun finish(requestId: RequestId) {
        val request = checkNotNull(running.remove(requestId))
        apply(QueueEvent.Finished(requestId, random.nextLong(0, request.costTokens + 1)))
    }

    private fun cancel(requestId: RequestId) {
        waiting -= requestId
        running -= requestId
        apply(QueueEvent.Cancelled(requestId))
    }

    private fun apply(event: QueueEvent) {
        queue.handle(event, nowMs).forEach(::perform)
        queue.waitingCount shouldBe waiting.size
        queue.runningCount shouldBe running.size
        running.size shouldBeLessThanOrEqual slots
        waiting.size shouldBeLessThanOrEqual settings.maxWaitingRequests
        queue.pendingTokens shouldBe (waiting.values + running.values).sumOf { it.costTokens }
        val reservedSlots = minOf(settings.reservedInteractiveSlots, slots / 2)
        val minRunning = when {
            waiting.values.any { it.priorityClass == PriorityClass.INTERACTIVE } -> slots
            waiting.isNotEmpty() -> slots - reservedSlots
            else -> 0
        }
        running.size shouldBeGreaterThanOrEqual minRunning
    }

    private fun perform(action: QueueAction) {
        when (action) {
            is QueueAction.Dispatch -> {
                val request = checkNotNull(waiting.remove(action.request.requestId))
                request.deadlineMs shouldBeGreaterThanOrEqual nowMs
                running[request.requestId] = request
            }
            is QueueAction.Refuse -> checkNotNull(waiting.remove(action.request.requestId))
            is QueueAction.Reroute -> checkNotNull(waiting.remove(action.request.requestId))
        }
    }
}
