package io.daisybend.daemon.dispatch

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.daisybend.configuration.EndpointKind
import io.daisybend.configuration.EndpointSpec
import io.daisybend.configuration.Manifest
import io.daisybend.configuration.RouteSpec
import io.daisybend.daemon.configuration.freePorts
import io.daisybend.daemon.endpoint.HttpServiceClient
import io.daisybend.daemon.endpoint.ScriptedConnection
import io.daisybend.daemon.endpoint.ScriptedServer
import io.daisybend.daemon.request.ConfigurationIndex
import io.daisybend.daemon.request.ConfigurationView
import io.daisybend.daemon.request.ExecutionStatus
import io.daisybend.daemon.request.RequestFailure
import io.daisybend.daemon.request.ServiceCall
import io.daisybend.daemon.request.ServiceResponse
import io.daisybend.dispatch.GatewayIncarnation
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.FailureDomainId
import io.daisybend.kernel.RequestId
import io.daisybend.kernel.SystemMillisClock
import io.daisybend.kernel.Timeline
import io.daisybend.kernel.VmId
import io.daisybend.kernel.settings.HostAndPort
import io.daisybend.transport.PeerNetwork
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

private const val CALL_TIMEOUT_MS = 4_000L

class AtMostOnceServiceDispatcherTest : FunSpec({
    test("a repeated call through another VM returns the stored response and runs once") {
        GatewayCluster.use { cluster ->
            val first = cluster.call(vm = 0, key = "a")
            first.getError() shouldBe null
            val second = cluster.call(vm = 1, key = "a")
            first.get()?.body?.decodeToString() shouldBe "run 1"
            second.get()?.body?.decodeToString() shouldBe "run 1"
            second.get()?.isReplayed shouldBe true
            cluster.runs.get() shouldBe 1
        }
    }

    test("concurrent calls with one key through all VMs run once") {
        GatewayCluster.use { cluster ->
            val results = coroutineScope { List(30) { async { cluster.call(vm = it % 3, key = "b") } }.awaitAll() }
            cluster.runs.get() shouldBe 1
            results.all { it.get() != null || it.status() == ExecutionStatus.IN_PROGRESS } shouldBe true
            results.count { it.get()?.isReplayed == false } shouldBe 1
        }
    }

    test("a call with a used key and another body is refused as a conflict and does not run") {
        GatewayCluster.use { cluster ->
            cluster.call(vm = 0, key = "c", body = "3 blankets")
            val conflict = cluster.call(vm = 2, key = "c", body = "4 blankets")
            conflict.getError()?.httpStatus shouldBe 409
            conflict.status() shouldBe ExecutionStatus.NOT_RUN
            cluster.runs.get() shouldBe 1
        }
    }

    test("a connection that breaks after the call was written leaves the outcome unknown for every later call") {
        GatewayCluster.use(respondToCall = { close() }) { cluster ->
            cluster.call(vm = 0, key = "d").status() shouldBe ExecutionStatus.UNKNOWN
            cluster.call(vm = 1, key = "d").status() shouldBe ExecutionStatus.UNKNOWN
            cluster.call(vm = 0, key = "d").status() shouldBe ExecutionStatus.UNKNOWN
            cluster.runs.get() shouldBe 1
        }
    }

    test("the outcome of a call whose gateway failed is reported as unknown, never as not run") {
        GatewayCluster.use(respondToCall = { stall() }) { cluster ->
            coroutineScope {
                val first = launch { cluster.call(vm = 0, key = "e") }
                while (cluster.runs.get() == 0) delay(10L)
                cluster.stopVm(vm = 0)
                first.cancel()
            }
            cluster.call(vm = 1, key = "e").status() shouldBe ExecutionStatus.UNKNOWN
            cluster.runs.get() shouldBe 1
        }
    }

    test("a call during a log outage is refused as not run, and runs once after the log recovers") {
        GatewayCluster.use { cluster ->
            cluster.log.isDown = true
            val refused = cluster.call(vm = 0, key = "f")
            refused.status() shouldBe ExecutionStatus.NOT_RUN
            refused.getError()?.earlierCallsMayHaveRun shouldBe true
            cluster.runs.get() shouldBe 0
            cluster.log.isDown = false
            delay(400L)
            cluster.call(vm = 1, key = "f").get()?.body?.decodeToString() shouldBe "run 1"
        }
    }

    test("an append whose response is lost is resolved by reading the log") {
        GatewayCluster.use { cluster ->
            cluster.log.responsesToLose = 1
            cluster.call(vm = 0, key = "g").get()?.body?.decodeToString() shouldBe "run 1"
            cluster.call(vm = 1, key = "g").get()?.isReplayed shouldBe true
            cluster.runs.get() shouldBe 1
        }
    }

    test("a log outage after the dispatch does not withhold the response from its caller or from a later call") {
        GatewayCluster.use(respondToCall = { respondSlowly(it) }) { cluster ->
            coroutineScope {
                val first = async { cluster.call(vm = 0, key = "h") }
                while (cluster.runs.get() == 0) delay(10L)
                cluster.log.isDown = true
                first.await().get()?.body?.decodeToString() shouldBe "run 1"
            }
            cluster.log.isDown = false
            delay(1_000L)
            cluster.call(vm = 2, key = "h").get()?.body?.decodeToString() shouldBe "run 1"
            cluster.runs.get() shouldBe 1
        }
    }

    test("random bytes from a peer are ignored") {
        GatewayCluster.use { cluster ->
            val random = Random(1)
            repeat(2_000) { cluster.receive(vm = 0, payload = random.nextBytes(random.nextInt(200))) }
            cluster.call(vm = 0, key = "i").get()?.body?.decodeToString() shouldBe "run 1"
        }
    }

    test("a non-idempotent call without a key runs in a single attempt") {
        GatewayCluster.use(respondToCall = { close() }) { cluster ->
            cluster.call(vm = 0, key = null).status() shouldBe ExecutionStatus.UNKNOWN
            cluster.runs.get() shouldBe 1
        }
    }
})

