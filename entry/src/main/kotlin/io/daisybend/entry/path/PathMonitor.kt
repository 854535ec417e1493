/*
 * Watches the direct paths of this VM to endpoints: collects the results of connections, tests paths that may be down,
 * and finds out whether the VM is cut off from all endpoints and when that ends.
 */
package io.daisybend.entry.path

import io.daisybend.entry.EventLog
import io.daisybend.entry.Metrics
import io.daisybend.entry.http.Dialed
import io.daisybend.platform.SocketAddress
import io.daisybend.serving.endpoint.EndpointTable
import io.daisybend.serving.path.EndpointPaths
import io.daisybend.serving.path.PathChange
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/** Calls [onCutOff] with the time of the first failure when the VM is cut off, and [onChange] at each change. */
internal class PathMonitor(
    private val table: EndpointTable,
    private val log: EventLog,
    metrics: Metrics,
    private val steadyMs: () -> Long,
    private val relayPeers: RelayPeers,
    private val connector: () -> EndpointConnector,
    private val onCutOff: (sinceMs: Long) -> Unit,
    private val onChange: () -> Unit,
) : PathState {
    private val paths = EndpointPaths<SocketAddress>()

    /** Exchanges under way on direct connections. */
    val exchanges = WaitingExchanges(steadyMs)

    init {
        metrics.addGauge("daisybend_cut_off", "Whether this VM reaches no endpoint directly") {
            if (isCutOff) 1.0 else 0.0
        }
    }

    override val isCutOff: Boolean get() = paths.isCutOff

    override fun isDown(address: SocketAddress): Boolean = paths.isDown(address, steadyMs())

    override fun isDownForAll(address: SocketAddress): Boolean = paths.isDownForAll(address, steadyMs())

    override suspend fun reachesOther(address: SocketAddress): Boolean {
        val others = table.all().map { it.address }.filter { it != address }
        return others.isEmpty() ||
            others.shuffled().take(OTHERS_TO_TEST).any { connector().testDirectly(it, TEST_TIMEOUT_MS) }
    }

    override fun onPeer(address: SocketAddress, reached: Boolean) =
        apply(paths.onPeer(address, reached, steadyMs()))

    /** Records the result of an attempt to open a direct connection, unless it is the VM that was slow. */
    fun onDialed(dialed: Dialed) {
        val isOwnFault = dialed.tookMs > dialed.timeoutMs + LATENESS_MS
        val isEarly = dialed.isTimeout && dialed.timeoutMs < MIN_TIMEOUT_MS
        if (dialed.worked || (!isOwnFault && !isEarly)) {
            apply(paths.onDirect(dialed.address, dialed.worked, steadyMs()))
        }
    }

    /** Tests paths for as long as the VM runs. */
    suspend fun run() = coroutineScope {
        while (true) {
            delay(TICK_MS)
            val nowMs = steadyMs()
            paths.setListed(table.all().mapTo(HashSet()) { it.address })
            val silent = exchanges.silentEndpoints(SILENT_MS).filter { paths.takeTest(it, TEST_INTERVAL_MS, nowMs) }
            (silent + paths.takeTrials(nowMs)).distinct().forEach { address ->
                launch { connector().testPath(address, TEST_TIMEOUT_MS) }
            }
            moveSilentExchanges(nowMs)
        }
    }

    /** Live connections may go on while new ones are refused, so silence counts only if nothing arrives at all. */
    private fun moveSilentExchanges(nowMs: Long) {
        val isHeard = exchanges.lastHeardAtMs()?.let { nowMs - it < SILENT_MS } ?: false
        val areDirectOnesLost = isCutOff && !isHeard
        val moved = exchanges.moveSilent(SILENT_MS) { connection ->
            connection.relayedBy?.let(relayPeers::isLost) ?: areDirectOnesLost
        }
        if (moved > 0) log.write("silent-exchanges-moved", "count" to moved)
    }

    private fun apply(change: PathChange?) {
        if (change == null) return
        when (change) {
            is PathChange.CutOff -> {
                log.write(
                    "cut-off",
                    "sinceMs" to steadyMs() - change.sinceMs,
                    "evidence" to change.evidence.map { it.toString() },
                    "endpoints" to table.all().size,
                )
                onCutOff(change.sinceMs)
            }
            is PathChange.CutOffEnded -> log.write("cut-off-ended", "sinceMs" to steadyMs() - change.sinceMs)
        }
        onChange()
    }

    private companion object {
        const val TICK_MS = 50L

        /** Silence of an endpoint after which the path to it is tested, in milliseconds. */
        const val SILENT_MS = 300L

        /** Interval of tests of the path to a silent endpoint, in milliseconds. */
        const val TEST_INTERVAL_MS = 1_000L

        /** Timeout of a test, in milliseconds: many round trips. */
        const val TEST_TIMEOUT_MS = 250L

        const val OTHERS_TO_TEST = 2

        /** An attempt that ends this long after its timeout shows that this VM stood still, in milliseconds. */
        const val LATENESS_MS = 200L

        /** Shortest timeout whose expiry tells of the path, in milliseconds. */
        const val MIN_TIMEOUT_MS = 100L
    }
}
