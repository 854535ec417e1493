package io.daisybend.daemon.dispatch

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.daisybend.configuration.EndpointKind
import io.daisybend.configuration.EndpointSpec
import io.daisybend.configuration.Manifest
import io.daisybend.configuration.RouteSpec
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
import io.daisybend.kernel.settings.SocketEndpoint
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
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

private const val CALL_TIMEOUT_MS = 4_000L

class AtMostOnceServiceDispatcherTest : FunSpec({
    test("a repeated call through another VM gets the stored answer and runs once") {
        Site.use { site ->
            val first = site.call(vm = 0, key = "a")
            first.getError() shouldBe null
            val second = site.call(vm = 1, key = "a")
            first.get()?.body?.decodeToString() shouldBe "run 1"
            second.get()?.body?.decodeToString() shouldBe "run 1"
            second.get()?.isReplayed shouldBe true
            site.runs.get() shouldBe 1
        }
    }

    test("calls with one key through all VMs at once run once") {
        Site.use { site ->
            val answers = coroutineScope { List(30) { async { site.call(vm = it % 3, key = "b") } }.awaitAll() }
            site.runs.get() shouldBe 1
            answers.all { it.get() != null || it.status() == ExecutionStatus.IN_PROGRESS } shouldBe true
            answers.count { it.get()?.isReplayed == false } shouldBe 1
        }
    }

    test("the same key with another body is a conflict that did not run") {
        Site.use { site ->
            site.call(vm = 0, key = "c", body = "3 blankets")
            val conflict = site.call(vm = 2, key = "c", body = "4 blankets")
            conflict.getError()?.httpStatus shouldBe 409
            conflict.status() shouldBe ExecutionStatus.NOT_RUN
            site.runs.get() shouldBe 1
        }
    }

    test("a connection that breaks after the call was written leaves the outcome unknown for every later call") {
        Site.use(answer = { close() }) { site ->
            site.call(vm = 0, key = "d").status() shouldBe ExecutionStatus.UNKNOWN
            site.call(vm = 1, key = "d").status() shouldBe ExecutionStatus.UNKNOWN
            site.call(vm = 0, key = "d").status() shouldBe ExecutionStatus.UNKNOWN
            site.runs.get() shouldBe 1
        }
    }

    test("a gateway that vanished leaves the outcome unknown, never not run") {
        Site.use(answer = { staySilent() }) { site ->
            coroutineScope {
                val first = launch { site.call(vm = 0, key = "e") }
                while (site.runs.get() == 0) delay(10L)
                site.kill(vm = 0)
                first.cancel()
            }
            site.call(vm = 1, key = "e").status() shouldBe ExecutionStatus.UNKNOWN
            site.runs.get() shouldBe 1
        }
    }

    test("while the log is down a call is refused as not run, and runs once when the log is back") {
        Site.use { site ->
            site.log.isDown = true
            val refused = site.call(vm = 0, key = "f")
            refused.status() shouldBe ExecutionStatus.NOT_RUN
            refused.getError()?.earlierCallsMayHaveRun shouldBe true
            site.runs.get() shouldBe 0
            site.log.isDown = false
            delay(400L)
            site.call(vm = 1, key = "f").get()?.body?.decodeToString() shouldBe "run 1"
        }
    }

    test("an append whose answer was lost is settled by reading") {
        Site.use { site ->
            site.log.answersToLose = 1
            site.call(vm = 0, key = "g").get()?.body?.decodeToString() shouldBe "run 1"
            site.call(vm = 1, key = "g").get()?.isReplayed shouldBe true
            site.runs.get() shouldBe 1
        }
    }

    test("a log that goes down after the dispatch keeps no answer from its caller or from a later call") {
        Site.use(answer = { answerSlowly(it) }) { site ->
            coroutineScope {
                val first = async { site.call(vm = 0, key = "h") }
                while (site.runs.get() == 0) delay(10L)
                site.log.isDown = true
                first.await().get()?.body?.decodeToString() shouldBe "run 1"
            }
            site.log.isDown = false
            delay(1_000L)
            site.call(vm = 2, key = "h").get()?.body?.decodeToString() shouldBe "run 1"
            site.runs.get() shouldBe 1
        }
    }

    test("random bytes from a peer are ignored") {
        Site.use { site ->
            val random = Random(1)
            repeat(2_000) { site.receive(vm = 0, payload = random.nextBytes(random.nextInt(200))) }
            site.call(vm = 0, key = "i").get()?.body?.decodeToString() shouldBe "run 1"
        }
    }

    test("without a key there is one attempt") {
        Site.use(answer = { close() }) { site ->
            site.call(vm = 0, key = null).status() shouldBe ExecutionStatus.UNKNOWN
            site.runs.get() shouldBe 1
        }
    }
})

