/*
 * Runs the configuration follower of one VM: feeds it from the log, the peers and the clock, puts what it publishes in
 * force, and checks callers' keys against it.
 */
package io.daisybend.daemon.configuration

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.get
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapBoth
import com.github.michaelbull.result.mapError
import com.github.michaelbull.result.onSuccess
import io.daisybend.configuration.CONFIGURATION_STREAM
import io.daisybend.configuration.ConfigurationFollower
import io.daisybend.configuration.ConfigurationState
import io.daisybend.configuration.FollowerAction
import io.daisybend.configuration.FollowerEvent
import io.daisybend.configuration.FollowerSettings
import io.daisybend.configuration.FollowerView
import io.daisybend.configuration.Freshness
import io.daisybend.configuration.GossipMessage
import io.daisybend.configuration.KeyId
import io.daisybend.configuration.KeyIndex
import io.daisybend.configuration.SNAPSHOT_STREAM
import io.daisybend.configuration.SnapshotReader
import io.daisybend.configuration.SnapshotReaderEvent
import io.daisybend.configuration.SnapshotReaderStep
import io.daisybend.configuration.decodeGossip
import io.daisybend.configuration.encodeGossip
import io.daisybend.daemon.request.Caller
import io.daisybend.daemon.request.CallerAuthenticator
import io.daisybend.daemon.request.ConfigurationIndex
import io.daisybend.daemon.request.ConfigurationView
import io.daisybend.daemon.request.ExecutionStatus
import io.daisybend.daemon.request.RequestFailure
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.MillisClock
import io.daisybend.kernel.PlatformLog
import io.daisybend.kernel.Timeline
import io.daisybend.kernel.VmId
import io.daisybend.transport.PeerNetwork
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.filterNotNull
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory

/** The ports that the configuration of one VM uses; [otherVms] is null until the list of VMs is known. */
internal class ConfigurationPorts(
    val log: PlatformLog,
    val peers: PeerNetwork,
    val otherVms: () -> List<VmId>?,
    val clock: MillisClock,
    val timeline: Timeline,
)

