package io.daisybend.scheduling.loads

import io.daisybend.kernel.AdapterId
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.ModelId
import io.daisybend.kernel.RequestId
import io.daisybend.scheduling.PriorityClass
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.random.Random

private fun key(id: Int, adapter: Int? = null) =
    LoadKey(EndpointId("engine-${id % 6}"), ModelId("model-$id"), adapter?.let { AdapterId("adapter-$it") })

private fun requested(
    id: Int,
    key: LoadKey,
    source: WeightSource = WeightSource.REMOTE,
    priorityClass: PriorityClass = PriorityClass.INTERACTIVE,
    deadlineMs: Long = 1_000_000L + id,
) = LoadEvent.Requested(key, source, 8_000, LoadWaiter(RequestId("r-$id"), priorityClass, deadlineMs))

private fun List<LoadAction>.started() = filterIsInstance<LoadAction.Start>().map { it.key }

class LoadSchedulerTest : FunSpec({
    test("under random schedules the limits hold and every waiting request ends once") {
        checkAll(PropTestConfig(seed = 21L, iterations = 2_000), Arb.long()) { seed ->
            LoadSchedule(Random(seed)).run()
        }
    }

    test("all requests for the same weights on an endpoint share one load") {
        val scheduler = LoadScheduler()
        val actions = (0 until 500).flatMap { scheduler.handle(requested(it, key(1)), it.toLong()) }
        actions.started() shouldContainExactly listOf(key(1))
        val ready = scheduler.handle(LoadEvent.Finished(key(1)), 8_000).single()
        ready.shouldBeInstanceOf<LoadAction.Ready>().waiters.size shouldBe 500
    }

    test("pending loads start in the order of their deadline or aging time, class and arrival") {
        checkAll(PropTestConfig(seed = 22L, iterations = 500), Arb.long()) { seed ->
            val random = Random(seed)
            val settings = LoadSchedulerSettings(maxConcurrentLoads = 1, loadsPerSecond = 1_000.0)
            val scheduler = LoadScheduler(settings)
            scheduler.handle(requested(0, key(0)), 0)
            val events = (1..20).map { id ->
                requested(
                    id = id,
                    key = key(id),
                    priorityClass = PriorityClass.entries.random(random),
                    deadlineMs = random.nextLong(500_000, 900_000),
                )
            }
            events.forEach { scheduler.handle(it, 0) }
            val expected = events.sortedWith(
                compareBy<LoadEvent.Requested> {
                    if (it.waiter?.priorityClass ==
                        PriorityClass.BATCH
                    ) {
                        settings.batchAgingMs
                    } else {
                        it.waiter?.deadlineMs
                    }
                }.thenBy { it.waiter?.priorityClass },
            ).map { it.key }
            val order = ArrayList<LoadKey>()
            var last = key(0)
            repeat(20) { step ->
                last = scheduler.handle(LoadEvent.Finished(last), 10L * (step + 1)).started().single()
                order += last
            }
            order shouldContainExactly expected
        }
    }

    test("an interactive request that joins a pending batch load moves it ahead") {
        val scheduler = LoadScheduler(LoadSchedulerSettings(maxConcurrentLoads = 1))
        scheduler.handle(requested(0, key(0)), 0)
        scheduler.handle(requested(1, key(1), priorityClass = PriorityClass.BATCH), 0)
        scheduler.handle(requested(2, key(2), deadlineMs = 40_000), 0)
        scheduler.handle(requested(3, key(1), deadlineMs = 30_000), 0)
        scheduler.handle(LoadEvent.Finished(key(0)), 8_000).started() shouldContainExactly listOf(key(1))
    }

    test("a request is refused on arrival if the weights would be loaded after its deadline") {
        val actions = LoadScheduler().handle(requested(0, key(0), deadlineMs = 5_000), 0)
        actions.first().shouldBeInstanceOf<LoadAction.Refuse>()
        actions.last() shouldBe LoadAction.Cancel(key(0))
    }

    test("a permit whose holder does not report an end is released after the timeout") {
        val scheduler = LoadScheduler(LoadSchedulerSettings(maxConcurrentLoads = 1, permitTimeoutMs = 20_000))
        scheduler.handle(requested(0, key(0)), 0)
        scheduler.handle(requested(1, key(1)), 0).started() shouldBe emptyList()
        scheduler.handle(LoadEvent.Tick, 20_001).started() shouldContainExactly listOf(key(1))
    }
})

