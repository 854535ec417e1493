/*
 * Runs the [ConfigurationFollower] of one VM: passes it log reads, peer messages and ticks, publishes the resulting
 * configuration, and authenticates callers against it.
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

/** Dependencies of the configuration follower; [otherVms] returns null until the list of VMs is known. */
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
    private class PublishedConfiguration(
        val state: ConfigurationState,
        val keys: KeyIndex,
        val index: ConfigurationIndex?,
    )

    private val lock = Any()
    private val follower = ConfigurationFollower(settings)
    private val authenticatedRequests = AuthenticatedRequests()

    /** Until this time, requests are served without another freshness check by the follower. */
    @Volatile
    private var freshUntilMs = Long.MIN_VALUE
    private val published = MutableStateFlow<PublishedConfiguration?>(null)

    override val state: ConfigurationState? get() = published.value?.state

    override val confirmedUntilMs: Long? get() = synchronized(lock) { follower.confirmedUntilMs }

    /** Whether and how the configuration in force is currently confirmed. */
    val freshness: Freshness get() = synchronized(lock) { follower.freshnessAt(ports.clock.nowMs()) }

    override fun isReplayedByMajority(nextOffset: Long, nowMs: Long): Boolean =
        synchronized(lock) { follower.isReplayedByMajority(nextOffset, nowMs) }

    override fun current(): ConfigurationIndex? = published.value?.index

    override fun checkConfirmed(): Result<Unit, RequestFailure> =
        if (ports.clock.nowMs() > freshUntilMs && freshness is Freshness.Unconfirmed) {
            Err(RequestFailure.NotReady(Freshness.Unconfirmed.message, RETRY_AFTER_MS))
        } else {
            Ok(Unit)
        }

    override fun authenticate(key: String): Result<Caller, RequestFailure> = checkConfirmed().andThen {
        val keys = published.value?.keys ?: return Err(noConfiguration())
        keys.find(key)
            .map { Caller(it.teamId, it.keyId) }
            .mapError { RequestFailure.Unauthenticated(it.message) }
    }

    override suspend fun awaitKeyInvalidation(keyId: KeyId): RequestFailure =
        authenticatedRequests.awaitInvalidation(keyId) {
            if (state?.tables?.keys?.containsKey(keyId) == true) null else keyWithdrawn
        }

    /** Waits for the first configuration; returns null if there is none within [FIRST_STATE_TIMEOUT_MS]. */
    suspend fun awaitState(): ConfigurationState? =
        withTimeoutOrNull(FIRST_STATE_TIMEOUT_MS) { published.filterNotNull().first().state }

    /** Starts responding to peers and following the log. */
    fun start() {
        ports.peers.registerHandler(CHANNEL) { from, payload -> respondToPeer(from, payload) }
        scope.launch {
            while (true) {
                ports.otherVms()?.let { process(FollowerEvent.PeersListed(it)) }
                process(FollowerEvent.Tick)
                delay(TICK_INTERVAL_MS)
            }
        }
    }

    /** Triggers a log read and probes of the other VMs without waiting for the next tick. */
    fun refresh() = process(FollowerEvent.Refresh)

    private fun process(event: FollowerEvent) = handle(event).forEach { perform(it) }

    /**
     * Handles [event] and returns the actions of the follower. A published configuration is in force on return; the
     * caller performs all other actions, including the cancellation of requests.
     */
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
        val previous = published.value
        val draining = state.drainingEndpointIds()
        val isChanged = previous?.state?.tables !== state.tables || previous.state.drainingEndpointIds() != draining
        val index = if (isChanged) buildIndex(state, draining) else previous.index
        published.value = PublishedConfiguration(state, KeyIndex(state), index)
        if (previous?.state?.revision != state.revision) {
            ports.timeline.record("configuration-applied", detail = "revision ${state.revision}")
        }
    }

    private fun buildIndex(state: ConfigurationState, draining: Set<EndpointId>): ConfigurationIndex? =
        if (state.revision == 0L) null else ConfigurationIndex(state.revision, state.manifest(), draining)

    private fun ConfigurationState.drainingEndpointIds(): Set<EndpointId> =
        tables.endpoints.keys.filterTo(HashSet()) { isDraining(it) }

    private fun perform(action: FollowerAction) {
        when (action) {
            is FollowerAction.ReadLog -> scope.launch { readLog(action) }
            FollowerAction.ReadSnapshot -> scope.launch { readSnapshot() }
            is FollowerAction.Send -> scope.launch { callPeer(action.peer, action.message) }
            is FollowerAction.Publish -> Unit
            is FollowerAction.CancelRequests -> cancelRequests(action.keyIds)
            FollowerAction.CancelAuthenticatedRequests -> authenticatedRequests.cancelAll(unconfirmedInProgress)
            is FollowerAction.SetFreshness -> recordFreshness(action.freshness)
            is FollowerAction.Alarm -> log.error("{}", action.alarm.message)
        }
    }

    private fun cancelRequests(keyIds: Set<KeyId>) {
        authenticatedRequests.cancel(keyIds, keyWithdrawn)
        keyIds.forEach { ports.timeline.record("key-withdrawn", detail = "key $it") }
    }

    private fun recordFreshness(freshness: Freshness) {
        val name = freshness.javaClass.simpleName
        ports.timeline.record("configuration-freshness", detail = name)
        log.info("configuration freshness is {}", name)
    }

    private suspend fun readLog(action: FollowerAction.ReadLog) {
        val result = ports.log.read(CONFIGURATION_STREAM, action.fromOffset, action.maxRecords)
        process(
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
        process(
            when (step) {
                is SnapshotReaderStep.Found -> FollowerEvent.SnapshotRead(step.state)
                SnapshotReaderStep.Missing -> FollowerEvent.SnapshotRead(null)
                else -> FollowerEvent.SnapshotReadFailed
            },
        )
    }

    private suspend fun callPeer(peer: VmId, request: GossipMessage) {
        ports.peers.call(peer, CHANNEL, encodeGossip(request), PEER_TIMEOUT_MS).onSuccess { response ->
            decodeGossip(response).onSuccess { process(FollowerEvent.PeerMessage(peer, it)) }
        }
    }

    /**
     * Passes the message of [from] to the follower and returns the follower's response to [from], or null if there is
     * none. All other actions, including requests to peers, are performed separately.
     */
    private fun respondToPeer(from: VmId, payload: ByteArray): ByteArray? {
        val request = decodeGossip(payload).get() ?: return null
        val actions = handle(FollowerEvent.PeerMessage(from, request))
        val response = actions.filterIsInstance<FollowerAction.Send>()
            .firstOrNull { it.peer == from && it.message.isResponse }
        actions.filter { it !== response }.forEach { perform(it) }
        return response?.let { encodeGossip(it.message) }
    }

    private val GossipMessage.isResponse: Boolean
        get() = this is GossipMessage.ProbeResponse || this is GossipMessage.SnapshotResponse

    private fun noConfiguration() =
        RequestFailure.NotReady("expected a configuration, none is known yet", RETRY_AFTER_MS)

    private companion object {
        const val CHANNEL = "configuration"
        const val TICK_INTERVAL_MS = 100L
        const val PEER_TIMEOUT_MS = 2_000L
        const val RETRY_AFTER_MS = 1_000L
        const val FIRST_STATE_TIMEOUT_MS = 5_000L
        val keyWithdrawn = RequestFailure.KeyWithdrawn(ExecutionStatus.UNKNOWN)
        val unconfirmedInProgress =
            RequestFailure.Unavailable(Freshness.Unconfirmed.message, ExecutionStatus.UNKNOWN, RETRY_AFTER_MS)
        val log = LoggerFactory.getLogger(FollowedConfiguration::class.java)
    }
}
