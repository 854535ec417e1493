/*
 * Opens connections to endpoints: directly, and through a peer if the direct one does not come at once, as in RFC 8305.
 * Connections are slow at busy VMs too, so a peer is asked for one connection to an endpoint at a time until the direct
 * path is known to be down; from then on only peers are asked. The attempt that loses goes on, because its result tells
 * of the path.
 */
package io.daisybend.entry.path

import io.daisybend.entry.http.Connection
import io.daisybend.entry.http.ConnectionPool
import io.daisybend.entry.relay.RelayClient
import io.daisybend.entry.relay.RelayResult
import io.daisybend.platform.SocketAddress
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap

/** Connects to endpoints over [pool], or through [peers] by [relayClient]; [paths] knows the direct paths. */
internal class EndpointConnector(
    private val pool: ConnectionPool,
    private val relayClient: RelayClient,
    private val peers: RelayPeers,
    private val paths: PathState,
    private val steadyMs: () -> Long,
) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)

    /** Endpoints for which a peer is asked while the direct path may work. */
    private val racing = ConcurrentHashMap.newKeySet<SocketAddress>()

    /** Returns a connector over the idle connections of [pool]. */
    fun over(pool: ConnectionPool) = EndpointConnector(pool, relayClient, peers, paths, steadyMs)

    /**
     * Returns an idle connection to [address] that is not known to be dead and on which [requestId] was not refused, or
     * a new one; null if there is none within [timeoutMs].
     */
    suspend fun open(address: SocketAddress, requestId: String?, timeoutMs: Long): Connection? {
        pool.takeIdle(address, requestId, ::mayUse)?.let { return it }
        if (!paths.isDown(address)) return connectDirectlyFirst(address, timeoutMs)
        val endsAtMs = steadyMs() + timeoutMs
        // Nothing else is worth the time; a connection that may be dead is better than none.
        return connectThroughPeer(address, timeoutMs * 2, timeoutMs)
            ?: pool.takeIdle(address, requestId)
            ?: if (paths.isCutOff) null else pool.connect(address, (endsAtMs - steadyMs()).coerceAtLeast(1))
    }

    private fun mayUse(connection: Connection): Boolean {
        val isDown = paths.isDown(connection.address)
        return connection.relayedBy?.let { isDown && peers.mayUse(it) } ?: !isDown
    }

    /** Returns whether [address] accepts connections, from this VM or from a peer; asks for up to [timeoutMs]. */
    suspend fun test(address: SocketAddress, timeoutMs: Long): Boolean {
        val connection = connectDirectlyFirst(address, timeoutMs) ?: return false
        if (connection.relayedBy == null) pool.release(connection, peerKeepAliveMs = null) else connection.close()
        return true
    }

    /**
     * Tests the direct path to [address] for [timeoutMs]; asks a peer too if that fails, unless it is known that this
     * VM is cut off. The peer gets more time than for a request, since it may be busy.
     */
    suspend fun testPath(address: SocketAddress, timeoutMs: Long) {
        if (testDirectly(address, timeoutMs) || paths.isCutOff) return
        connectThroughPeer(address, CERTAIN_PEER_TIMEOUT_MS, CERTAIN_PEER_TIMEOUT_MS)?.close()
    }

    /** Returns whether [address] accepts a direct connection within [timeoutMs]. */
    suspend fun testDirectly(address: SocketAddress, timeoutMs: Long): Boolean {
        val connection = pool.connect(address, timeoutMs) ?: return false
        pool.release(connection, peerKeepAliveMs = null)
        return true
    }

    private suspend fun connectDirectlyFirst(address: SocketAddress, timeoutMs: Long): Connection? {
        val endsAtMs = steadyMs() + timeoutMs
        val direct = scope.async { pool.connect(address, timeoutMs) }
        var relayed: Deferred<Connection?>? = null
        var winner: Connection? = null
        try {
            winner = withTimeoutOrNull(HEAD_START_MS) { direct.await() }
            if (winner == null) {
                relayed = scope.async { connectThroughPeerInTurn(address, endsAtMs, direct) }
                winner = awaitFirst(direct, relayed)
            }
            return winner
        } finally {
            listOfNotNull(direct, relayed).forEach { discardUnless(it, winner) }
        }
    }

    /** Asks a peer for [address] once no other attempt does or the path is down, unless [direct] connects. */
    private suspend fun connectThroughPeerInTurn(
        address: SocketAddress,
        endsAtMs: Long,
        direct: Deferred<Connection?>,
    ): Connection? {
        while (!paths.isDown(address)) {
            if (racing.add(address)) {
                try {
                    return connectThroughPeer(address, endsAtMs - steadyMs())
                } finally {
                    racing.remove(address)
                }
            }
            val hasConnected = direct.isCompleted && direct.await() != null
            if (hasConnected || paths.isDownForAll(address) || steadyMs() >= endsAtMs) return null
            delay(TURN_POLL_MS)
        }
        return connectThroughPeer(address, endsAtMs - steadyMs())
    }

    private suspend fun awaitFirst(direct: Deferred<Connection?>, relayed: Deferred<Connection?>): Connection? {
        val (first, other) = select {
            direct.onAwait { it to relayed }
            relayed.onAwait { it to direct }
        }
        return first ?: other.await()
    }

    /** Puts what [attempt] opens to the idle connections, or closes it if it is relayed, unless that is [winner]. */
    @OptIn(ExperimentalCoroutinesApi::class)
    private fun discardUnless(attempt: Deferred<Connection?>, winner: Connection?) = attempt.invokeOnCompletion {
        val connection = if (it == null) attempt.getCompleted() else null
        if (connection == null || connection === winner) return@invokeOnCompletion
        if (connection.relayedBy == null) pool.release(connection, peerKeepAliveMs = null) else connection.close()
    }

    private suspend fun connectThroughPeer(
        address: SocketAddress,
        timeoutMs: Long,
        peerTimeoutMs: Long = PEER_TIMEOUT_MS,
    ): Connection? {
        if (paths.isDownForAll(address)) return null
        val endsAtMs = steadyMs() + timeoutMs
        var isUnreachable = false
        for (peer in peers.candidates().take(MAX_PEERS)) {
            val askedAtMs = steadyMs()
            val remainingMs = minOf(endsAtMs - askedAtMs, peerTimeoutMs)
            if (remainingMs < MIN_RELAY_MS) break
            when (val result = relayClient.connect(peer, address, remainingMs)) {
                is RelayResult.Connected -> {
                    paths.onPeer(address, reached = true)
                    return result.connection
                }
                RelayResult.EndpointUnreachable -> {
                    // A short wait in vain may be the fault of a busy peer, a refusal is not.
                    val isRefused = steadyMs() - askedAtMs < remainingMs / 2
                    isUnreachable = isUnreachable || isRefused || remainingMs >= CERTAIN_PEER_TIMEOUT_MS
                }
                is RelayResult.PeerUnavailable -> peers.onUnavailable(peer)
            }
        }
        if (isUnreachable) paths.onPeer(address, reached = false)
        return null
    }

    private companion object {
        /** How long a direct connection is waited for before a peer is asked, in milliseconds: several round trips. */
        const val HEAD_START_MS = 40L

        /** Number of peers that are asked for one connection. */
        const val MAX_PEERS = 3

        /** Timeout for one peer, in milliseconds. */
        const val PEER_TIMEOUT_MS = 200L

        /** Timeout after which a peer's failure to connect tells of the endpoint, in milliseconds. */
        const val CERTAIN_PEER_TIMEOUT_MS = 1_000L

        /** Least time in which the answer of a peer tells of the endpoint, in milliseconds. */
        const val MIN_RELAY_MS = 120L

        /** Interval at which an attempt looks whether it may ask a peer, in milliseconds. */
        const val TURN_POLL_MS = 10L
    }
}
