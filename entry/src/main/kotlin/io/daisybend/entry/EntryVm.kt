/*
 * The process of an entry VM: puts its parts together, starts them, and stops them so that no request is cut.
 */
package io.daisybend.entry

import io.daisybend.entry.exchange.BodyMemory
import io.daisybend.entry.exchange.CallerServer
import io.daisybend.entry.exchange.EndpointDesk
import io.daisybend.entry.exchange.RequestFlow
import io.daisybend.entry.http.Dialer
import io.daisybend.entry.http.HttpCaller
import io.daisybend.entry.orders.DutyRunner
import io.daisybend.entry.orders.OrderRunner
import io.daisybend.entry.peers.DutyReport
import io.daisybend.entry.peers.PeerLink
import io.daisybend.entry.peers.PeerReport
import io.daisybend.entry.peers.PeerTable
import io.daisybend.entry.peers.TeamUseReport
import io.daisybend.entry.peers.toHoldings
import io.daisybend.entry.store.ConfigurationFollower
import io.daisybend.entry.store.EndpointFollower
import io.daisybend.entry.store.VmRegistry
import io.daisybend.kernel.rankByRendezvous
import io.daisybend.platform.EngineClient
import io.daisybend.platform.SocketAddress
import io.daisybend.platform.StoreClient
import io.daisybend.platform.VmSettings
import io.daisybend.serving.attempt.RetryBudgetSettings
import io.daisybend.serving.duty.DutyHolder
import io.daisybend.serving.duty.DutySettings
import io.daisybend.serving.endpoint.EndpointChooser
import io.daisybend.serving.endpoint.EndpointTable
import io.daisybend.serving.endpoint.Incarnation
import io.daisybend.serving.rates.TeamRateLimiter
import io.daisybend.serving.rates.TeamUsage
import io.daisybend.serving.site.ClockPair
import io.daisybend.serving.site.FreshnessSettings
import io.daisybend.serving.site.RouteTable
import io.daisybend.serving.site.SystemClockPair
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong

