/*
 * Three VMs with the order duty only, a store that keeps the log of the lease, and engines that load adapters. Each VM
 * can be cut off from the engines; reports between the VMs are exchanged by calls.
 */
package io.daisybend.entry.orders

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getOrElse
import io.daisybend.entry.EventLog
import io.daisybend.entry.LoadMonitor
import io.daisybend.entry.Metrics
import io.daisybend.entry.peers.EndpointUse
import io.daisybend.entry.peers.QueuedDemandReport
import io.daisybend.entry.peers.peerReport
import io.daisybend.platform.EngineClient
import io.daisybend.platform.Header
import io.daisybend.platform.HttpCallFailed
import io.daisybend.platform.HttpClient
import io.daisybend.platform.HttpResponse
import io.daisybend.platform.SocketAddress
import io.daisybend.platform.StoreClient
import io.daisybend.platform.readConfiguration
import io.daisybend.serving.duty.DutyHolder
import io.daisybend.serving.duty.DutySettings
import io.daisybend.serving.endpoint.BrittleEngines
import io.daisybend.serving.endpoint.ColdEngines
import io.daisybend.serving.endpoint.EndpointEligibility
import io.daisybend.serving.endpoint.EndpointEntry
import io.daisybend.serving.endpoint.EndpointTable
import io.daisybend.serving.endpoint.EngineHoldings
import io.daisybend.serving.endpoint.EvacuatedDomains
import io.daisybend.serving.endpoint.HeldModel
import io.daisybend.serving.endpoint.HomeRegions
import io.daisybend.serving.endpoint.Incarnation
import io.daisybend.serving.rates.EndpointRateLimiter
import io.daisybend.serving.site.RouteTable
import io.daisybend.serving.site.SystemClockPair
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import java.nio.ByteBuffer
import java.util.concurrent.CopyOnWriteArrayList

private const val ENGINE_COUNT = 4
private const val STORE_PORT = 1
private const val FIRST_ENGINE_PORT = 100
private const val REPORT_INTERVAL_MS = 100L
private const val CALL_MS = 3L

/** Time after which a VM knows that it is cut off, in milliseconds. */
internal const val DETECTION_MS = 400L

/** An order that reached an engine. */
internal data class ReceivedOrder(
    val atMs: Long,
    val engine: Int,
    val holder: String,
    val fence: Long,
    val opcode: String,
    val adapter: String?,
)

internal class DutyFleet(private val scope: CoroutineScope) {
    private val duty = ArrayList<ByteArray>()
    private val adapters = List(ENGINE_COUNT) { HashSet<String>() }
    private val orderCounts = LongArray(ENGINE_COUNT)
    val orders = CopyOnWriteArrayList<ReceivedOrder>()
    val vms = List(3) { DutyVm(it) }

    /** The adapters that requests wait for. */
    @Volatile
    var demand: List<String> = emptyList()

    val holder: DutyVm? get() = vms.firstOrNull { it.lease.currentEpoch() != null }

    fun start(): DutyFleet {
        vms.forEach {
            scope.launch { it.lease.run() }
            scope.launch { it.controller.run(scope) }
        }
        scope.launch {
            while (true) {
                delay(REPORT_INTERVAL_MS)
                exchangeReports()
            }
        }
        return this
    }

    private val cutOffVms get() = vms.filter { it.isCutOff }.map { it.name }

    fun nowMs() = SystemClockPair.read().steadyMs

    private fun exchangeReports() = vms.forEach { from ->
        val report = from.lease.newestRecord()
        val holdings = from.controller.announcements(null).takeIf { from.lease.currentEpoch() != null }
        (vms - from).forEach { peer ->
            report?.let(peer.lease::onReport)
            holdings?.let { peer.controller.onHolderReport(it, nowMs()) }
        }
    }

    private fun ok(text: String) = HttpResponse(200, listOf(Header("Store-Era", "1")), text.encodeToByteArray())

    private fun callStore(target: String, body: ByteArray): HttpResponse = synchronized(duty) {
        val query = target.substringAfter('?').split('&')
            .associate { it.substringBefore('=') to it.substringAfter('=') }
        if ("log-append" in target) {
            if (query.getValue("at").toInt() != duty.size) return ok("""{"end":${duty.size}}""").copy(status = 412)
            duty.add(body)
            return ok("""{"offset":${duty.size - 1},"end":${duty.size}}""")
        }
        val records = duty.drop(query.getValue("from").toInt())
        val bytes = ByteBuffer.allocate(16 + records.sumOf { it.size }).putLong(duty.size.toLong()).putLong(0)
        records.forEach(bytes::put)
        return ok("").copy(body = bytes.array())
    }