internal class FollowedConfiguration(
    private val ports: ConfigurationPorts,
    private val scope: CoroutineScope,
    private val settings: FollowerSettings = FollowerSettings(),
) : ConfigurationView,
    CallerAuthenticator,
    FollowerView {
    private class InForce(val state: ConfigurationState, val keys: KeyIndex, val index: ConfigurationIndex?)

    private val lock = Any()
    private val follower = ConfigurationFollower(settings)
    private val requests = KeyedRequests()

    /** Until when requests may be served without asking the follower again. */
    @Volatile
    private var freshUntilMs = Long.MIN_VALUE
    private val inForce = MutableStateFlow<InForce?>(null)

    override val state: ConfigurationState? get() = inForce.value?.state

    override val confirmedUntilMs: Long? get() = synchronized(lock) { follower.confirmedUntilMs }

    /** Whether the configuration in force is confirmed now. */
    val freshness: Freshness get() = synchronized(lock) { follower.freshnessAt(ports.clock.nowMs()) }

    override fun isReplayedByMajority(nextOffset: Long, nowMs: Long): Boolean =
        synchronized(lock) { follower.isReplayedByMajority(nextOffset, nowMs) }

    override fun current(): ConfigurationIndex? = inForce.value?.index

    override fun confirmCurrent(): Result<Unit, RequestFailure> =
        if (ports.clock.nowMs() > freshUntilMs && freshness is Freshness.Unconfirmed) {
            Err(RequestFailure.NotReady(Freshness.Unconfirmed.message, RETRY_AFTER_MS))
        } else {
            Ok(Unit)
        }

    override fun authenticate(key: String): Result<Caller, RequestFailure> = confirmCurrent().andThen {
        val keys = inForce.value?.keys ?: return Err(unconfirmed())
        keys.find(key)
            .map { Caller(it.teamId, it.keyId) }
            .mapError { RequestFailure.Unauthenticated(it.message) }
    }

    override suspend fun awaitEndOfKey(keyId: KeyId): RequestFailure = requests.awaitEnd(keyId) {
        if (state?.tables?.keys?.containsKey(keyId) == true) null else withdrawn
    }

    /** Returns the configuration in force as soon as there is one, or null if there is none in time. */
    suspend fun awaitState(): ConfigurationState? =
        withTimeoutOrNull(FIRST_STATE_TIMEOUT_MS) { inForce.filterNotNull().first().state }

    /** Starts to answer peers and to follow. */
    fun start() {
        ports.peers.registerHandler(CHANNEL) { from, payload -> answer(from, payload) }
        scope.launch {
            while (true) {
                ports.otherVms()?.let { feed(FollowerEvent.PeersListed(it)) }
                feed(FollowerEvent.Tick)
                delay(TICK_INTERVAL_MS)
            }
        }
    }

    /** Reads on and tells the other VMs now. */
    fun hasten() = feed(FollowerEvent.Refresh)

    private fun feed(event: FollowerEvent) = handle(event).forEach { perform(it) }

    /** Takes [event]; what is published is in force, and the requests of ended keys are ending, when this returns. */
    private fun handle(event: FollowerEvent): List<FollowerAction> = synchronized(lock) {
        val nowMs = ports.clock.nowMs()
        val actions = follower.handle(event, nowMs)
        actions.filterIsInstance<FollowerAction.Publish>().lastOrNull()?.let { publish(it.state) }
        freshUntilMs = freshUntilMs(nowMs)
        actions
    }

    private fun freshUntilMs(nowMs: Long): Long = when (follower.freshnessAt(nowMs)) {
        Freshness.ConfirmedByLog -> (follower.confirmedUntilMs ?: nowMs) + settings.freshnessMs
        Freshness.ConfirmedByPeers -> nowMs + TICK_INTERVAL_MS
        Freshness.Unconfirmed -> Long.MIN_VALUE
    }

    private fun publish(state: ConfigurationState) {
        val before = inForce.value
        val draining = state.drainingEndpointIds()
        val isChanged = before?.state?.tables !== state.tables || before.state.drainingEndpointIds() != draining
        val index = if (isChanged) indexOf(state, draining) else before.index
        inForce.value = InForce(state, KeyIndex(state), index)
        if (before?.state?.revision != state.revision) {
            ports.timeline.record("configuration-applied", detail = "revision ${state.revision}")
        }
    }

    private fun indexOf(state: ConfigurationState, draining: Set<EndpointId>): ConfigurationIndex? =
        if (state.revision == 0L) null else ConfigurationIndex(state.revision, state.manifest(), draining)

    private fun ConfigurationState.drainingEndpointIds(): Set<EndpointId> =
        tables.endpoints.keys.filterTo(HashSet()) { isDraining(it) }

    private fun perform(action: FollowerAction) {
        when (action) {
            is FollowerAction.ReadLog -> scope.launch { readLog(action) }
            FollowerAction.ReadSnapshot -> scope.launch { readSnapshot() }
            is FollowerAction.Send -> scope.launch { ask(action.peer, action.message) }
            is FollowerAction.Publish -> Unit
            is FollowerAction.CancelRequests -> endRequests(action.keyIds)
            FollowerAction.CancelAuthenticatedRequests -> requests.endAll(notConfirmedInFlight)
            is FollowerAction.SetFreshness -> recordFreshness(action.freshness)
            is FollowerAction.Alarm -> log.error("{}", action.alarm.message)
        }
    }

    private fun endRequests(keyIds: Set<KeyId>) {
        requests.end(keyIds, withdrawn)
        keyIds.forEach { ports.timeline.record("key-withdrawn", detail = "key $it") }
    }

    private fun recordFreshness(freshness: Freshness) {
        val name = freshness.javaClass.simpleName
        ports.timeline.record("configuration-freshness", detail = name)
        log.info("configuration freshness is {}", name)
    }

    private suspend fun readLog(action: FollowerAction.ReadLog) {
        val result = ports.log.read(CONFIGURATION_STREAM, action.fromOffset, action.maxRecords)
        feed(
            result.mapBoth(
                { FollowerEvent.LogRead(action.requestedAtMs, action.fromOffset, it) },
                { FollowerEvent.LogReadFailed(action.requestedAtMs, it) },
            ),
        )
    }

    private suspend fun readSnapshot() {
        val reader = SnapshotReader()
        var step = reader.handle(SnapshotReaderEvent.Start)
        while (step is SnapshotReaderStep.Read) {
            val result = ports.log.read(SNAPSHOT_STREAM, step.fromOffset, step.maxRecords)
            step = reader.handle(
                result.mapBoth({ SnapshotReaderEvent.Read(it) }, { SnapshotReaderEvent.ReadFailed(it) }),
            )
        }
        feed(
            when (step) {
                is SnapshotReaderStep.Found -> FollowerEvent.SnapshotRead(step.state)
                SnapshotReaderStep.Missing -> FollowerEvent.SnapshotRead(null)
                else -> FollowerEvent.SnapshotReadFailed
            },
        )
    }

    private suspend fun ask(peer: VmId, question: GossipMessage) {
        ports.peers.call(peer, CHANNEL, encodeGossip(question), PEER_TIMEOUT_MS).onSuccess { answer ->
            decodeGossip(answer).onSuccess { feed(FollowerEvent.PeerMessage(peer, it)) }
        }
    }

    /** Answers a question of [from] with what the follower sends it; questions of its own go out separately. */
    private fun answer(from: VmId, payload: ByteArray): ByteArray? {
        val question = decodeGossip(payload).get() ?: return null
        val actions = handle(FollowerEvent.PeerMessage(from, question))
        val answer = actions.filterIsInstance<FollowerAction.Send>()
            .firstOrNull { it.peer == from && it.message.isAnswer }
        actions.filter { it !== answer }.forEach { perform(it) }
        return answer?.let { encodeGossip(it.message) }
    }

    private val GossipMessage.isAnswer: Boolean
        get() = this is GossipMessage.ProbeResponse || this is GossipMessage.SnapshotResponse

    private fun unconfirmed() = RequestFailure.NotReady("expected a configuration, none is known yet", RETRY_AFTER_MS)

    private companion object {
        const val CHANNEL = "configuration"
        const val TICK_INTERVAL_MS = 100L
        const val PEER_TIMEOUT_MS = 2_000L
        const val RETRY_AFTER_MS = 1_000L
        const val FIRST_STATE_TIMEOUT_MS = 5_000L
        val withdrawn = RequestFailure.KeyWithdrawn(ExecutionStatus.UNKNOWN)
        val notConfirmedInFlight =
            RequestFailure.Unavailable(Freshness.Unconfirmed.message, ExecutionStatus.UNKNOWN, RETRY_AFTER_MS)
        val log = LoggerFactory.getLogger(FollowedConfiguration::class.java)
    }
}