/** Applies random events to one scheduler and checks limits and outcomes after each event. */
private class LoadSchedule(private val random: Random) {
    private val settings = LoadSchedulerSettings(permitTimeoutMs = 10_000_000, maxConcurrentAdapters = 3)
    private val scheduler = LoadScheduler(settings)
    private val waiting = HashSet<RequestId>()
    private val inFlight = LinkedHashMap<LoadKey, WeightSource>()
    private var remoteStarts = 0
    private var nowMs = 0L
    private var nextId = 0

    fun run() {
        repeat(150) { step() }
        while (inFlight.isNotEmpty() || scheduler.pendingCount > 0) {
            nowMs += 1_000
            inFlight.keys.firstOrNull()?.let { end(it, hasFailed = false) } ?: apply(LoadEvent.Tick)
        }
        waiting shouldBe emptySet()
    }

    private fun step() {
        nowMs += random.nextLong(0, 500)
        when (random.nextInt(10)) {
            in 0..5 -> request()
            6 -> inFlight.keys.randomOrNull(random)?.let { end(it, hasFailed = true) }
            7 -> inFlight.keys.randomOrNull(random)?.let { end(it, hasFailed = false) }
            8 -> waiting.randomOrNull(random)?.let {
                waiting -= it
                apply(LoadEvent.WaiterCancelled(it))
            }
            else -> apply(LoadEvent.Tick)
        }
    }

    private fun request() {
        val adapter = if (random.nextInt(4) == 0) random.nextInt(8) else null
        val event = requested(
            id = nextId++,
            key = key(random.nextInt(12), adapter),
            source = WeightSource.entries.random(random),
            priorityClass = PriorityClass.entries.random(random),
            deadlineMs = nowMs + random.nextLong(5_000, 200_000),
        )
        waiting += checkNotNull(event.waiter).requestId
        apply(event)
    }

    private fun end(key: LoadKey, hasFailed: Boolean) {
        inFlight -= key
        apply(if (hasFailed) LoadEvent.Failed(key) else LoadEvent.Finished(key))
    }

    private fun apply(event: LoadEvent) {
        scheduler.handle(event, nowMs).forEach(::perform)
        val remoteModels = inFlight.filter { (key, source) -> key.adapterId == null && source == WeightSource.REMOTE }
        remoteModels.size shouldBeLessThanOrEqual settings.maxConcurrentLoads
        inFlight.keys.count { it.adapterId != null } shouldBeLessThanOrEqual settings.maxConcurrentAdapters
        val maxStarts = settings.startBurst + nowMs * settings.loadsPerSecond / 1_000
        remoteStarts.toDouble() shouldBeLessThanOrEqual maxStarts
    }

    private fun perform(action: LoadAction) {
        when (action) {
            is LoadAction.Start -> start(action)
            is LoadAction.Ready -> action.waiters.forEach { waiting.remove(it.requestId) shouldBe true }
            is LoadAction.Reroute -> action.waiters.forEach { waiting.remove(it.requestId) shouldBe true }
            is LoadAction.Refuse -> waiting.remove(action.waiter.requestId) shouldBe true
            is LoadAction.Cancel -> (action.key in inFlight) shouldBe false
            is LoadAction.WakeAt -> (action.atMs > nowMs) shouldBe true
        }
    }

    private fun start(action: LoadAction.Start) {
        (action.key in inFlight) shouldBe false
        inFlight[action.key] = action.source
        if (action.key.adapterId == null && action.source == WeightSource.REMOTE) remoteStarts++
    }
}