private fun Result<ServiceResponse, RequestFailure>.status(): ExecutionStatus? = getError()?.execution

private fun ScriptedConnection.respond(run: Int) {
    val body = "run $run"
    write("HTTP/1.1 201 Created\r\nContent-Type: text/plain\r\nContent-Length: ${body.length}\r\n\r\n$body")
    closeGracefully()
}

private fun ScriptedConnection.respondSlowly(run: Int) {
    Thread.sleep(300L)
    respond(run)
}

/** Three gateways that share a log and a service and are connected over loopback. */
private class GatewayCluster(private val respondToCall: ScriptedConnection.(run: Int) -> Unit) {
    val log = FakeLog()
    val runs = AtomicInteger()
    private val service = ScriptedServer {
        readRequest()
        respondToCall(runs.incrementAndGet())
    }
    private val endpoint =
        EndpointSpec(EndpointId("booking"), EndpointKind.SERVICE, service.address, FailureDomainId("buda"))
    private val route = RouteSpec("booking", listOf(endpoint.endpointId), openToAll = true)
    private val configuration = object : ConfigurationView {
        private val index = ConfigurationIndex(1L, Manifest(endpoints = listOf(endpoint), routes = listOf(route)))

        override fun current() = index
    }
    private val addresses = freePorts(3).withIndex().associate { (index, port) ->
        VmId("vm-$index") to HostAndPort("127.0.0.1", port)
    }
    private val scopes = List(3) { CoroutineScope(SupervisorJob() + Dispatchers.Default) }
    private val networks = addresses.keys.map { PeerNetwork(it, "secret".encodeToByteArray(), addresses::get) }
    private val callRunners = mutableListOf<IdempotentCallRunner>()
    private val dispatchers = addresses.keys.mapIndexed { index, vmId -> gateway(index, vmId) }
    private val callCount = AtomicInteger()

    private fun gateway(index: Int, vmId: VmId): AtMostOnceServiceDispatcher {
        val services = HttpServiceClient()
        val callRunner = IdempotentCallRunner(
            incarnation = GatewayIncarnation(vmId, startId = index.toLong()),
            log = log,
            peers = dispatchPeers(networks[index]),
            liveVms = { addresses.keys.toList() },
            scope = scopes[index],
            clock = SystemMillisClock,
            timeline = Timeline(vmId, SystemMillisClock),
            dispatch = { dispatchOnce(configuration, services, it) },
        )
        callRunners += callRunner
        networks[index].registerHandler(DISPATCH_CHANNEL) { _, payload ->
            callRunner.receive(payload)
            ByteArray(0)
        }
        scopes[index].launch { callRunner.runTicks() }
        return AtMostOnceServiceDispatcher(configuration, services, callRunner)
    }

    suspend fun listen() = networks.zip(addresses.values).forEach { (network, address) -> network.listen(address) }

    suspend fun call(vm: Int, key: String?, body: String = "2 blankets"): Result<ServiceResponse, RequestFailure> {
        val call = ServiceCall(
            requestId = RequestId("request-${callCount.incrementAndGet()}"),
            caller = null,
            route = route,
            method = "POST",
            path = "/reservations",
            contentType = "text/plain",
            body = body.encodeToByteArray(),
            idempotencyKey = key,
            deadlineMs = SystemMillisClock.nowMs() + CALL_TIMEOUT_MS,
        )
        return dispatchers[vm].run(call)
    }

    fun receive(vm: Int, payload: ByteArray) = callRunners[vm].receive(payload)

    fun stopVm(vm: Int) {
        scopes[vm].cancel()
        networks[vm].close()
    }

    private fun close() {
        (0 until 3).forEach { stopVm(it) }
        service.close()
    }

    companion object {
        suspend fun use(
            respondToCall: ScriptedConnection.(run: Int) -> Unit = { respond(it) },
            block: suspend (GatewayCluster) -> Unit,
        ) {
            val cluster = GatewayCluster(respondToCall)
            cluster.listen()
            try {
                block(cluster)
            } finally {
                cluster.close()
            }
        }
    }
}
