/*
 * Connects the rate limiter's state machine to the platform's log, the peer VMs and the requests of this VM. Appends
 * and messages are sent without waiting for a result: the state machine tolerates lost, late and duplicate ones.
 */
package io.daisybend.daemon.rates

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.onFailure
import com.github.michaelbull.result.onSuccess
import io.daisybend.daemon.admin.StatusLine
import io.daisybend.daemon.request.ConfigurationIndex
import io.daisybend.daemon.request.ConfigurationView
import io.daisybend.daemon.request.RateReservation
import io.daisybend.daemon.request.RequestFailure
import io.daisybend.kernel.LogFailure
import io.daisybend.kernel.MillisClock
import io.daisybend.kernel.PlatformLog
import io.daisybend.kernel.RequestId
import io.daisybend.kernel.TeamId
import io.daisybend.kernel.VmId
import io.daisybend.rates.HolderId
import io.daisybend.rates.OffsetRecord
import io.daisybend.rates.RateAction
import io.daisybend.rates.RateEvent
import io.daisybend.rates.RateLimiter
import io.daisybend.rates.RateMessage
import io.daisybend.rates.RateRefusal
import io.daisybend.rates.TeamLimits
import io.daisybend.rates.decodeRateMessage
import io.daisybend.rates.decodeShardRecord
import io.daisybend.rates.encode
import io.daisybend.rates.shardStream
import io.daisybend.transport.PeerNetwork
import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import io.daisybend.daemon.request.RateLimiter as RequestRateLimiter

/** The dependencies of a VM's rate limiter; [liveVms] returns the VMs that may hold shards. */
internal class RateLimiterDependencies(
    val vmId: VmId,
    val log: PlatformLog,
    val peers: PeerNetwork,
    val configuration: ConfigurationView,
    val liveVms: () -> List<VmId>,
    val clock: MillisClock,
)