    private fun callEngine(engine: Int, target: String, body: ByteArray): HttpResponse = synchronized(duty) {
        val held = adapters[engine]
        if ("order" !in target) {
            val names = held.joinToString { "\"$it\"" }
            val models = """[{"name":"m1","version":1,"adapters":[$names]}]"""
            return ok("""{"stage":"both","models":$models,"busy":false,"seqNo":${orderCounts[engine]}}""")
        }
        val order = Json.parseToJsonElement(body.decodeToString()).jsonObject
        val adapter = order.text("adapter")
        val holder = order.text("holder")!!
        orders.add(ReceivedOrder(nowMs(), engine, holder, order.long("fenceToken"), order.text("opcode")!!, adapter))
        if (order.long("expect") != orderCounts[engine]) return ok("").copy(status = 409)
        orderCounts[engine]++
        adapter?.let(held::add)
        return ok("").copy(status = 202)
    }

    private fun JsonObject.text(name: String) = get(name)?.jsonPrimitive?.content

    private fun JsonObject.long(name: String) = getValue(name).jsonPrimitive.long

    /** The VM with [index]. */
    internal inner class DutyVm(index: Int) : FleetDemandView, HttpClient {
        val name = "vm-$index"

        /** Engines that the VM does not reach. */
        @Volatile
        var unreached: Set<Int> = emptySet()
            set(engines) {
                field = engines
                unreachedSinceMs = nowMs()
            }

        @Volatile
        private var unreachedSinceMs = 0L

        /** Calls to engines that did not arrive. */
        val lostCalls = CopyOnWriteArrayList<String>()

        /** Whether the VM knows that it reaches no engine. */
        val isCutOff get() = unreached.size == ENGINE_COUNT && nowMs() - unreachedSinceMs >= DETECTION_MS
        private val log = EventLog(name)
        private val metrics = Metrics()
        private val table = EndpointTable()
        private val candidates = DutyCandidates(name, { (vms - this).map { it.report() } }, ::isCutOff) {
            it.vm !in cutOffVms
        }
        val lease: LeaseManager = LeaseManager(
            StoreClient(this, SocketAddress("10.0.0.9", STORE_PORT)),
            SystemClockPair,
            DutyHolder(name, "10.0.0.$index", 1),
            DutySettings(),
            log,
            rank = { if (lease.currentEpoch() != null) index else candidates.rank() },
            onAcquired = { controller.reconcileSoon() },
            reportSoon = {},
            shouldHandOver = candidates::shouldHandOver,
        )
        val controller: OrderController = OrderController(
            lease,
            EngineClient(this),
            table,
            this,
            EndpointRateLimiter(),
            EndpointEligibility(
                ColdEngines(name),
                BrittleEngines(name, table::ofService, peersInFlight = { 0 }),
                HomeRegions("north", "home", emptyMap()),
            ) { EvacuatedDomains() },
            configuration = { routes },
            ownVm = name,
            loadWindowMs = 5_000,
            log,
            LoadMonitor(log, metrics, ::nowMs),
            metrics,
            ::nowMs,
            ::isCutOff,
        )

        init {
            repeat(ENGINE_COUNT) {
                val holdings = EngineHoldings(0, mapOf("m1" to HeldModel("m1", emptySet())), onDisk = setOf("m1"))
                val incarnation = Incarnation("e-$it", 1)
                val port = FIRST_ENGINE_PORT + it
                table.put(EndpointEntry(incarnation, "s1", "10.0.1.$it", port, "north", 6, false, holdings), nowMs())
            }
        }

        fun report() = peerReport(name, sequence = 1)

        override suspend fun call(
            address: SocketAddress,
            method: String,
            target: String,
            headers: List<Header>,
            body: ByteArray,
            timeoutMs: Long,
            maxResponseBytes: Int,
        ): Result<HttpResponse, HttpCallFailed> {
            delay(CALL_MS)
            if (address.port == STORE_PORT) return Ok(callStore(target, body))
            val engine = address.port - FIRST_ENGINE_PORT
            if (engine !in unreached) return Ok(callEngine(engine, target, body))
            lostCalls.add(target)
            return Err(HttpCallFailed(target, "the engine can't be reached"))
        }

        override fun allUses(): Map<String, List<EndpointUse>> = emptyMap()

        override fun allQueuedDemand() = demand.map { QueuedDemandReport("s1", "m1/$it", 3, 1, 200) }

        override fun allRequestCounts(): Map<String, Map<String, Int>> = emptyMap()

        override fun announceSoon() = Unit
    }

    private companion object {
        val routes = RouteTable(
            readConfiguration(
                """{"version":1,"routes":[],"services":[{"name":"s1","maxConns":100,"engine":{"slots":64,
                "kvCapacity":232000,"models":[{"name":"m1","weightsMb":100.0,"loadS":6.0,"adapters":9,"adapterMb":1.0}],
                "weightsMb":200.0,"adapterSlots":8,"loadsPerS":1.6}}],"tenants":[]}""",
            ).getOrElse { error(it.message) },
        )
    }
}
