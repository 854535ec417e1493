/*
 * A small site for tests of an entry VM: the VM itself, a fake store, two fake endpoints, and callers.
 */
package io.daisybend.entry.standin

import com.github.michaelbull.result.getOrElse
import io.daisybend.entry.EntryVm
import io.daisybend.entry.exchange.BodyMemory
import io.daisybend.entry.http.BodyReader
import io.daisybend.entry.http.ByteSource
import io.daisybend.entry.http.Dialer
import io.daisybend.entry.http.ResponseHead
import io.daisybend.entry.http.TcpDialer
import io.daisybend.entry.http.encodeHead
import io.daisybend.entry.http.parseResponseHead
import io.daisybend.entry.http.readAll
import io.daisybend.entry.http.readHeadLines
import io.daisybend.entry.http.writeAll
import io.daisybend.platform.Header
import io.daisybend.platform.SocketAddress
import io.daisybend.platform.readVmSettings
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.matchers.shouldBe
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.job
import java.io.IOException
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

internal class Response(val head: ResponseHead, val body: String) {
    val status get() = head.status
}

/** What a caller says of a stream that it takes up again. */
internal class Resumption(val attemptId: String?, val lastEventId: String)

/** A caller's connection. */
internal class TestCaller(private val socket: Socket) {
    private val source = ByteSource(socket.openReadChannel())
    private val sink = socket.openWriteChannel()

    suspend fun send(
        method: String,
        path: String,
        body: String = "",
        key: String? = "k1",
        id: String = nextId(),
        model: String? = null,
        prompt: String? = null,
        resumes: Resumption? = null,
    ) {
        val headers = listOfNotNull(
            resumes?.attemptId?.let { Header("Resumes", it) },
            resumes?.let { Header("Last-Event-Id", it.lastEventId) },
            model?.let { Header("X-Daisybend-Model", it) },
            prompt?.let { Header("X-Daisybend-Prompt-Prefix", it) },
            Header("Host", "site.example"),
            Header("X-Daisybend-Attempt-Id", id),
            key?.let { Header("X-Api-Key", it) },
            Header("Content-Length", body.length.toString()),
        )
        sink.writeAll(encodeHead("$method $path HTTP/1.1", headers), body.encodeToByteArray())
    }

    /** Sends [bytes], in ISO 8859-1, as they are. */
    suspend fun sendRaw(bytes: String) = sink.writeAll(bytes.toByteArray(Charsets.ISO_8859_1))

    suspend fun read(): Response {
        val head = parseResponseHead(source.readHeadLines(8_192) ?: throw IOException("closed"), "GET")
        return Response(head, BodyReader(source, head.framing).readAll(100_000).decodeToString())
    }

    /** Reads the bytes of a response until the connection ends, complete or not. */
    suspend fun readUntilEnd(): String {
        val head = parseResponseHead(source.readHeadLines(8_192) ?: throw IOException("closed"), "GET")
        val body = BodyReader(source, head.framing)
        return buildString {
            try {
                while (true) append((body.readPiece() ?: break).decodeToString())
            } catch (expectedEnd: IOException) {
                return@buildString
            }
        }
    }

    /** Reads the body of a response that breaks off; fails if it is complete. */
    suspend fun readBroken(): String {
        val head = parseResponseHead(source.readHeadLines(8_192) ?: throw IOException("closed"), "GET")
        val body = BodyReader(source, head.framing)
        val received = StringBuilder()
        try {
            while (true) received.append((body.readPiece() ?: break).decodeToString())
        } catch (expectedEnd: IOException) {
            return received.toString()
        }
        error("expected a response that breaks off, got a complete one: $received")
    }

    suspend fun call(method: String, path: String, body: String = "", key: String? = "k1"): Response {
        send(method, path, body, key)
        return read()
    }

    /** Sends a stream request with [prompt] and reads the response. */
    suspend fun prompt(prompt: String): Response {
        send("POST", "/stream/x", "prompt", model = "m1", prompt = prompt)
        return read()
    }