/** One entry VM. */
internal class EntryVm(
    private val settings: VmSettings,
    private val clocks: ClockPair = SystemClockPair,
    private val bodies: BodyMemory = BodyMemory(),
) :
    Readiness {
    private val bounds = settings.bounds
    private val startedAt = clocks.read()
    private val ownHolder = DutyHolder(settings.vm, settings.ip, startedAt.wallMs)
    private val log = EventLog(settings.vm)
    private val metrics = Metrics()
    private val selector = SelectorManager(Dispatchers.IO)
    private val dialer = Dialer(selector, ::steadyMs)
    private val caller = HttpCaller(dialer)
    private val store = StoreClient(caller, settings.storeAddress)
    private val table = EndpointTable()
    private val peers = PeerTable(settings.vm)
    private val limits = TeamRateLimiter(requestEarlyReport = ::reportSoon)
    private val fleet: Fleet = Fleet(settings.vm, peers, ::steadyMs) { FleetParts(desk, duty, orders, link) }
    private val configuration = ConfigurationFollower(store, clocks, log, ::onConfiguration)
    private val endpoints = EndpointFollower(store, clocks, table, log, ::onEndpoints)
    private val desk: EndpointDesk = EndpointDesk(
        table,
        EndpointChooser(failureDomain = settings.failureDomain),
        fleet,
        RetryBudgetSettings(bounds.budgetWindowMs, bounds.budgetRatio, bounds.budgetExtra),
        ::steadyMs,
    )
    private val flow = RequestFlow(dialer, desk, limits, log, metrics, ::steadyMs)
    private val callers = CallerServer(
        configuration,
        flow,
        desk,
        limits,
        FreshnessSettings(maxKeyAgeMs = bounds.revokeMs - KEY_MARGIN_MS, maxDenialAgeMs = DENIAL_MS),
        bodies,
        log,
        metrics,
        ::steadyMs,
    )
    private val duty: DutyRunner = DutyRunner(
        store,
        clocks,
        ownHolder,
        DutySettings(handoverGapMs = bounds.handoverGapMs),
        log,
        { candidateRank() },
    )
    private val orders: OrderRunner = OrderRunner(
        duty,
        EngineClient(caller),
        table,
        fleet,
        configuration = { configuration.table },
        ownName = settings.vm,
        loadWindowMs = bounds.loadWindowMs,
        log,
        metrics,
        ::steadyMs,
    )
    private val link: PeerLink = PeerLink(selector, peers, log, ::makeReport, ::onPeerReport)
    private val registry = VmRegistry(
        store,
        peers,
        log,
        settings.vm,
        SocketAddress(settings.ip, settings.peerPort),
        ::steadyMs,
    )
    private val sequence = AtomicLong()
    private val renewing = AtomicBoolean()
    private lateinit var scope: CoroutineScope
    private var callerSocket: ServerSocket? = null

    private fun reportSoon() = link.reportSoon()

    private fun steadyMs(): Long = clocks.read().steadyMs

    /** Starts all parts; they run in [scope]. */
    suspend fun start(scope: CoroutineScope) {
        this.scope = scope
        val callerServer = listen(settings.callerAddress)
        callerSocket = callerServer
        scope.launch { callers.accept(callerServer, scope) }
        val answers = ControlAnswers(settings, this, peers, configuration, metrics, ::steadyMs)
        val control = ControlServer(log, answers::answer)
        setOf(
            settings.readinessAddress,
            settings.directoryAddress,
            SocketAddress(settings.ip, settings.metricsPort),
        ).forEach {
            val server = listen(it)
            scope.launch { control.accept(server, scope) }
        }
        link.start(scope, settings.ip, settings.peerPort)
        scope.launch { configuration.run() }
        scope.launch { endpoints.run() }
        scope.launch { registry.run() }
        scope.launch { duty.run() }
        scope.launch { orders.run(scope) }
        scope.launch { tidy() }
        addGauges()
        log.write("started", "failureDomain" to settings.failureDomain, "callers" to settings.callerAddress.toString())
    }

    private suspend fun listen(address: SocketAddress): ServerSocket =
        aSocket(selector).tcp().bind(InetSocketAddress(address.host, address.port)) {
            reuseAddress = true
            backlogSize = BACKLOG
        }

    private fun addGauges() {
        metrics.gauge("daisybend_configuration_age_seconds", "Time since the store confirmed the configuration") {
            configuration.confirmationAgeMs() / MILLIS_PER_SECOND
        }
        metrics.gauge("daisybend_log_lines_dropped", "Log lines beyond the limit of a second") {
            log.dropped.toDouble()
        }
        metrics.gauge("daisybend_body_bytes", "Memory that bodies of requests take, in bytes") {
            bodies.used.toDouble()
        }
        metrics.gauge("daisybend_requests_under_way", "Requests read and not yet answered") {
            callers.underWay.toDouble()
        }
    }

    /** Stops gracefully: takes no new callers after a while, finishes what runs and returns within the grace period. */
    suspend fun stop() {
        val beganMs = steadyMs()
        log.write("stopping", "underWay" to callers.underWay)
        callers.isStopping = true
        link.reportSoon()
        delay(minOf(ACCEPT_WHILE_STOPPING_MS, bounds.graceMs / 3))
        callerSocket?.close()
        callers.closeIdle()
        val endMs = beganMs + bounds.graceMs - STOP_MARGIN_MS
        while (callers.underWay > 0 && steadyMs() < endMs) {
            delay(STOP_LOOK_MS)
            callers.closeIdle()
        }
        // No other VM may order for a while after this one: it orders until it ends, or until its next process goes on.
        duty.giveUp()
        log.write("stopped", "underWay" to callers.underWay, "tookMs" to steadyMs() - beganMs)
        delay(STOP_LOOK_MS)
    }

    /** Notes that the settings file may have changed; [problem] says why it can't be used, if so. */
    fun onSettingsChanged(problem: String?) {
        log.write("settings-read-again", "problem" to problem)
    }

    private suspend fun tidy() {
        while (true) {
            delay(TIDY_EVERY_MS)
            val now = steadyMs()
            dialer.closeExpired()
            peers.forgetSilent(now)
            limits.setFleet(peers.all.size + 1, peers.silentShare(now), now)
        }
    }

    private fun onConfiguration(newTable: RouteTable) {
        limits.configure(newTable.configuration.teams, steadyMs())
        desk.endpointsChanged()
    }

    private fun onEndpoints() {
        desk.endpointsChanged()
        orders.lookSoon()
    }

    override val isStopping: Boolean get() = callers.isStopping

    override val isReady: Boolean
        get() = !callers.isStopping &&
            endpoints.isKnown &&
            configuration.table != null &&
            configuration.confirmationAgeMs() < bounds.revokeMs - KEY_MARGIN_MS

    /** This VM's place among the candidates for the order duty, or null when it is none. */
    private fun candidateRank(excluding: String? = null): Int? {
        if (callers.isStopping && duty.currentTurn() == null) return null
        if (configuration.confirmationAgeMs() > CANDIDATE_AGE_MS) return null
        val others = peers.alive(steadyMs())
            .filter { !it.stopping && it.storeAgeMs < CANDIDATE_AGE_MS && it.vm != excluding }
            .map { it.vm }
        return rankByRendezvous("order-duty", others + settings.vm).indexOf(settings.vm)
    }

    private fun makeReport(): PeerReport {
        val now = clocks.read()
        return PeerReport(
            vm = settings.vm,
            startedAtMs = startedAt.wallMs,
            uptimeMs = now.steadyMs - startedAt.steadyMs,
            sequence = sequence.incrementAndGet(),
            host = settings.ip,
            peerPort = settings.peerPort,
            callerPort = settings.callerAddress.port,
            failureDomain = settings.failureDomain,
            ready = isReady,
            stopping = callers.isStopping,
            storeAgeMs = configuration.confirmationAgeMs(),
            hears = peers.alive(now.steadyMs).map { it.vm },
            teams = limits.report().map { (team, use) -> TeamUseReport(team, use.admitted, use.level) },
            duty = duty.newest(),
            renewal = duty.renewalToAsk(),
            holdsDuty = duty.currentTurn() != null,
            endpoints = desk.places.uses(),
            wants = desk.ownWants(),
            requests = desk.requestCounts(),
            holdings = if (duty.currentTurn() != null) orders.announcements() else emptyList(),
        )
    }

    private fun onPeerReport(report: PeerReport) {
        val now = steadyMs()
        val isNewPeer = peers.all.none { it.vm == report.vm && it.report?.startedAtMs == report.startedAtMs }
        if (!peers.onReport(report, now)) return
        if (isNewPeer) {
            log.write("peer-joined", "peer" to report.vm, "startedAtMs" to report.startedAtMs)
            link.reportSoon()
        }
        val isOlder = report.uptimeMs > now - startedAt.steadyMs + OLDER_BY_MS
        limits.onPeerUsage(
            report.vm,
            report.startedAtMs,
            report.teams.associate {
                it.team to
                    TeamUsage(it.admitted, it.level)
            },
            isOlder,
            now,
        )
        report.duty?.let(duty::onReport)
        report.renewal?.let(::renewForPeer)
        if (report.holdings.isNotEmpty()) {
            report.holdings.forEach { table.announce(Incarnation(it.engine, it.bornMs), it.toHoldings(), now) }
            desk.endpointsChanged()
        }
        if (report.wants.isNotEmpty() && duty.currentTurn() != null) orders.lookSoon()
    }

    /** The first two VMs in touch with the store append a peer's renewal. */
    private fun renewForPeer(renewal: DutyReport) {
        val candidate = candidateRank(excluding = DutyHolder.parse(renewal.holder)?.vm) ?: return
        if (candidate >= RENEWING_PEERS || !renewing.compareAndSet(false, true)) return
        scope.launch {
            if (duty.appendFor(renewal)) link.reportSoon()
            renewing.set(false)
        }
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1000.0

        /** Connections that may wait to be accepted. */
        const val BACKLOG = 512

        /** Kept back from the bound for withdrawn keys, in milliseconds: clocks and a slow thread. */
        const val KEY_MARGIN_MS = 200L

        /** Age of the configuration up to which an unknown key or route is denied, in milliseconds: one long read. */
        const val DENIAL_MS = 1_900L

        /** Age of the configuration up to which a VM may seek the order duty, in milliseconds. */
        const val CANDIDATE_AGE_MS = 2_600L

        /** How many VMs append a peer's renewal: one may be cut off itself. */
        const val RENEWING_PEERS = 2

        /** How long a stopping VM takes new requests, in milliseconds: answers of the directory have expired then. */
        const val ACCEPT_WHILE_STOPPING_MS = 2_500L

        /** Time kept back from the grace period, in milliseconds. */
        const val STOP_MARGIN_MS = 500L
        const val STOP_LOOK_MS = 50L
        const val TIDY_EVERY_MS = 200L

        /** A peer that runs longer by this knows the rates' state better, in milliseconds. */
        const val OLDER_BY_MS = 1_000L
    }
}
