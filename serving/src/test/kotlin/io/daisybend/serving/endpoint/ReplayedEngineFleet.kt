/*
 * Replays requests of many VMs at engines of unequal pace: each VM knows its own requests at once, those of the others
 * from reports that are up to a second old, and what engines say in their responses. Engines read prompts one after the
 * other, run as many requests as they have slots, and keep a prefix cache.
 */
package io.daisybend.serving.endpoint

import io.daisybend.serving.residency.engineSpec
import java.util.PriorityQueue
import kotlin.math.pow
import kotlin.random.Random

internal data class ReplaySettings(
    val vms: Int = 75,
    val engines: Int = 63,
    val requestsPerSecond: Double = 150.0,
    val seconds: Int = 16,
    val isNew: Boolean,
    val seed: Int = 1,
    val reportMs: Long = 750,
    val maxReportDelayMs: Long = 300,
    val lostShare: Double = 0.05,
    val sharesPrefixes: Boolean = true,
    /** Whether engines drop their prefix cache all the time, unlike what VMs expect. */
    val evictsAll: Boolean = false,
    val sendsHeaders: Boolean = true,
    /** Whether engines restart under their ids halfway. */
    val restarts: Boolean = false,
)

internal data class ReplayResult(
    val meanMs: Double,
    val p90Ms: Double,
    /** Share of the requests that began to wait at an engine while another one had a free slot. */
    val neededWaits: Double,
    val hitShare: Double,
)

private const val SLOTS = 6
private const val HOT_PROMPTS = 4
private const val SHARED_TOKENS = 6_300
private const val OWN_TOKENS = 2_890
private const val OUTPUT_TOKENS = 150
private const val WARM_UP_MS = 4_000L
private const val OLD_PARTS_PER_ENGINE = 48

private class ReplayedServer(val id: String, val basePace: Double, private val random: Random) {
    var running = 0
    var prefillFreeAtMs = 0.0
    val waiting = ArrayDeque<ReplayedRequest>()
    private val cache = PrefixCacheEstimate()
    private var paceUntilMs = 0.0
    private var pace = basePace

    fun paceAt(nowMs: Double): Double {
        if (nowMs >= paceUntilMs) {
            paceUntilMs = nowMs + 100 + random.nextInt(300)
            pace = basePace * (0.8 + 0.4 * random.nextDouble())
        }
        return pace
    }

    /** Returns the tokens that the engine has of the prompt, and holds the prompt from now on. */
    fun read(request: ReplayedRequest, evictsAll: Boolean): Int {
        val held = cache.cachedTokens(request.prefix, 0)
        cache.onSent(request.prefix, if (evictsAll) 0 else engineSpec.kvCapacityTokens.toLong())
        return held
    }

    fun restart() = cache.retainHeld(EngineHoldings(0, emptyMap()))
}

private class ReplayedRequest(val vm: ReplayedVm, val demand: ModelDemand, val sentAtMs: Double) {
    val prefix = demand.promptPrefix()!!
    lateinit var endpoint: Endpoint
    lateinit var reservation: Reservation
    var tokensToRead = 0L
    var savedMs = 0.0
    var predictedMs = 0.0
    var firstEventAtMs = 0.0
}

private class ReplayedVm(val name: String, val settings: ReplaySettings) {
    val random = Random(settings.seed * 1_000 + name.hashCode())
    val table = EndpointTable()
    val peerUses = PeerUseIndex()
    val sends = PrefixSends()
    val chooser = EndpointChooser(failureDomain = "north")
    private val isSpread = settings.isNew && settings.vms > 16
    private val oldParts = HashMap<String, LinkedHashSet<Long>>()

    fun counted(endpoint: Endpoint): EndpointLoad {
        val peers = peerUses.useOf(endpoint.incarnation.id)
        return EndpointLoad(
            endpoint.inFlight + peers.inFlight,
            endpoint.pendingPromptTokens + peers.pendingPromptTokens,
            endpoint.kvTokens + peers.kvTokens,
        )
    }

    fun loadOf(endpoint: Endpoint, nowMs: Long): EndpointLoad {
        val counted = counted(endpoint)
        if (!settings.isNew) return counted
        return endpoint.loadEstimate.loadAt(
            counted,
            isSpread || endpoint.loadEstimate.hasPace,
            nowMs,
            settings.reportMs,
        )
    }