    fun close() = socket.close()

    companion object {
        private val ids = AtomicInteger()

        fun nextId() = "id-${ids.incrementAndGet()}"
    }
}

/** A site with one VM, a store and two endpoints. */
internal class Site(val scope: CoroutineScope) {
    val store = FakeStore()
    val endpoints = listOf(FakeEndpoint("e-1"), FakeEndpoint("e-2"))
    private val selector = SelectorManager(Dispatchers.IO)
    val callerPort = ListenerPorts.next()
    private val readyPort = ListenerPorts.next()
    private val metricsPort = ListenerPorts.next()

    /** UDP port on which the VM receives the reports of its peers. */
    val peerPort = ListenerPorts.next()
    lateinit var vm: EntryVm

    /** Address of the last endpoint. */
    lateinit var endpointAddress: SocketAddress

    /** Returns what opens the connections of the VM; called once the fakes run. */
    var dialer: () -> Dialer = { TcpDialer }

    /** Port of the store. */
    var storePort = 0
        private set

    init {
        // Selectors that stay open take the threads that later sites need.
        scope.coroutineContext.job.invokeOnCompletion { selector.close() }
    }

    /** Starts the fakes without a VM. */
    suspend fun startFakes(): Site {
        storePort = FakeServer(scope, store::handle).start(selector).port
        endpoints.forEach { endpoint ->
            val server = FakeServer(scope, endpoint::handle).start(selector)
            // A server that is down has no port to ask for.
            val port = server.port
            endpointAddress = SocketAddress("127.0.0.1", port)
            endpoint.port = port
            var starts = 1
            endpoint.register = { register(endpoint, port, bornMs = starts) }
            endpoint.register()
            endpoint.connectionCount = server::connectionCount
            endpoint.stopListening = server::stopListening
            endpoint.crash = {
                server.crash(DOWN_MS)
                starts++
                endpoint.register()
            }
        }
        return this
    }

    /** Starts the fakes and the VM; [moreSettings] are further lines of its settings file. */
    suspend fun start(vararg moreSettings: String): Site {
        startFakes()
        val settings = """
            nodeName=vm-1
            ip=127.0.0.1
            zone=north
            region=home
            listen.front=127.0.0.1:$callerPort
            listen.readiness=127.0.0.1:$readyPort
            listen.directory=127.0.0.1:${ListenerPorts.next()}
            portRange=$peerPort,$metricsPort
            platform.address=127.0.0.1:$storePort
            bounds.budgetExtra=50
            bounds.graceS=3
        """.trimIndent()
        vm = EntryVm(
            readVmSettings((settings.lines() + moreSettings).joinToString("\n")).getOrElse { error(it.message) },
            bodyMemory = BodyMemory(limitBytes = 10_000),
            responseMemory = BodyMemory(limitBytes = 100_000),
            dialer = dialer(),
        )
        vm.start(scope)
        return this
    }

    /** Starts another VM of the site, which finds its peers by the store; returns the port for callers. */
    suspend fun startPeer(name: String, scope: CoroutineScope = this.scope, dialer: Dialer = TcpDialer): Int {
        val peerCallerPort = ListenerPorts.next()
        val settings = """
            nodeName=$name
            ip=127.0.0.1
            zone=north
            region=home
            listen.front=127.0.0.1:$peerCallerPort
            listen.readiness=127.0.0.1:${ListenerPorts.next()}
            listen.directory=127.0.0.1:${ListenerPorts.next()}
            portRange=${ListenerPorts.next()},${ListenerPorts.next()}
            platform.address=127.0.0.1:$storePort
            bounds.budgetExtra=50
            bounds.graceS=3
        """.trimIndent()
        EntryVm(
            readVmSettings(settings).getOrElse { error(it.message) },
            bodyMemory = BodyMemory(limitBytes = 10_000),
            responseMemory = BodyMemory(limitBytes = 100_000),
            dialer = dialer,
        ).start(scope)
        eventually(10.seconds) { connect(peerCallerPort).call("GET", "/safe/x").status shouldBe 200 }
        return peerCallerPort
    }

