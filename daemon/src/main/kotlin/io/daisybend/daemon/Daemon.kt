/*
 * One daemon: creates the ports that the settings name, joins them with the decisions, and starts and stops them in
 * order.
 */
package io.daisybend.daemon

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.map
import io.daisybend.daemon.admin.AddressRoute
import io.daisybend.daemon.admin.OperatorContext
import io.daisybend.daemon.admin.OperatorInterface
import io.daisybend.daemon.admin.OperatorRoutes
import io.daisybend.daemon.admin.ReadinessCheck
import io.daisybend.daemon.admin.StatusLine
import io.daisybend.daemon.admin.StatusSource
import io.daisybend.daemon.admin.respondAdmin
import io.daisybend.daemon.configuration.ChangeSubmission
import io.daisybend.daemon.configuration.ConfigurationPorts
import io.daisybend.daemon.configuration.ConfigurationRoutes
import io.daisybend.daemon.configuration.FollowedConfiguration
import io.daisybend.daemon.configuration.SnapshotTask
import io.daisybend.daemon.configuration.registerConfigurationMetrics
import io.daisybend.daemon.dispatch.AtMostOnceServiceDispatcher
import io.daisybend.daemon.dispatch.DISPATCH_CHANNEL
import io.daisybend.daemon.dispatch.IdempotentCallRunner
import io.daisybend.daemon.dispatch.ResumingModelDispatcher
import io.daisybend.daemon.dispatch.dispatchOnce
import io.daisybend.daemon.dispatch.dispatchPeers
import io.daisybend.daemon.gateway.CallerContext
import io.daisybend.daemon.gateway.CallerInterface
import io.daisybend.daemon.gateway.GatewayLimits
import io.daisybend.daemon.lifecycle.Lifecycle
import io.daisybend.daemon.lifecycle.LifecyclePhase
import io.daisybend.daemon.membership.FollowedVms
import io.daisybend.daemon.membership.StopRunner
import io.daisybend.daemon.membership.StopSteps
import io.daisybend.daemon.placement.ModelPlacement
import io.daisybend.daemon.rates.FleetRateLimiter
import io.daisybend.daemon.rates.RateLimiterDependencies
import io.daisybend.daemon.request.RequestService
import io.daisybend.daemon.request.RequestSteps
import io.daisybend.daemon.scheduling.EndpointQueues
import io.daisybend.daemon.scheduling.QueuedModelAccess
import io.daisybend.dispatch.GatewayIncarnation
import io.daisybend.kernel.FailureDomainId
import io.daisybend.kernel.MillisClock
import io.daisybend.kernel.SystemMillisClock
import io.daisybend.kernel.Timeline
import io.daisybend.kernel.VmEntry
import io.daisybend.kernel.VmId
import io.daisybend.kernel.VmState
import io.daisybend.kernel.plugin.PortRegistry
import io.daisybend.kernel.plugin.UnknownImplementation
import io.daisybend.kernel.settings.Settings
import io.daisybend.membership.StopSettings
import io.daisybend.transport.PeerNetwork
import io.ktor.server.routing.post
import io.prometheus.metrics.instrumentation.jvm.JvmMetrics
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import org.slf4j.LoggerFactory
import java.security.SecureRandom