    fun cachedTokens(endpoint: Endpoint, prefix: PromptPrefix, nowMs: Long): Int {
        if (settings.isNew) return endpoint.prefixCache.cachedTokens(prefix, nowMs)
        val parts = oldParts[endpoint.incarnation.id] ?: return 0
        return prefix.shared.takeWhile { it.hash in parts }.sumOf { it.tokens }
    }

    fun choose(demand: ModelDemand, prefix: PromptPrefix, nowMs: Long): Endpoint {
        val choice = chooser.chooseEngine(
            table.ofService("s"),
            engineSpec,
            demand,
            { loadOf(it, nowMs) },
            { cachedTokens(it, prefix, nowMs) },
            nowMs,
            random.takeIf { isSpread },
        ) { if (settings.isNew) it.prefixCache.evictedTokens(prefix, engineSpec.kvCapacityTokens.toLong()) else 0 }
        return (choice as EndpointChoice.Send).endpoint
    }

    fun onSent(endpoint: Endpoint, prefix: PromptPrefix, nowMs: Long) {
        if (settings.isNew) {
            endpoint.prefixCache.onSent(prefix, engineSpec.kvCapacityTokens.toLong())
            sends.onSent(endpoint.incarnation, prefix, nowMs)
        }
        val parts = oldParts.getOrPut(endpoint.incarnation.id) { LinkedHashSet() }
        prefix.shared.forEach {
            parts.remove(it.hash)
            parts.add(it.hash)
        }
        // The part that no other prompt has took a place, too.
        parts.add(random.nextLong())
        while (parts.size > OLD_PARTS_PER_ENGINE) parts.remove(parts.first())
    }

    fun uses(): Map<String, EndpointLoad> = table.all().filter { it.inFlight > 0 }
        .associate { it.incarnation.id to EndpointLoad(it.inFlight, it.pendingPromptTokens, it.kvTokens) }
}

/** Replays [settings] and measures the time to the first event. */
internal class ReplayedEngineFleet(private val settings: ReplaySettings) {
    private class Event(val atMs: Double, val run: () -> Unit)

    private val random = Random(settings.seed)
    private val events = PriorityQueue<Event>(compareBy { it.atMs })
    private var nowMs = 0.0
    private val steadyMs: Long get() = nowMs.toLong()
    private val servers = (1..settings.engines).associate { number ->
        // Most machines work as usual, some take more than twice as long.
        val pace = 0.8 * 3.0.pow(random.nextDouble().pow(2))
        "e-$number" to ReplayedServer("e-$number", pace, random)
    }
    private val vms = (1..settings.vms).map { ReplayedVm("vm-$it", settings) }
    private val arrivals = Random(settings.seed + 1_000)
    private val delaysMs = ArrayList<Double>()
    private var neededWaits = 0
    private var hits = 0
    private var requests = 0

    private fun at(atMs: Double, run: () -> Unit) {
        events.add(Event(atMs, run))
    }

    fun run(): ReplayResult {
        listEngines(bornMs = 1)
        vms.forEachIndexed { index, vm -> at(index * settings.reportMs.toDouble() / vms.size) { report(vm) } }
        at(0.0) { arrive() }
        if (settings.restarts) {
            at(settings.seconds * 500.0) {
                servers.values.forEach { it.restart() }
                listEngines(bornMs = 2)
            }
        }
        while (events.isNotEmpty() && events.peek().atMs < settings.seconds * 1_000.0) {
            val event = events.poll()
            nowMs = event.atMs
            event.run()
        }
        val sorted = delaysMs.sorted()
        return ReplayResult(
            delaysMs.average(),
            sorted[sorted.size * 9 / 10],
            neededWaits.toDouble() / requests,
            hits.toDouble() / requests,
        )
    }

    private fun listEngines(bornMs: Long) = vms.forEach { vm ->
        servers.keys.forEach { vm.table.put(entry(it, mapOf("m1" to emptySet()), bornMs = bornMs), 0) }
    }

    private fun report(vm: ReplayedVm) {
        val uses = vm.uses()
        val sends = if (settings.sharesPrefixes) vm.sends.takeReport(steadyMs) else emptyList()
        vms.filter { it !== vm && random.nextDouble() >= settings.lostShare }.forEach { peer ->
            at(nowMs + random.nextLong(settings.maxReportDelayMs + 1)) {
                peer.peerUses.onReport(vm.name, uses)
                sends.forEach { send ->
                    peer.table.find(send.engine.id)?.takeIf { it.incarnation == send.engine }
                        ?.prefixCache?.onSent(send.prefix, engineSpec.kvCapacityTokens.toLong())
                }
            }
        }
        at(nowMs + settings.reportMs) { report(vm) }
    }

