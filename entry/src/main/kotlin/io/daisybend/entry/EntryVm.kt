/*
 * Creates and connects the components of an entry VM, starts them, and stops them so that running requests can finish.
 */
package io.daisybend.entry

import io.daisybend.entry.exchange.BodyMemory
import io.daisybend.entry.exchange.BrittleNotices
import io.daisybend.entry.exchange.CallerListener
import io.daisybend.entry.exchange.CallerServer
import io.daisybend.entry.exchange.EndpointConnections
import io.daisybend.entry.exchange.EndpointDepartures
import io.daisybend.entry.exchange.EndpointLoads
import io.daisybend.entry.exchange.EndpointPool
import io.daisybend.entry.exchange.EngineEndDetector
import io.daisybend.entry.exchange.EngineRuns
import io.daisybend.entry.exchange.PrefixCaches
import io.daisybend.entry.exchange.RequestFingerprinter
import io.daisybend.entry.exchange.RequestHandler
import io.daisybend.entry.exchange.StopState
import io.daisybend.entry.http.Dialer
import io.daisybend.entry.http.OutgoingConnections
import io.daisybend.entry.http.TcpDialer
import io.daisybend.entry.orders.DutyCandidates
import io.daisybend.entry.orders.DutyGapMonitor
import io.daisybend.entry.orders.LeaseManager
import io.daisybend.entry.orders.OrderController
import io.daisybend.entry.path.EndpointConnector
import io.daisybend.entry.path.PathMonitor
import io.daisybend.entry.path.RelayPeers
import io.daisybend.entry.peers.DutyReport
import io.daisybend.entry.peers.LoadForecast
import io.daisybend.entry.peers.PeerLink
import io.daisybend.entry.peers.PeerReport
import io.daisybend.entry.peers.PeerTable
import io.daisybend.entry.peers.ReportEffect
import io.daisybend.entry.peers.ReportPurpose
import io.daisybend.entry.peers.ReportSchedule
import io.daisybend.entry.peers.TeamUseReport
import io.daisybend.entry.peers.toBrittleReports
import io.daisybend.entry.peers.toBrittleServices
import io.daisybend.entry.peers.toEvidence
import io.daisybend.entry.peers.toHoldings
import io.daisybend.entry.peers.toLeavingReports
import io.daisybend.entry.peers.toOrigins
import io.daisybend.entry.peers.toReport
import io.daisybend.entry.peers.toReports
import io.daisybend.entry.peers.toStreamReports
import io.daisybend.entry.peers.toUses
import io.daisybend.entry.relay.RelayClient
import io.daisybend.entry.relay.RelayLimits
import io.daisybend.entry.relay.RelayServer
import io.daisybend.entry.store.ConfigurationWatcher
import io.daisybend.entry.store.EndpointWatcher
import io.daisybend.entry.store.ListSharing
import io.daisybend.entry.store.QuarantineKeeper
import io.daisybend.entry.store.StoreCallLog
import io.daisybend.entry.store.StoreRetry
import io.daisybend.entry.store.VmRegistry
import io.daisybend.kernel.rankByRendezvous
import io.daisybend.platform.EngineClient
import io.daisybend.platform.SocketAddress
import io.daisybend.platform.StoreClient
import io.daisybend.platform.VmSettings
import io.daisybend.serving.attempt.RetryBudgetSettings
import io.daisybend.serving.duty.DutyHolder
import io.daisybend.serving.duty.DutySettings
import io.daisybend.serving.duty.FIRST_STORE_ERA
import io.daisybend.serving.endpoint.EndpointChooser
import io.daisybend.serving.endpoint.EndpointPauses
import io.daisybend.serving.endpoint.EndpointTable
import io.daisybend.serving.endpoint.Incarnation
import io.daisybend.serving.endpoint.ListRelaySettings
import io.daisybend.serving.quarantine.CrashEvidence
import io.daisybend.serving.quarantine.CrashQuarantine
import io.daisybend.serving.quarantine.Quarantine
import io.daisybend.serving.rates.BucketUse
import io.daisybend.serving.rates.EndpointLimitChange
import io.daisybend.serving.rates.EndpointRateLimiter
import io.daisybend.serving.rates.TeamRateLimiter
import io.daisybend.serving.site.ClockPair
import io.daisybend.serving.site.FreshnessSettings
import io.daisybend.serving.site.RouteTable
import io.daisybend.serving.site.StorePolling
import io.daisybend.serving.site.StorePollingBounds
import io.daisybend.serving.site.SystemClockPair
import io.daisybend.serving.stream.StreamOrigins
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong

/** An entry VM with the given [settings]. */
internal class EntryVm(
    private val settings: VmSettings,
    private val clocks: ClockPair = SystemClockPair,
    private val bodyMemory: BodyMemory = BodyMemory(),
    responseMemory: BodyMemory = BodyMemory(),
    dialer: Dialer = TcpDialer,
) :
    Readiness {
    private val bounds = settings.bounds
    private val startedAt = clocks.read()
    private val ownHolder = DutyHolder(settings.vm, settings.ip, startedAt.wallMs)
    private val log = EventLog(settings.vm)
    private val metrics = Metrics()
    private val load = LoadMonitor(log, metrics, ::steadyMs)
    private val selector = SelectorManager(Dispatchers.IO)
    private val connections = OutgoingConnections(selector, dialer, { pathMonitor.onDialed(it) }, ::steadyMs)
    private val store = StoreClient(connections.calls, settings.storeAddress)
    private val storeCallLog = StoreCallLog(store.calls, metrics, log)
    private val table = EndpointTable()
    private val reportSchedule = ReportSchedule(settings.linkMbps)
    private val peers = PeerTable(settings.vm, reportSchedule)
    private val loadForecast = LoadForecast(isListed = { table.find(it) != null })
    private val relayPeers = RelayPeers(peers, settings.failureDomain, ::steadyMs)
    private val pathMonitor: PathMonitor =
        PathMonitor(table, log, metrics, ::steadyMs, relayPeers, { endpointConnector }, ::onCutOff, ::reportSoon)
    private val endpointConnector = EndpointConnector(
        connections.requests,
        RelayClient(selector, settings.vm, log, ::steadyMs),
        relayPeers,
        pathMonitor,
        ::steadyMs,
    )
    private val teamRateLimiter = TeamRateLimiter(requestEarlyReport = ::reportSoon)
    private val teamRejections = TeamRejections(teamRateLimiter, log, metrics)
    private val fleet: Fleet = Fleet(settings.vm, peers, loadForecast, ::steadyMs) {
        VmComponents(endpointPool, leaseManager, orderController, peerLink)
    }
    private val quarantine = CrashQuarantine(
        rankOf = ::rankAmongVms,
        requestEarlyReport = ::reportSoon,
        onChange = ::onQuarantinesChanged,
    )
    private val endpointRateLimiter =
        EndpointRateLimiter(requestEarlyReport = ::reportSoon, onChange = ::onEndpointLimitChanged)
    private val quarantineLog = QuarantineLog(log, metrics, ::steadyMs)
    private val fingerprinter = RequestFingerprinter()
    private val storePolling =
        StorePolling(StorePollingBounds(bounds.configApplyMs, bounds.revokeMs, bounds.drainMs))
    private val storeRetry: StoreRetry = StoreRetry(storePolling, { peers.vmCount }) { configuration.isStoreLost }
    private val quarantineKeeper =
        QuarantineKeeper(store, quarantine, fingerprinter, clocks, log, storeRetry) {
            val share = peers.contact(steadyMs()).unreachableShare
            storePolling.evidenceIntervalMs(peers.vmCount, share).takeIf { share > 0.0 }
        }
    private val endpointLoads = EndpointLoads(table, peers::vmCount, reportSchedule, ::steadyMs)
    private val rules: EndpointRules = EndpointRules(
        settings,
        table,
        peers,
        log,
        metrics,
        endpointLoads::peersInFlight,
        ::steadyMs,
        ::onEndpointsChanged,
        ::reportSoon,
    )
    private val brittleNotices = BrittleNotices(table, rules.brittleEngines, log, ::steadyMs)
    private val configuration: ConfigurationWatcher = ConfigurationWatcher(
        store,
        clocks,
        log,
        storePolling,
        { peers.vmCount },
        rules.evacuationRecords,
        ::onConfigurationChanged,
    )
    private val streamOrigins = StreamOrigins(hasPeers = { peers.vmCount > 1 }, requestEarlyReport = ::reportSoon)
    private val listSharing = ListSharing(
        settings.vm,
        settings.failureDomain,
        settings.linkMbps,
        peers,
        storePolling,
        log,
        ::steadyMs,
        isStopping = { stopState.isStopping },
        peerLink = { peerLink },
    )
    private val endpointWatcher =
        EndpointWatcher(
            store,
            clocks,
            table,
            log,
            load,
            streamOrigins,
            listSharing,
            ListRelaySettings.forDrain(bounds.drainMs),
            storeRetry,
            rules::onListed,
            ::onEndpointsChanged,
        )
    private val pauses = EndpointPauses()
    private val departures =
        EndpointDepartures(table, connections, log, ::steadyMs, ::onEndpointsChanged, ::reportSoon)
    private val stopState = StopState()
    private val prefixCaches = PrefixCaches(table, ::kvCapacityOf, log, ::steadyMs)
    private val endpointPool: EndpointPool = EndpointPool(
        table,
        EndpointChooser(failureDomain = settings.failureDomain),
        fleet,
        RetryBudgetSettings(bounds.budgetWindowMs, bounds.budgetRatio, bounds.budgetExtra),
        load,
        quarantine,
        fingerprinter,
        endpointRateLimiter,
        streamOrigins,
        pauses,
        rules.eligibility,
        endpointLoads,
        prefixCaches,
        departures,
        pathMonitor,
        brittleNotices,
        stopState.deadline,
        endpointWatcher::listAgeMs,
        ::steadyMs,
    )
    private val engineClient = EngineClient(
        connections.calls,
        connections.orders,
        departures::onResponse,
        endpointLoads::onEngineReport,
        brittleNotices::onEngineAnswer,
    )
    private val relayingEngineClient =
        engineClient.over(connections.callsOver(endpointConnector.over(connections.ofCalls)))
    private val requestHandler = RequestHandler(
        EndpointConnections(connections.requests, endpointConnector::open, pathMonitor.exchanges),
        endpointPool,
        EngineEndDetector(endpointConnector, pathMonitor, quarantine, log, ::steadyMs),
        EngineRuns(relayingEngineClient, log, ::steadyMs),
        teamRateLimiter,
        responseMemory,
        log,
        metrics,
        ::steadyMs,
    )
    private val callers = CallerServer(
        stopState,
        configuration,
        requestHandler,
        endpointPool,
        teamRateLimiter,
        teamRejections,
        { FreshnessSettings(bounds.revokeMs - KEY_REVOCATION_MARGIN_MS, configuration.times.maxDenialAgeMs) },
        bodyMemory,
        log,
        metrics,
        ::steadyMs,
    )
    private val dutyCandidates = DutyCandidates(settings.vm, ::candidatePeers, pathMonitor::isCutOff) { !it.cutOff }
    private val leaseManager: LeaseManager = LeaseManager(
        store,
        clocks,
        ownHolder,
        DutySettings(handoverGapMs = bounds.handoverGapMs),
        log,
        ::dutyRank,
        ::onDutyAcquired,
        ::reportSoon,
        dutyCandidates::shouldHandOver,
    )
    private val orderController: OrderController = OrderController(
        leaseManager,
        engineClient,
        table,
        fleet,
        endpointRateLimiter,
        rules.eligibility,
        configuration = { configuration.table },
        ownVm = settings.vm,
        loadWindowMs = bounds.loadWindowMs,
        log,
        load,
        metrics,
        ::steadyMs,
        pathMonitor::isCutOff,
    )
    private val dutyGaps = DutyGapMonitor(log, metrics, ::steadyMs)
    private val peerLink: PeerLink =
        PeerLink(selector, peers, reportSchedule, log, load, ::steadyMs, ::buildReport, ::onPeerReport)

    private val relayServer = RelayServer(
        selector,
        connections.requests,
        settings.vm,
        RelayLimits.forDescriptors(settings.maxFileDescriptors),
        mayRelayTo = { target -> table.all().any { it.entry.host == target.host && it.entry.port == target.port } },
        mayHelp = { !stopState.isStopping && !pathMonitor.isCutOff },
        log,
        metrics,
        ::steadyMs,
    )
    private val gracefulStop = GracefulStop(
        stopState,
        callers,
        relaysUnderWay = relayServer::inProgress,
        requestHandler,
        bounds.graceMs,
        log,
        ::steadyMs,
        onBegun = {
            reportSoon()
            relayServer.startDraining()
        },
        // Another VM must wait for the handover gap before it sends orders, so this VM sends orders until it ends or
        // until its next process takes over.
        onDrained = {
            if (leaseManager.releaseLease()) peerLink.reportNow()
            storeCallLog.write()
        },
    )

    /** Times of the last broadcasts to the peers; each change is contained in that many. */
    private val broadcastTimesMs = ArrayDeque<Long>()
    private val registry = VmRegistry(
        store,
        peers,
        log,
        settings.vm,
        SocketAddress(settings.ip, settings.peerPort),
        storeRetry,
        ::steadyMs,
        rules::onVmsListed,
    )
    private val sequence = AtomicLong()
    private val firstReport = CompletableDeferred<Unit>()
    private val isRenewing = AtomicBoolean()
    private lateinit var scope: CoroutineScope
    private var callerListener: CallerListener? = null

    private fun reportSoon() = peerLink.reportSoon()

    private fun steadyMs(): Long = clocks.read().steadyMs

    private fun kvCapacityOf(service: String): Long =
        configuration.table?.configuration?.services?.get(service)?.engine?.kvCapacityTokens?.toLong() ?: 0L

    /** Starts all components in [scope]. */
    suspend fun start(scope: CoroutineScope) {
        this.scope = scope
        // The selector occupies a thread until it is closed.
        scope.coroutineContext.job.invokeOnCompletion { selector.close() }
        callerListener = CallerListener(listen(settings.callerAddress), scope, log) { callers.open(it, scope) }
        val controlHandler =
            ControlHandler(settings, this, peers, configuration, rules.homeRegions, metrics, ::steadyMs)
        val controlServer = ControlServer(log, controlHandler::respond)
        setOf(
            settings.readinessAddress,
            settings.directoryAddress,
            SocketAddress(settings.ip, settings.metricsPort),
        ).forEach {
            val server = listen(it)
            scope.launch { controlServer.accept(server, scope) }
        }
        peerLink.start(scope, settings.ip, settings.peerPort)
        relayServer.start(scope, settings.ip, settings.peerPort)
        scope.launch {
            // Requests are admitted once a configuration is known, and by then the quarantines should be.
            quarantineKeeper.load()
            // Peers may have a newer configuration than a store that came back from an older copy.
            val isRestored = store.era?.let { it > FIRST_STORE_ERA } ?: false
            if (isRestored) withTimeoutOrNull(FIRST_REPORT_TIMEOUT_MS) { firstReport.await() }
            keepRunning("configuration-watcher") { configuration.run() }
        }
        keepRunning("quarantine-keeper") { quarantineKeeper.run() }
        keepRunning("endpoint-watcher") { endpointWatcher.run() }
        keepRunning("vm-registry") { registry.run() }
        keepRunning("lease") { leaseManager.run() }
        keepRunning("orders") { orderController.run(scope) }
        keepRunning("maintenance") { runMaintenance() }
        keepRunning("path-monitor") { pathMonitor.run() }
        keepRunning("load-monitor") { load.run() }
        keepRunning("store-call-log") { storeCallLog.run() }
        rules.registerMetrics()
        VmGauges(
            metrics,
            log,
            configuration,
            bodyMemory,
            endpointRateLimiter,
            pauses,
            endpointWatcher,
            endpointLoads,
            prefixCaches,
            callers,
            ::steadyMs,
        ).register()
        log.write("started", "failureDomain" to settings.failureDomain, "callers" to settings.callerAddress.toString())
    }

    /** Runs [block], and again after an unexpected error: a VM whose component [name] has ended would serve blindly. */
    private fun keepRunning(name: String, block: suspend () -> Unit) = scope.launch {
        while (true) {
            try {
                block()
            } catch (cancelled: CancellationException) {
                throw cancelled
            } catch (unexpected: Throwable) {
                log.write(
                    "component-failed",
                    "component" to name,
                    "error" to unexpected.stackTraceToString().take(MAX_STACK_CHARS),
                )
            }
            delay(COMPONENT_RESTART_MS)
        }
    }

    private suspend fun listen(address: SocketAddress): ServerSocket =
        aSocket(selector).tcp().bind(InetSocketAddress(address.host, address.port)) {
            reuseAddress = true
            backlogSize = BACKLOG
        }

    /**
     * Stops gracefully; returns when the process may end. The grace period counts from [requestedAtMs] of the monotonic
     * clock, from now if that is null.
     */
    suspend fun stop(requestedAtMs: Long? = null) =
        gracefulStop.run(requestedAtMs ?: steadyMs()) { callerListener?.close() }

    /** Logs that the settings file was read again; [problem] is the reason why it is invalid, or null. */
    fun onSettingsChanged(problem: String?) {
        log.write("settings-read-again", "problem" to problem)
    }

    private suspend fun runMaintenance() {
        while (true) {
            delay(MAINTENANCE_INTERVAL_MS)
            val now = steadyMs()
            connections.closeExpired()
            peers.removeExpired(now)
            prefixCaches.removeUnloaded()
            endpointLoads.retainPeers(peers.aliveReports(now).mapTo(HashSet()) { it.vm })
            loadForecast.removeOverdue(now)
            val contact = peers.contact(now)
            teamRateLimiter.setContact(contact, now)
            teamRejections.writeDue(now)
            endpointRateLimiter.setContact(contact, now)
            endpointRateLimiter.removeExpired(now)
            quarantine.removeExpired(now)
            pauses.removeEnded(now)
            departures.removeForgotten()
            rules.maintain()
            dutyGaps.observe(fleet.dutyOutlook())
        }
    }

    private fun onConfigurationChanged(newTable: RouteTable) {
        rules.configure(newTable.configuration)
        val now = steadyMs()
        // A VM that starts has no contact yet, and takes only its share of each burst.
        teamRateLimiter.setContact(peers.contact(now), now)
        teamRateLimiter.configure(newTable.configuration.teams, now)
        endpointPool.onEndpointsChanged()
    }

    private fun onEndpointLimitChanged(change: EndpointLimitChange) {
        log.write(
            "endpoint-limit-changed",
            "endpoint" to change.endpoint.id,
            "bornMs" to change.endpoint.bornMs,
            "perSecond" to (change.perSecond ?: "none"),
        )
        endpointPool.onEndpointsChanged()
    }

    private fun onQuarantinesChanged(quarantines: List<Quarantine>) {
        quarantineLog.onChange(quarantines)
        quarantineKeeper.keepSoon()
        endpointPool.onEndpointsChanged()
    }

    /** Starts to plan, and tells the peers, which send their demand only to the holder that they know. */
    private fun onDutyAcquired() {
        orderController.reconcileSoon()
        reportSoon()
    }

    /** Takes back what this VM concluded of endpoints since it was cut off at [sinceMs]. */
    private fun onCutOff(sinceMs: Long) {
        val ejected = table.takeBackFailures(sinceMs)
        rules.eligibility.coldEngines.takeBackConnectionsLost(sinceMs)
        if (ejected.isNotEmpty()) log.write("ejections-taken-back", "endpoints" to ejected.map { it.incarnation.id })
        endpointPool.onEndpointsChanged()
    }

    private fun onEndpointsChanged() {
        endpointPool.onEndpointsChanged()
        orderController.reconcileSoon()
    }

    override val isStopping: Boolean get() = stopState.isStopping

    override val isReady: Boolean
        get() = !stopState.isStopping &&
            endpointWatcher.isLoaded &&
            configuration.table != null &&
            configuration.confirmationAgeMs() < bounds.revokeMs - KEY_REVOCATION_MARGIN_MS

    /**
     * Returns the rank of this VM among the VMs that may hold the order duty, 0 first, or null if it may not. The VM
     * [excluding] is left out of the ranking.
     */
    private fun candidateRank(excluding: String? = null): Int? {
        if (stopState.isStopping && leaseManager.currentEpoch() == null) return null
        if (configuration.confirmationAgeMs() > configuration.times.maxUsableAgeMs) return null
        val others = candidatePeers().map { it.vm } - setOfNotNull(excluding)
        return rankByRendezvous(DutyCandidates.RANKING_KEY, others + settings.vm).indexOf(settings.vm)
    }

    private fun candidatePeers(): List<PeerReport> {
        val maxAgeMs = configuration.times.maxUsableAgeMs
        return peers.aliveReports(steadyMs()).filter { !it.stopping && it.storeAgeMs < maxAgeMs }
    }

    /** Returns the rank for taking the order duty, or null if this VM is no candidate; a holder renews all the same. */
    private fun dutyRank(): Int? =
        candidateRank()?.let { if (leaseManager.currentEpoch() != null) it else dutyCandidates.rank() }

    private fun rankAmongVms(key: String): Int =
        rankByRendezvous(key, peers.aliveReports(steadyMs()).map { it.vm } + settings.vm).indexOf(settings.vm)

    private fun buildReport(purpose: ReportPurpose): PeerReport {
        val now = clocks.read()
        val isBroadcast = purpose == ReportPurpose.BROADCAST
        val changedSinceMs = if (isBroadcast) startBroadcast(now.steadyMs) else null
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
            stopping = stopState.isStopping,
            storeAgeMs = configuration.confirmationAgeMs(),
            alivePeers = emptyList(),
            teams = when (purpose) {
                ReportPurpose.BROADCAST -> teamRateLimiter.reportChanges()
                ReportPurpose.COMPLETE, ReportPurpose.DEMAND -> teamRateLimiter.usage()
                ReportPurpose.RELAY -> emptyMap()
            }.map { (team, use) -> TeamUseReport(team, use.admitted, use.level) },
            duty = leaseManager.newestRecord(),
            renewal = leaseManager.renewalToDelegate(),
            holdsDuty = leaseManager.currentEpoch() != null,
            endpoints = endpointPool.exchanges.endpointUses(),
            queuedDemand = endpointPool.demand.queuedDemand(),
            requests = endpointPool.demand.requestCounts(peers.repeatWindowMs),
            holdings = holdingsFor(purpose, changedSinceMs),
            prompts = when (purpose) {
                ReportPurpose.BROADCAST -> quarantine.reportChanges(now.steadyMs)
                ReportPurpose.COMPLETE -> quarantine.evidence(now.steadyMs)
                ReportPurpose.DEMAND, ReportPurpose.RELAY -> CrashEvidence()
            }.toReport(),
            limits = when (purpose) {
                ReportPurpose.BROADCAST -> endpointRateLimiter.reportChanges(now.steadyMs)
                ReportPurpose.COMPLETE -> endpointRateLimiter.uses(now.steadyMs)
                ReportPurpose.DEMAND, ReportPurpose.RELAY -> emptyMap()
            }.toReports(),
            streams = when (purpose) {
                ReportPurpose.BROADCAST -> streamOrigins.reportChanges(now.steadyMs)
                ReportPurpose.COMPLETE -> streamOrigins.reportAll(now.steadyMs)
                ReportPurpose.DEMAND, ReportPurpose.RELAY -> emptyList()
            }.toStreamReports(),
            versionAheadOfStore = configuration.versionAheadOfStore,
            leaving = when (purpose) {
                ReportPurpose.BROADCAST -> departures.reportChanges()
                ReportPurpose.COMPLETE -> departures.reportAll()
                ReportPurpose.DEMAND, ReportPurpose.RELAY -> emptyList()
            }.toLeavingReports(),
            promptParts = if (isBroadcast) prefixCaches.reportChanges() else emptyList(),
            cutOff = pathMonitor.isCutOff,
            brittle = rules.brittleEngines.reports(now.steadyMs).toBrittleReports(),
        )
    }

    private fun holdingsFor(purpose: ReportPurpose, changedSinceMs: Long?) =
        if (leaseManager.currentEpoch() != null && purpose != ReportPurpose.RELAY) {
            orderController.announcements(changedSinceMs)
        } else {
            emptyList()
        }

    /** Records a broadcast at [nowMs]; returns since when the changes are that it must contain. */
    private fun startBroadcast(nowMs: Long): Long {
        val changedSinceMs = broadcastTimesMs.firstOrNull()?.takeIf { broadcastTimesMs.size == ReportSchedule.REPEATS }
        broadcastTimesMs.addLast(nowMs)
        if (broadcastTimesMs.size > ReportSchedule.REPEATS) broadcastTimesMs.removeFirst()
        return changedSinceMs ?: 0
    }

    private fun onPeerReport(report: PeerReport) {
        val now = steadyMs()
        // Records have offsets of their own, so a report that was overtaken still counts.
        if (report.failureDomain == settings.failureDomain) {
            val process = "${report.vm}@${report.startedAtMs}"
            endpointWatcher.onPeerReport(process, report.uptimeMs, report.endpointRecords)
        }
        val heldDuty = peers.find(report.vm)?.holdsDuty ?: false
        when (peers.onReport(report, now)) {
            ReportEffect.OUTDATED -> return
            ReportEffect.UPDATED -> Unit
            ReportEffect.PROCESS_FOUND -> {
                log.write("peer-joined", "peer" to report.vm, "startedAtMs" to report.startedAtMs)
                peerLink.reportCompletelyTo(report.vm)
            }
            // The peer may have missed changes that later reports don't repeat.
            ReportEffect.CONTACT_GAINED -> peerLink.reportCompletelyTo(report.vm)
        }
        val isPeerOlder = report.uptimeMs > now - startedAt.steadyMs + OLDER_PEER_MARGIN_MS
        teamRateLimiter.onPeerUsage(
            report.vm,
            report.startedAtMs,
            report.teams.associate {
                it.team to
                    BucketUse(it.admitted, it.level)
            },
            isPeerOlder,
            now,
            report.uptimeMs,
        )
        endpointLoads.onPeerReport(report)
        rules.brittleEngines.onPeerReport(report.vm, report.brittle.toBrittleServices(), now)
        prefixCaches.onPeerReport(report.promptParts)
        quarantine.onEvidence(report.prompts.toEvidence(), now)
        endpointRateLimiter.onPeerUses(report.vm, report.startedAtMs, report.limits.toUses(), isPeerOlder, now)
        departures.onPeerReport(report.vm, report.leaving.map { Incarnation(it.endpoint, it.bornMs) })
        report.versionAheadOfStore?.let(configuration::onPeerAhead)
        firstReport.complete(Unit)
        streamOrigins.onPeerOrigins(report.streams.toOrigins(), now)
        report.duty?.let(leaseManager::onReport)
        report.renewal?.let(::renewForPeer)
        if (report.stopping || report.cutOff) connections.closeIdleRelayedBy(report.vm)
        if (report.holdsDuty && !heldDuty) peerLink.reportDemandSoon()
        if (report.holdsDuty) orderController.onHolderReport(report.holdings, now)
        if (report.holdings.isNotEmpty()) {
            loadForecast.onHoldings(report.holdings, now)
            report.holdings.forEach { table.announce(Incarnation(it.engine, it.bornMs), it.toHoldings(), now) }
            endpointPool.onEndpointsChanged()
        }
        if (report.queuedDemand.isNotEmpty() && leaseManager.currentEpoch() != null) orderController.reconcileSoon()
    }

    /** Appends a peer's renewal if this VM is one of the first two candidates with recent contact to the store. */
    private fun renewForPeer(renewal: DutyReport) {
        val rank = candidateRank(excluding = DutyHolder.parse(renewal.holder)?.vm) ?: return
        if (rank >= MAX_RENEWING_PEERS || !isRenewing.compareAndSet(false, true)) return
        scope.launch {
            if (leaseManager.appendForPeer(renewal)) peerLink.reportSoon()
            isRenewing.set(false)
        }
    }

    private companion object {
        /** How long a VM that starts waits for the first report of a peer, in milliseconds: two report intervals. */
        const val FIRST_REPORT_TIMEOUT_MS = 600L

        /** Pause before a component that failed runs again, in milliseconds. */
        const val COMPONENT_RESTART_MS = 250L
        const val MAX_STACK_CHARS = 2_000

        /** Maximum number of connections that wait to be accepted. */
        const val BACKLOG = 512

        /** Subtracted from the bound for withdrawn keys, in milliseconds: covers clock differences and slow threads. */
        const val KEY_REVOCATION_MARGIN_MS = 200L

        /** Number of VMs that append a peer's renewal: more than one, since one may have lost the store itself. */
        const val MAX_RENEWING_PEERS = 2

        const val MAINTENANCE_INTERVAL_MS = 200L

        /**
         * A peer whose uptime exceeds this VM's by more than this knows the state of the rates better, in milliseconds.
         */
        const val OLDER_PEER_MARGIN_MS = 1_000L
    }
}