internal class FleetRateLimiter(
    private val dependencies: RateLimiterDependencies,
    private val scope: CoroutineScope,
) : RequestRateLimiter {
    private val self = HolderId(dependencies.vmId, incarnation = dependencies.clock.nowMs())
    private val stream = shardStream(CELL_NAME)
    private val limiter = RateLimiter(self, stream)
    private val pendingDecisions = ConcurrentHashMap<RequestId, CompletableDeferred<RateAction>>()
    private val reservationCount = AtomicLong()
    private var appliedConfiguration: ConfigurationIndex? = null
    private var lastLiveVms: List<VmId> = emptyList()

    override suspend fun reserve(teamId: TeamId, tokens: Long): Result<RateReservation, RequestFailure> {
        applyConfiguration()
        awaitShardHolders(teamId)
        val reservationId = RequestId("${self.vmId}-${self.incarnation}-${reservationCount.incrementAndGet()}")
        return when (val decision = awaitDecision(RateEvent.Reserve(reservationId, teamId, tokens))) {
            is RateAction.Admitted -> toReservation(decision, teamId)
            is RateAction.Refused -> Err(decision.toRequestFailure())
            else -> error("expected a decision about $reservationId, got $decision")
        }
    }

    /** Returns the VMs that hold shards of [teamId]. */
    fun holdersOf(teamId: TeamId): List<VmId> = limiter.holdersOf(teamId)

    fun start() {
        dependencies.peers.registerHandler(CHANNEL) { from, payload -> receive(from, payload) }
        scope.launch { repeatEvery(TICK_INTERVAL_MS) { tick() } }
        scope.launch { repeatEvery(POLL_INTERVAL_MS) { followLog() } }
    }

    /** Releases all shards; returns whether this completed within [timeoutMs]. */
    suspend fun release(timeoutMs: Long): Boolean {
        handle(RateEvent.Drain)
        return withTimeoutOrNull(timeoutMs) {
            while (!limiter.isDrained) delay(TICK_INTERVAL_MS)
            true
        } ?: false
    }

    fun status(): List<StatusLine> {
        val teams = dependencies.configuration.current()?.manifest?.teams.orEmpty()
        return teams.map { StatusLine("rate", it.teamId.value, "seats held by ${holdersOf(it.teamId).joinToString()}") }
    }

    fun registerMetrics(registry: PrometheusRegistry) {
        counter(registry, "daisybend_rate_admitted", "Requests admitted by rate.") { limiter.counters().admitted }
        counter(registry, "daisybend_rate_refused", "Requests refused by rate.") { limiter.counters().refused }
        counter(registry, "daisybend_rate_asks", "Asks sent to holders of seats.") {
            limiter.counters().grantRequestsSent
        }
        counter(registry, "daisybend_rate_asks_timed_out", "Asks without an answer in time.") {
            limiter.counters().grantRequestsTimedOut
        }
        counter(registry, "daisybend_rate_grants", "Grants given to other VMs.") { limiter.counters().grantsIssued }
        GaugeWithCallback.builder()
            .name("daisybend_rate_entries")
            .help("Reservations and grants in memory.")
            .callback { it.call(limiter.entryCount().toDouble()) }
            .register(registry)
    }

    private fun counter(registry: PrometheusRegistry, name: String, help: String, value: () -> Long) {
        CounterWithCallback.builder().name(name).help(help).callback { it.call(value().toDouble()) }.register(registry)
    }

    /** Waits for a shard holder of [teamId]: a new team or site has none until the first claims are in the log. */
    private suspend fun awaitShardHolders(teamId: TeamId) {
        if (dependencies.configuration.current()?.team(teamId) == null) return
        withTimeoutOrNull(SHARD_HOLDER_TIMEOUT_MS) {
            while (limiter.holdersOf(teamId).isEmpty()) delay(TICK_INTERVAL_MS)
        }
    }

    private suspend fun awaitDecision(event: RateEvent.Reserve): RateAction {
        val decision = CompletableDeferred<RateAction>()
        pendingDecisions[event.requestId] = decision
        return try {
            handle(event)
            decision.await()
        } catch (cancelled: CancellationException) {
            handle(RateEvent.Settle(event.requestId, event.teamId, usedTokens = 0))
            throw cancelled
        } finally {
            pendingDecisions.remove(event.requestId)
        }
    }

    private fun toReservation(decision: RateAction.Admitted, teamId: TeamId): Result<RateReservation, RequestFailure> {
        val reservation = Reservation(decision.requestId, teamId)
        if (dependencies.clock.nowMs() <= decision.dispatchByMs) return Ok(reservation)
        handle(RateEvent.Settle(decision.requestId, teamId, usedTokens = 0))
        return Err(
            RequestFailure.NotReady("expected a reservation that is still valid, this VM was paused", RETRY_AFTER_MS),
        )
    }

    private inner class Reservation(private val requestId: RequestId, private val teamId: TeamId) : RateReservation {
        override suspend fun settle(usedTokens: Long) = handle(RateEvent.Settle(requestId, teamId, usedTokens))
    }

    private suspend fun repeatEvery(intervalMs: Long, block: suspend () -> Unit) {
        while (true) {
            block()
            delay(intervalMs)
        }
    }

    private fun tick() {
        applyConfiguration()
        val vms = dependencies.liveVms()
        if (vms != lastLiveVms) {
            lastLiveVms = vms
            handle(RateEvent.LiveVmsChanged(vms))
        }
        handle(RateEvent.Tick)
    }

    @Synchronized
    private fun applyConfiguration() {
        val current = dependencies.configuration.current() ?: return
        if (current === appliedConfiguration) return
        appliedConfiguration = current
        val limits = current.manifest.teams.associate {
            it.teamId to TeamLimits(it.rateTokensPerSecond, it.burstTokens)
        }
        handle(RateEvent.LimitsChanged(limits))
    }

    private suspend fun followLog() {
        var fromOffset = limiter.readFromOffset
        while (true) {
            val readResult = dependencies.log.read(stream, fromOffset, MAX_RECORDS_PER_READ)
            val expired = readResult.getError() as? LogFailure.Expired
            val batch = if (expired !=
                null
            ) {
                dependencies.log.read(stream, expired.firstOffset, MAX_RECORDS_PER_READ).get()
            } else {
                readResult.get()
            }
            if (batch == null) return
            val records = batch.records.map { OffsetRecord(it.offset, decodeShardRecord(it.payload).get()) }
            handle(RateEvent.LogRead(records, batch.firstOffset, batch.nextOffset))
            fromOffset = limiter.readFromOffset
            if (fromOffset >= batch.nextOffset || records.isEmpty()) return
        }
    }

    private fun receive(from: VmId, payload: ByteArray): ByteArray? {
        val message = decodeRateMessage(payload)
            .onFailure { log.warn("ignoring malformed rate message from {}: {}", from, it.message) }
            .get()
        if (message == null || !isSentBy(from, message)) return null
        handle(RateEvent.MessageReceived(message))
        return EMPTY_REPLY
    }

    /** Returns whether the sender named in [message] is [from]; a grant names no sender and is always accepted. */
    private fun isSentBy(from: VmId, message: RateMessage): Boolean = when (message) {
        is RateMessage.GrantRequest -> message.requester.vmId == from
        is RateMessage.Settlements -> message.requester.vmId == from
        is RateMessage.SupportRequest -> message.holder.vmId == from
        is RateMessage.Support -> message.witness.vmId == from
        is RateMessage.Grant -> true
    }

    private fun handle(event: RateEvent) = limiter.handle(event, dependencies.clock.nowMs()).forEach { perform(it) }

    private fun perform(action: RateAction) {
        when (action) {
            is RateAction.Admitted -> pendingDecisions[action.requestId]?.complete(action)
            is RateAction.Refused -> pendingDecisions[action.requestId]?.complete(action)
            is RateAction.Send -> send(action)
            is RateAction.Append -> scope.launch {
                dependencies.log.append(action.stream, action.record.encode()).onSuccess { followLog() }
            }
        }
    }

    private fun send(action: RateAction.Send) {
        scope.launch {
            dependencies.peers.call(action.toVmId, CHANNEL, action.message.encode(), PEER_CALL_TIMEOUT_MS)
                .onFailure { log.debug("rate message to {} was not answered: {}", action.toVmId, it.message) }
        }
    }

    private companion object {
        const val CHANNEL = "rates"
        const val CELL_NAME = "main"
        const val TICK_INTERVAL_MS = 25L
        const val POLL_INTERVAL_MS = 500L
        const val SHARD_HOLDER_TIMEOUT_MS = 5_000L
        const val PEER_CALL_TIMEOUT_MS = 1_000L
        const val RETRY_AFTER_MS = 100L
        const val MAX_RECORDS_PER_READ = 500
        val EMPTY_REPLY = ByteArray(0)
        val log = LoggerFactory.getLogger(FleetRateLimiter::class.java)
    }
}

private const val DEFAULT_RETRY_AFTER_MS = 1_000L

private fun RateAction.Refused.toRequestFailure(): RequestFailure = when (val reason = refusal) {
    is RateRefusal.RateExceeded ->
        RequestFailure.RateExceeded(reason.message, retryAfterMs ?: DEFAULT_RETRY_AFTER_MS)
    is RateRefusal.ExceedsBurst -> RequestFailure.Invalid(reason.message)
    is RateRefusal.UnknownTeam -> RequestFailure.Forbidden(reason.message)
}