/** Runs the daemon that [settings] describe. */
public class Daemon(
    private val settings: Settings,
    secrets: DaemonSecrets,
    private val registry: PortRegistry,
    private val ports: DaemonPorts,
    private val clock: MillisClock = SystemMillisClock,
) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val vmId = VmId(settings[DaemonKeys.vmId])
    private val timeline = Timeline(vmId, clock, listener = ::logEvent)
    private val lifecycle = Lifecycle()
    private val metrics = PrometheusRegistry()
    private val stopping = Mutex()

    private val addresses = FollowedVms(
        directory = ports.directory,
        lifetimeMs = settings[DaemonKeys.addressLifetime],
        clock = clock,
        ownEntry = ::ownEntry,
        seatHolders = { rates.holdersOf(it) },
    )
    private val peers = PeerNetwork(vmId, secrets.peerSecret, addresses)
    private val configurationPorts = ConfigurationPorts(ports.log, peers, ::otherVms, clock, timeline)
    private val configuration = FollowedConfiguration(configurationPorts, scope)
    private val submission = ChangeSubmission(ports.log, configuration, clock)
    private val placement = ModelPlacement(
        vmId = vmId,
        ports = ports,
        peers = peers,
        configuration = configuration,
        liveVms = { addresses.liveVms() },
        clock = clock,
        timeline = timeline,
        scope = scope,
        minIdleMs = settings[DaemonKeys.minIdle],
    )
    private val rateLimiterDependencies =
        RateLimiterDependencies(vmId, ports.log, peers, configuration, addresses::liveVms, clock)
    private val rates: FleetRateLimiter = FleetRateLimiter(rateLimiterDependencies, scope)
    private val endpointQueues = EndpointQueues(configuration, clock)
    private val modelAccess = QueuedModelAccess(placement.access, endpointQueues)
    private val idempotentCallRunner = IdempotentCallRunner(
        incarnation = GatewayIncarnation(vmId, startId = SecureRandom().nextLong()),
        log = ports.log,
        peers = dispatchPeers(peers),
        liveVms = addresses::liveVms,
        scope = scope,
        clock = clock,
        timeline = timeline,
        dispatch = { call -> dispatchOnce(configuration, ports.services, call) },
    )
    private val service = RequestService(
        steps = RequestSteps(
            authenticator = configuration,
            configuration = configuration,
            models = ResumingModelDispatcher(modelAccess, ports.engines, clock, timeline, scope),
            rates = rates,
            services = AtMostOnceServiceDispatcher(configuration, ports.services, idempotentCallRunner),
            addresses = addresses,
        ),
        lifecycle = lifecycle,
        clock = clock,
        timeline = timeline,
    )
    private val callers = registry.create(
        CallerInterface::class,
        settings[DaemonKeys.callerProtocol],
        CallerContext(settings[DaemonKeys.callerListen], service, settings.gatewayLimits(), clock),
    )
    private val operators = OperatorInterface(
        OperatorContext(
            listen = settings[DaemonKeys.operatorListen],
            token = secrets.operatorToken,
            timeline = timeline,
            lifecycle = lifecycle,
            metrics = metrics,
            routes = listOf(ConfigurationRoutes(configuration, submission), AddressRoute(addresses), stopRoute()),
            statusSources = listOf(StatusSource { vmStatus() }, placement.status, StatusSource { rates.status() }),
            readinessChecks = listOf(ReadinessCheck { configurationMissing() }),
        ),
    )

    /** Starts serving; fails when no plug-in offers the caller protocol, throws when an address cannot be bound. */
    public suspend fun start(): Result<Unit, UnknownImplementation> = callers.map { callerInterface ->
        JvmMetrics.builder().register(metrics)
        peers.registerHandler(DISPATCH_CHANNEL) { _, payload ->
            idempotentCallRunner.receive(payload)
            ByteArray(0)
        }
        registerConfigurationMetrics(metrics, configuration)
        peers.listen(settings[DaemonKeys.peerListen])
        scope.launch { idempotentCallRunner.runTicks() }
        scope.launch { addresses.follow() }
        rates.registerMetrics(metrics)
        rates.start()
        scope.launch { endpointQueues.runTicks() }
        configuration.start()
        scope.launch { SnapshotTask(vmId, configurationPorts, configuration).run() }
        placement.start()
        operators.start()
        callerInterface.start()
        lifecycle.advanceTo(LifecyclePhase.SERVING)
        timeline.record("daemon-started")
        log.info("serving callers on {}", settings[DaemonKeys.callerListen])
    }

    /** Stops after the address lifetime has run out and the last request has ended. */
    public suspend fun stop(): Unit = stopping.withLock {
        if (lifecycle.phase == LifecyclePhase.STOPPED) return
        lifecycle.advanceTo(LifecyclePhase.LEAVING)
        timeline.record("daemon-leaving")
        stopRunner().run()
        val idle = lifecycle.requestsInProgress == 0
        lifecycle.advanceTo(LifecyclePhase.STOPPED)
        ports.directory.remove(vmId)
        timeline.record("daemon-stopped", detail = if (idle) "idle" else "${lifecycle.requestsInProgress} requests cut")
        log.info("stopped with {} requests in progress", lifecycle.requestsInProgress)
        callers.map { it.stop(STOP_MS) }
        operators.stop()
        peers.close()
        scope.cancel()
    }

    private fun stopRunner() = StopRunner(
        settings = StopSettings(
            addressLifetimeMs = settings[DaemonKeys.addressLifetime],
            maxListLagMs = settings[DaemonKeys.listLag],
            maxFinishMs = settings[DaemonKeys.stopTimeout],
        ),
        steps = StopSteps(
            registerAsLeaving = { addresses.register() },
            release = {
                idempotentCallRunner.awaitRecorded(RECORDING_MS)
                rates.release(RELEASE_TIMEOUT_MS)
            },
        ),
        lifecycle = lifecycle,
        clock = clock,
        timeline = timeline,
    )

    private fun stopRoute() = OperatorRoutes { route ->
        route.post("/drain") {
            scope.launch(Dispatchers.IO) { stop() }
            call.respondAdmin(StatusLine.serializer(), StatusLine("vm", vmId.value, LifecyclePhase.LEAVING.name))
        }
    }

    private fun vmStatus(): List<StatusLine> {
        val own = StatusLine("vm", vmId.value, "${lifecycle.phase} ${lifecycle.requestsInProgress} requests")
        val revision = StatusLine("configuration", vmId.value, configurationStatus())
        return listOf(own, revision)
    }

    private fun configurationStatus(): String {
        val state = configuration.state ?: return "not known"
        return "revision ${state.revision} offset ${state.nextOffset} ${configuration.freshness.javaClass.simpleName}"
    }

    /** Returns the other live VMs, or null before the list is known. */
    private fun otherVms(): List<VmId>? = addresses.entries.ifEmpty { null }
        ?.filter { it.state == VmState.LIVE && it.vmId != vmId }
        ?.map { it.vmId }

    private fun configurationMissing(): String? =
        if (configuration.current() == null) "no configuration is known" else null

    private fun ownEntry() = VmEntry(
        vmId = vmId,
        failureDomainId = FailureDomainId(settings[DaemonKeys.failureDomain]),
        region = settings[DaemonKeys.region],
        callerAddress = settings[DaemonKeys.callerListen].toString(),
        peerAddress = settings[DaemonKeys.peerListen].toString(),
        state = if (lifecycle.phase < LifecyclePhase.LEAVING) VmState.LIVE else VmState.LEAVING,
    )

    /** Suspends until the daemon has stopped. */
    public suspend fun awaitStopped() {
        while (lifecycle.phase != LifecyclePhase.STOPPED) delay(STOP_POLL_MS)
        stopping.withLock { }
    }

    private companion object {
        const val STOP_MS = 500L
        const val RELEASE_TIMEOUT_MS = 5_000L
        const val RECORDING_MS = 5_000L
        const val STOP_POLL_MS = 50L
        val log = LoggerFactory.getLogger(Daemon::class.java)
    }
}

private fun Settings.gatewayLimits() = GatewayLimits(
    maxBodyBytes = get(DaemonKeys.maxBody),
    maxConcurrentRequests = get(DaemonKeys.maxRequests).toInt(),
    defaultTimeoutMs = get(DaemonKeys.defaultTimeout),
    maxTimeoutMs = get(DaemonKeys.maxTimeout),
)