    private fun arrive() {
        val hot = (HOT_PROMPTS * arrivals.nextDouble().pow(2)).toInt()
        val parts = listOf(PromptPart("hot-$hot", SHARED_TOKENS), PromptPart("own-${arrivals.nextLong()}", OWN_TOKENS))
        val demand = ModelDemand("m1", null, SHARED_TOKENS + OWN_TOKENS, OUTPUT_TOKENS, parts)
        val vm = vms.random(arrivals)
        val request = ReplayedRequest(vm, demand, nowMs)
        val endpoint = vm.choose(demand, request.prefix, steadyMs)
        request.endpoint = endpoint
        val cached = vm.cachedTokens(endpoint, request.prefix, steadyMs)
        val before = vm.loadOf(endpoint, steadyMs)
        val tokensPerMs = before.prefillTokensPerMs ?: 38.0
        request.tokensToRead = before.pendingPromptTokens + demand.promptTokens - cached
        request.savedMs = cached / tokensPerMs * before.pace
        request.predictedMs = (request.tokensToRead / tokensPerMs + before.inFlight) * before.pace
        request.reservation =
            Reservation(demand.promptTokens.toLong() - cached, demand.promptTokens + OUTPUT_TOKENS.toLong())
        vm.table.onExchangeStarted(endpoint, request.reservation)
        vm.onSent(endpoint, request.prefix, steadyMs)
        val server = servers.getValue(endpoint.incarnation.id)
        if (nowMs >= WARM_UP_MS) {
            requests++
            if (server.running >= SLOTS && servers.values.any { it.running < SLOTS }) neededWaits++
        }
        server.waiting.addLast(request)
        startNext(server)
        at(nowMs - kotlin.math.ln(1 - arrivals.nextDouble()) * 1_000 / settings.requestsPerSecond) { arrive() }
    }

    private fun startNext(server: ReplayedServer) {
        while (server.running < SLOTS && server.waiting.isNotEmpty()) {
            val request = server.waiting.removeFirst()
            server.running++
            val pace = server.paceAt(nowMs)
            val held = server.read(request, settings.evictsAll)
            if (held > 0 && request.sentAtMs >= WARM_UP_MS) hits++
            val readMs = (request.demand.promptTokens - held) / 38.0 * pace
            server.prefillFreeAtMs = maxOf(nowMs, server.prefillFreeAtMs) + readMs
            val firstEventAtMs = server.prefillFreeAtMs + 5 + server.running * pace
            at(firstEventAtMs) { onFirstEvent(server, request) }
            at(firstEventAtMs + OUTPUT_TOKENS * 8.0 * pace) { onEnded(server, request) }
        }
    }

    private fun onFirstEvent(server: ReplayedServer, request: ReplayedRequest) {
        request.firstEventAtMs = nowMs
        val tookMs = nowMs - request.sentAtMs
        if (request.sentAtMs >= WARM_UP_MS) delaysMs.add(tookMs)
        val vm = request.vm
        vm.table.onFirstEvent(request.endpoint, request.reservation)
        if (!settings.isNew) return
        val estimate = request.endpoint.loadEstimate
        if (request.savedMs == 0.0) estimate.onPrefilled(request.tokensToRead, tookMs.toLong(), steadyMs)
        request.endpoint.prefixCache.onFirstEvent(request.savedMs, tookMs - request.predictedMs, steadyMs)
        if (!settings.sendsHeaders) return
        val sample = LoadSample(server.running, server.waiting.size, SLOTS, server.paceAt(nowMs))
        estimate.onSample(sample, vm.counted(request.endpoint), request.endpoint.answered, steadyMs)
    }

    private fun onEnded(server: ReplayedServer, request: ReplayedRequest) {
        server.running--
        request.vm.table.onExchangeEnded(request.endpoint, request.reservation, isPrefilled = true)
        if (settings.isNew) {
            request.endpoint.loadEstimate.onRunEnded(
                OUTPUT_TOKENS,
                (nowMs - request.firstEventAtMs).toLong(),
                steadyMs,
            )
        }
        startNext(server)
    }
}
