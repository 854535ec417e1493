/*
 * A small site in the test process: stand-ins and daemons that use real sockets on free loopback ports.
 */
package io.daisybend.daemon

import com.github.michaelbull.result.getOrElse
import io.daisybend.configuration.AdapterSpec
import io.daisybend.configuration.EndpointKind
import io.daisybend.configuration.EndpointSpec
import io.daisybend.configuration.KeyId
import io.daisybend.configuration.KeySpec
import io.daisybend.configuration.Manifest
import io.daisybend.configuration.ModelSpec
import io.daisybend.configuration.RouteSpec
import io.daisybend.configuration.TeamSpec
import io.daisybend.kernel.AdapterId
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.FailureDomainId
import io.daisybend.kernel.ModelId
import io.daisybend.kernel.TeamId
import io.daisybend.kernel.plugin.PortRegistry
import io.daisybend.kernel.settings.parseSettings
import io.daisybend.standins.EngineOptions
import io.daisybend.standins.StandIn
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.get
import io.ktor.client.request.header
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.contentType
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import java.net.InetAddress
import java.net.ServerSocket
import java.security.MessageDigest
import java.util.HexFormat
import java.util.concurrent.ConcurrentHashMap

/** A key in plain text with its manifest entry. */
class TestKey(keyId: String, val teamId: TeamId, secret: String = "secret-of-$keyId") {
    val text = "db_${keyId}_$secret"
    val spec = KeySpec(KeyId(keyId), teamId, SALT_HEX, hash())

    private fun hash(): String {
        val digest = MessageDigest.getInstance("SHA-256")
        digest.update(HexFormat.of().parseHex(SALT_HEX))
        return HexFormat.of().formatHex(digest.digest(text.toByteArray()))
    }

    private companion object {
        const val SALT_HEX = "00112233445566778899aabbccddeeff"
    }
}

/** A daemon of the site with its listen addresses. */
class TestVm(
    val daemon: Daemon,
    val callerAddress: String,
    val operatorAddress: String,
    private val client: HttpClient,
) {
    suspend fun stop() {
        daemon.stop()
        client.close()
    }
}