    private fun register(endpoint: FakeEndpoint, port: Int, bornMs: Int) {
        val address = """"address":"127.0.0.1:$port","zone":"${endpoint.zone}","coldLeftMs":${endpoint.coldLeftMs}"""
        val stage = if (endpoint.isDraining) "draining" else "ready"
        val state = """"slots":6,"state":"$stage","born":$bornMs,"version":"${endpoint.version}""""
        val models = if (endpoint.takesOrders) ""","models":[]""" else ""
        store.put("keyed.servers", endpoint.successorId ?: endpoint.id, """{"service":"s1",$address,$state$models}""")
    }

    /** Configures routes with [timeoutMs] and a [service], and waits until the VM serves them. */
    suspend fun configure(
        version: Int = 1,
        keys: String = "\"k1\"",
        timeoutMs: Long = 3_000,
        targetLatencyMs: Long = 200,
        service: String = PLAIN_SERVICE,
    ): Site {
        store.put("keyed.op", "config", configurationOf(version, keys, timeoutMs, targetLatencyMs, service))
        eventually(10.seconds) { connect().call("GET", "/safe/x").status shouldBe 200 }
        endpoints.forEach { it.ran.clear() }
        return this
    }

    fun configurationOf(
        version: Int,
        keys: String,
        timeoutMs: Long = 3_000,
        targetLatencyMs: Long = 200,
        service: String = PLAIN_SERVICE,
    ): String {
        fun route(name: String, kind: String, resumable: Boolean = kind == "streaming") =
            """{"name":"$name","host":"site.example","pathPrefix":"/$name/","routeType":"$kind","timeoutMs":$timeoutMs,
            "targetLatencyMs":$targetLatencyMs,"priority":1,"service":"s1","maxAttempts":2,"resumable":$resumable}"""
        val routes = listOf(
            route("safe", "safe"),
            route("once", "unsafe"),
            route("stream", "streaming"),
            route("events", "streaming", resumable = false),
        )
        return """{"version":$version,"routes":$routes,"services":[$service],
        "tenants":[{"name":"red","apiKeys":[$keys]}]}"""
    }

    suspend fun connect() = connect(callerPort)

    /** Connects to the VM whose port for callers is [port]. */
    suspend fun connect(port: Int) =
        TestCaller(aSocket(selector).tcp().connect(InetSocketAddress("127.0.0.1", port)))

    suspend fun metrics() = connect(metricsPort).call("GET", "/metrics").body

    suspend fun isReady() = connect(readyPort).call("GET", "/daisybend/readyz").status == 200

    fun queueForAll(behaviour: Behaviour) = endpoints.forEach { it.behaviours.add(behaviour) }

    val ran get() = endpoints.flatMap { it.ran }

    companion object {
        private const val DOWN_MS = 300L
        const val PLAIN_SERVICE = """{"name":"s1","maxConns":100}"""

        /** A service of model engines; the engines of a site hold no model and load none. */
        const val MODEL_SERVICE = """{"name":"s1","maxConns":100,"engine":{"slots":64,"kvCapacity":232000,
            "models":[{"name":"m1","weightsMb":34300.0,"loadS":6.0,"adapters":0,"adapterMb":40.0}],
            "weightsMb":200000.0,"adapterSlots":8,"loadsPerS":1.6}}"""
    }
}

/**
 * Runs [check] at a new site, whose store has [records] and whose VM has [moreSettings], and stops the site; [prepare]
 * is called before the site starts.
 */
internal suspend fun withSite(
    vararg moreSettings: String,
    records: FakeStore.() -> Unit = {},
    prepare: Site.() -> Unit = {},
    check: suspend Site.() -> Unit,
) {
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    try {
        Site(scope).apply { store.records() }.apply(prepare).start(*moreSettings).check()
    } finally {
        scope.cancel()
    }
}
