package io.daisybend.entry.standin

import com.github.michaelbull.result.getOrElse
import io.daisybend.entry.EntryVm
import io.daisybend.entry.exchange.BodyMemory
import io.daisybend.platform.readVmSettings
import io.daisybend.standins.freePort
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.matchers.shouldBe
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlin.time.Duration.Companion.seconds

/** A site with one VM, a store and two endpoints. */
internal class EntrySite(val scope: CoroutineScope) {
    val store = StoreStandIn()
    val endpoints = listOf(EndpointStandIn("e-1"), EndpointStandIn("e-2"))
    private val selector = SelectorManager(Dispatchers.IO)
    private val callerPort = freePort()
    private val readyPort = freePort()
    private val metricsPort = freePort()
    lateinit var vm: EntryVm

    suspend fun start(): EntrySite {
        val storePort = StandInServer(scope, store::handle).start(selector).port
        endpoints.forEach { endpoint ->
            val port = StandInServer(scope, endpoint::handle).start(selector).port
            val address = """"address":"127.0.0.1:$port","zone":"north""""
            store.put("keyed.servers", endpoint.id, """{"service":"s1",$address,"slots":6,"state":"ready","born":1}""")
        }
        val settings = """
            nodeName=vm-1
            ip=127.0.0.1
            zone=north
            region=home
            listen.front=127.0.0.1:$callerPort
            listen.readiness=127.0.0.1:$readyPort
            listen.directory=127.0.0.1:${freePort()}
            portRange=0,$metricsPort
            platform.address=127.0.0.1:$storePort
            bounds.budgetExtra=50
            bounds.graceS=3
        """.trimIndent()
        vm = EntryVm(readVmSettings(settings).getOrElse { error(it.message) }, bodies = BodyMemory(limitBytes = 10_000))
        vm.start(scope)
        return this
    }

    suspend fun configure(version: Int = 1, keys: String = "\"k1\""): EntrySite {
        store.put("keyed.op", "config", configurationOf(version, keys))
        eventually(10.seconds) { connect().call("GET", "/safe/x").status shouldBe 200 }
        endpoints.forEach { it.ran.clear() }
        return this
    }

    fun configurationOf(version: Int, keys: String) =
        """{"version":$version,"routes":[${route(
            "safe",
            "safe",
        )},${route("once", "unsafe")},${route("stream", "streaming")}],
        "services":[{"name":"s1","maxConns":100}],"tenants":[{"name":"red","apiKeys":[$keys]}]}"""

    private fun route(name: String, kind: String) =
        """{"name":"$name","host":"site.example","pathPrefix":"/$name/","routeType":"$kind","timeoutMs":3000,
        "targetLatencyMs":200,"priority":1,"service":"s1","maxAttempts":2,"resumable":${kind == "streaming"}}"""

    suspend fun connect() = connect(callerPort)

    private suspend fun connect(port: Int) =
        CallerStandIn(aSocket(selector).tcp().connect(InetSocketAddress("127.0.0.1", port)))

    suspend fun metrics() = connect(metricsPort).call("GET", "/metrics").body

    suspend fun isReady() = connect(readyPort).call("GET", "/daisybend/readyz").status == 200

    fun allDo(behaviour: Behaviour) = endpoints.forEach { it.behaviours.add(behaviour) }

    val ran get() = endpoints.flatMap { it.ran }
}
