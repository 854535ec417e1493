/*
 * The site of a soak: entry VMs as processes, a store and engines as stand-ins, and the links between them.
 */
package io.daisybend.entry.soak

import io.daisybend.entry.standin.EntryProcess
import io.daisybend.entry.standin.FakeServer
import io.daisybend.entry.standin.FakeStore
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import java.io.IOException
import java.net.HttpURLConnection
import java.net.URI
import java.nio.file.Path

/** A VM; [isTight] if its process gets only a part of each tenth of a second. */
internal class SoakVm(val name: String, storePort: Int, folder: Path, val isTight: Boolean) : AutoCloseable {
    val storeProxy = SoakProxy(storePort)
    val process = EntryProcess(name, storeProxy.port, folder, *settings)
    val callerProxy = SoakProxy(process.callerPort)

    /** Held while the process is stopped and started. */
    val lifecycle = Mutex()
    private var quota: Process? = null

    fun start() {
        process.start()
        if (!isTight) return
        // Imitates a quota of processor time: a process of batch work runs and waits in each tenth of a second.
        val script = "exec 3<> <(:); while kill -STOP $0 2>/dev/null; do read -t 0.05 -u 3; kill -CONT $0; " +
            "read -t 0.05 -u 3; done"
        quota = ProcessBuilder("bash", "-c", script, process.pid.toString()).start()
    }

    /** Returns the answer of the directory, or null. */
    fun resolve() = get(process.directoryPort, "/daisybend/resolve?name=site.example&region=home&zone=north")

    val isReady: Boolean get() = get(process.readyPort, "/daisybend/readyz") != null

    private fun get(port: Int, path: String): String? {
        val connection = URI("http://127.0.0.1:$port$path").toURL().openConnection() as HttpURLConnection
        connection.connectTimeout = CONTROL_TIMEOUT_MS
        connection.readTimeout = CONTROL_TIMEOUT_MS
        return try {
            val isOk = connection.responseCode == HttpURLConnection.HTTP_OK
            if (isOk) connection.inputStream.reader().readText() else null
        } catch (unavailable: IOException) {
            null
        } finally {
            connection.disconnect()
        }
    }

    override fun close() {
        process.close()
        quota?.destroyForcibly()
        storeProxy.close()
        callerProxy.close()
    }

    private companion object {
        const val CONTROL_TIMEOUT_MS = 1_000
        val settings = arrayOf(
            "limits.memoryMb=430", "limits.maxFds=4100", "bounds.graceS=8", "bounds.drainMs=2000",
            "bounds.revokeMs=5000", "bounds.budgetRatio=0.2", "bounds.budgetWindowS=10", "bounds.budgetExtra=58",
            "bounds.leaseMs=3000", "bounds.ttl_max_s=5", "bounds.ceilingWindowS=5",
        )
    }
}

/** The site of [plan]; the files of its VMs are in [folder]. */
internal class SoakSite(
    private val plan: SoakPlan,
    private val scope: CoroutineScope,
    folder: Path,
    private val ledger: SoakLedger,
    private val timeline: SoakTimeline,
) : AutoCloseable {
    val store = FakeStore()
    private val selector = SelectorManager(Dispatchers.IO)
    private val storeServer = FakeServer(scope, store::handle)
    lateinit var vms: List<SoakVm>
        private set
    val engines = ArrayList<SoakEngine>()
    private var engineCount = 0
    private var version = 0
    private val logFolder = folder

    /** Starts everything and waits until the VMs are ready. */
    suspend fun start() {
        storeServer.start(selector)
        repeat(plan.engines) { engines.add(newEngine(it)) }
        configure()
        vms = List(plan.vms) { SoakVm("vm-$it", storeServer.port, logFolder, it in plan.tightVms) }
        vms.forEach { it.start() }
        val endAtMs = timeline.nowMs + START_TIMEOUT_MS
        while (!vms.all { it.isReady }) {
            check(timeline.nowMs < endAtMs) { "expected all VMs to be ready within $START_TIMEOUT_MS ms" }
            delay(POLL_MS)
        }
        timeline.note("all VMs are ready")
    }

    /** Returns a new engine for the place [index]. */
    suspend fun newEngine(index: Int): SoakEngine = SoakEngine(
        nextEngineId(),
        serviceOf(index),
        scope,
        store,
        ledger,
        timeline,
        isProxied = index in plan.proxiedEngines,
        ignoresClose = index in plan.ignoringEngines,
        listsRuns = plan.enginesListRuns,
        repeatsRefusals = index in plan.repeatingEngines,
        seed = plan.seed + index,
    ).start(selector)

    @Synchronized
    fun nextEngineId() = "e-${++engineCount}"

    private fun serviceOf(index: Int) = when {
        index < plan.modelEngines -> "llm"
        index < plan.modelEngines + plan.plainEngines -> "plain"
        else -> OTHER_SERVICE
    }

    /** Writes the next version of the configuration; each second one moves a route, and some add one. */
    @Synchronized
    fun configure() {
        version++
        val sentMs = timeline.nowMs
        val routes = SoakRoute.entries.map { route ->
            val isMoved = version % 2 == 0 && route == SoakRoute.SAFE
            routeOf(route, if (isMoved) OTHER_SERVICE else route.service)
        } + List(version % 3) { routeOf(SoakRoute.SAFE, "plain", "/extra-$version-$it/") }
        store.put(
            "keyed.op",
            "config",
            """{"version":$version,"routes":$routes,"services":[{"name":"plain","maxConns":200},
            {"name":"$OTHER_SERVICE","maxConns":200},{"name":"llm","maxConns":200,"engine":{"slots":64,
            "kvCapacity":232000,"models":[{"name":"m1","weightsMb":34300,"loadS":6.0,"adapters":0,"adapterMb":40}],
            "weightsMb":100000,"adapterSlots":8,"loadsPerS":1.6}}],"tenants":[{"name":"red","apiKeys":["k1"],
            "unit":"token_stream","plainTokens":200,"ratePerS":0,"burst":0}],"limits":{"maxHeaderBytes":16384,
            "maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}""",
        )
        timeline.plan(PlannedWork.Configure(sentMs, timeline.nowMs))
    }

    private fun routeOf(route: SoakRoute, service: String, prefix: String = route.prefix): String {
        val targetMs = if (route.isStream) plan.streamTargetMs else PLAIN_TARGET_MS
        return """{"name":"${prefix.trim('/')}","host":"site.example","pathPrefix":"$prefix",
            "routeType":"${route.kind}","timeoutMs":${route.timeoutMs},"targetLatencyMs":$targetMs,"priority":1,
            "service":"$service","maxAttempts":3,"resumable":${route.isResumable},"sticky":${route.isStream},
            "public":${route.isPublic}}"""
    }

    override fun close() {
        if (::vms.isInitialized) vms.forEach { it.close() }
        engines.forEach { it.proxy?.close() }
        selector.close()
    }

    private companion object {
        const val OTHER_SERVICE = "other"
        const val PLAIN_TARGET_MS = 500L
        const val START_TIMEOUT_MS = 30_000L
        const val POLL_MS = 50L
    }
}