class TestSite private constructor(
    val platform: StandIn,
    val engines: List<StandIn>,
    val service: StandIn,
    private val addressLifetimeMs: Long,
    private val extraSettings: String,
) {
    val client = HttpClient(CIO) {
        expectSuccess = false
        install(HttpTimeout) { requestTimeoutMillis = 30_000 }
    }
    val vms = ArrayList<TestVm>()

    suspend fun startVm(vmId: String): TestVm {
        val ports = List(3) { freePort() }
        val ini = """
            [vm]
            id = $vmId
            failure_domain = domain-$vmId
            region = test
            [callers]
            listen = 127.0.0.1:${ports[0]}
            address_lifetime = ${addressLifetimeMs}ms
            max_body = 64KiB
            [peers]
            listen = 127.0.0.1:${ports[1]}
            secret_file = unused
            [operators]
            listen = 127.0.0.1:${ports[2]}
            token_file = unused
            [platform]
            address = ${platform.address}
            list_lag = 600ms
        """.trimIndent() + "\n" + extraSettings
        val settings = parseSettings("$vmId.ini", ini.toByteArray(), DaemonKeys.all).getOrElse { error(it.message) }
        val registry = PortRegistry.load()
        val httpClient = daemonHttpClient()
        val daemonPorts = createPorts(settings, registry, httpClient).getOrElse { error(it.message) }
        val daemon = Daemon(settings, DaemonSecrets("peers".toByteArray(), TOKEN), registry, daemonPorts)
        daemon.start().getOrElse { error(it.message) }
        return TestVm(daemon, "127.0.0.1:${ports[0]}", "127.0.0.1:${ports[2]}", httpClient).also { vms += it }
    }

    fun manifest(keys: List<TestKey> = listOf(key, otherKey)) = Manifest(
        models = listOf(MODEL, OTHER_MODEL).map { ModelSpec(it, "1", MODEL_BYTES, maxOutputTokens = MAX_TOKENS) },
        adapters = listOf(AdapterSpec(ADAPTER, MODEL, "1", ADAPTER_BYTES)),
        teams = listOf(
            TeamSpec(TEAM, 1_000_000, 10_000_000, modelIds = listOf(MODEL), adapterIds = listOf(ADAPTER)),
            TeamSpec(OTHER_TEAM, 1_000_000, 10_000_000, modelIds = listOf(OTHER_MODEL)),
        ),
        keys = keys.map { it.spec },
        endpoints = engines.mapIndexed { index, engine ->
            EndpointSpec(
                endpointId = EndpointId("engine-$index"),
                kind = EndpointKind.ENGINE,
                address = engine.address,
                failureDomainId = FailureDomainId("domain-$index"),
                memoryBytes = ENGINE_BYTES,
                checksFencing = index % 2 == 0,
            )
        } + EndpointSpec(SERVICE, EndpointKind.SERVICE, service.address, FailureDomainId("domain-0")),
        routes = listOf(
            RouteSpec("booking", listOf(SERVICE), repeatable = false, teamIds = listOf(TEAM)),
            RouteSpec("open", listOf(SERVICE), repeatable = true, openToAll = true),
        ),
    )

    suspend fun apply(manifest: Manifest, vm: TestVm = vms.first()): HttpResponse =
        client.post("http://${vm.operatorAddress}/admin/manifest") {
            bearerAuth(TOKEN)
            setBody(json.encodeToString(Manifest.serializer(), manifest))
        }

    suspend fun awaitReady() = vms.forEach { vm ->
        eventually { client.get("http://${vm.operatorAddress}/readyz").status.value == 200 }
    }

    suspend fun chat(
        vm: TestVm,
        key: TestKey? = TestSite.key,
        model: String = MODEL.value,
        maxTokens: Int = 5,
        stream: Boolean = false,
        text: String = "hello",
    ): HttpResponse = client.post("http://${vm.callerAddress}/v1/chat/completions") {
        key?.let { bearerAuth(it.text) }
        contentType(ContentType.Application.Json)
        val message = """[{"role":"user","content":"$text"}]"""
        setBody("""{"model":"$model","stream":$stream,"max_tokens":$maxTokens,"messages":$message}""")
    }

    suspend fun reserve(vm: TestVm, idempotencyKey: String?, key: TestKey? = TestSite.key, body: String = "{}") =
        client.post("http://${vm.callerAddress}/services/booking/reservations") {
            key?.let { bearerAuth(it.text) }
            idempotencyKey?.let { header("Idempotency-Key", it) }
            contentType(ContentType.Application.Json)
            setBody(body)
        }

    /** Sets the switches of [standIn] to the JSON object [switches]; omitted switches are reset to their defaults. */
    suspend fun setSwitches(standIn: StandIn, switches: String) {
        client.post("http://${standIn.address}/switches") {
            contentType(ContentType.Application.Json)
            setBody(switches)
        }
    }

    suspend fun getText(standIn: StandIn, path: String): String = client.get(
        "http://${standIn.address}$path",
    ).bodyAsText()

    suspend fun close() {
        vms.forEach { it.stop() }
        engines.forEach { it.stop() }
        service.stop()
        platform.stop()
        client.close()
    }

    companion object {
        const val TOKEN = "operators"
        const val MODEL_BYTES = 20L shl 30
        const val MAX_TOKENS = 200
        const val ADAPTER_BYTES = 100L shl 20
        const val ENGINE_BYTES = 80L shl 30
        val TEAM = TeamId("team-a")
        val OTHER_TEAM = TeamId("team-b")
        val MODEL = ModelId("model-a")
        val OTHER_MODEL = ModelId("model-b")
        val ADAPTER = AdapterId("adapter-a")
        val SERVICE = EndpointId("service")
        val key = TestKey("key-a", TEAM)
        val otherKey = TestKey("key-b", OTHER_TEAM)
        private val json = Json { encodeDefaults = true }

        /**
         * Returns a free port below the ephemeral range, which no earlier call has returned. An outgoing connection
         * could take an ephemeral port between this call and the start of the listener.
         */
        fun freePort(): Int = generateSequence { LISTENER_PORTS.random() }.first { port ->
            handedOutPorts.add(port) &&
                runCatching { ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close() }.isSuccess
        }

        private val LISTENER_PORTS = 12_000 until 32_000
        private val handedOutPorts = ConcurrentHashMap.newKeySet<Int>()

        /** Runs [body] on a site with [vmCount] ready daemons and stops the site afterwards. */
        suspend fun run(
            vmCount: Int = 1,
            engineCount: Int = 2,
            addressLifetimeMs: Long = 100,
            extraSettings: String = "",
            body: suspend (TestSite) -> Unit,
        ) {
            val platform = StandIn.platform(freePort()).start()
            val engines = List(engineCount) { index ->
                StandIn.engine(freePort(), EngineOptions(ENGINE_BYTES, checksFencing = index % 2 == 0)).start()
            }
            val site =
                TestSite(platform, engines, StandIn.service(freePort()).start(), addressLifetimeMs, extraSettings)
            try {
                repeat(vmCount) { site.startVm("vm-$it") }
                eventually { site.apply(site.manifest()).status.value == 200 }
                site.awaitReady()
                body(site)
            } finally {
                site.close()
            }
        }

        /** Waits until [condition] is true; fails after [timeoutMs]. */
        suspend fun eventually(timeoutMs: Long = 20_000, condition: suspend () -> Boolean) {
            val attempts = timeoutMs / POLL_INTERVAL_MS
            repeat(attempts.toInt()) {
                if (condition()) return
                delay(POLL_INTERVAL_MS)
            }
            error("expected the condition to hold within $timeoutMs ms, it did not")
        }

        private const val POLL_INTERVAL_MS = 50L
    }
}