private fun Result<ServiceResponse, RequestFailure>.status(): ExecutionStatus? = getError()?.execution

private fun ScriptedConnection.answerAtOnce(run: Int) {
    val body = "run $run"
    write("HTTP/1.1 201 Created\r\nContent-Type: text/plain\r\nContent-Length: ${body.length}\r\n\r\n$body")
    finish()
}

private fun ScriptedConnection.answerSlowly(run: Int) {
    Thread.sleep(300L)
    answerAtOnce(run)
}

/** Three gateways that share a log and a service and reach each other over loopback connections. */
private class Site(private val answer: ScriptedConnection.(run: Int) -> Unit) {
    val log = FakeLog()
    val runs = AtomicInteger()
    private val service = ScriptedServer {
        readRequest()
        answer(runs.incrementAndGet())
    }
    private val endpoint =
        EndpointSpec(EndpointId("booking"), EndpointKind.SERVICE, service.address, FailureDomainId("buda"))
    private val route = RouteSpec("booking", listOf(endpoint.endpointId), openToAll = true)
    private val configuration = object : ConfigurationView {
        private val index = ConfigurationIndex(1L, Manifest(endpoints = listOf(endpoint), routes = listOf(route)))

        override fun current() = index
    }
    private val addresses = (0 until 3).associate { number ->
        VmId("vm-$number") to SocketEndpoint("127.0.0.1", ServerSocket(0).use { it.localPort })
    }
    private val scopes = List(3) { CoroutineScope(SupervisorJob() + Dispatchers.Default) }
    private val networks = addresses.keys.map { PeerNetwork(it, "secret".encodeToByteArray(), addresses::get) }
    private val gatewayCalls = mutableListOf<IdempotentCallRunner>()
    private val dispatchers = addresses.keys.mapIndexed { number, vmId -> gateway(number, vmId) }
    private val calls = AtomicInteger()

    private fun gateway(number: Int, vmId: VmId): AtMostOnceServiceDispatcher {
        val services = HttpServiceClient()
        val idempotentCallRunner = IdempotentCallRunner(
            incarnation = GatewayIncarnation(vmId, startId = number.toLong()),
            log = log,
            peers = dispatchPeers(networks[number]),
            liveVms = { addresses.keys.toList() },
            scope = scopes[number],
            clock = SystemMillisClock,
            timeline = Timeline(vmId, SystemMillisClock),
            dispatch = { dispatchOnce(configuration, services, it) },
        )
        gatewayCalls += idempotentCallRunner
        networks[number].handle(DISPATCH_CHANNEL) { _, payload ->
            idempotentCallRunner.receive(payload)
            ByteArray(0)
        }
        scopes[number].launch { idempotentCallRunner.runTicks() }
        return AtMostOnceServiceDispatcher(configuration, services, idempotentCallRunner)
    }

    suspend fun listen() = networks.zip(addresses.values).forEach { (network, address) -> network.listen(address) }

    suspend fun call(vm: Int, key: String?, body: String = "2 blankets"): Result<ServiceResponse, RequestFailure> {
        val call = ServiceCall(
            requestId = RequestId("request-${calls.incrementAndGet()}"),
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

    fun receive(vm: Int, payload: ByteArray) = gatewayCalls[vm].receive(payload)

    fun kill(vm: Int) {
        scopes[vm].cancel()
        networks[vm].close()
    }

    private fun close() {
        (0 until 3).forEach { kill(it) }
        service.close()
    }

    companion object {
        suspend fun use(
            answer: ScriptedConnection.(run: Int) -> Unit = { answerAtOnce(it) },
            block: suspend (Site) -> Unit,
        ) {
            val site = Site(answer)
            site.listen()
            try {
                block(site)
            } finally {
                site.close()
            }
        }
    }
}
