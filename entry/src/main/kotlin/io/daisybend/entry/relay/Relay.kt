/*
 * Moves the bytes of one relayed connection. The end of either connection ends the other one: at once towards the
 * endpoint, which then drops the request, and after the last frame towards the peer.
 */
package io.daisybend.entry.relay

import io.daisybend.entry.http.ByteSource
import io.daisybend.entry.http.Connection
import io.daisybend.entry.http.ConnectionBrokenException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import java.util.concurrent.atomic.LongAdder

/** How a relay ended. */
internal enum class RelayEnd { PEER_CLOSED, ENDPOINT_ENDED, ENDPOINT_BROKE, IDLE }

/** Bytes of all relays of a VM. */
internal class RelayTotals {
    val forwardedBytes = LongAdder()
    val answeredBytes = LongAdder()
}

/** Connects the peer behind [hop] with [endpoint]; counts in [totals], too. */
internal class Relay(
    private val hop: Connection,
    private val endpoint: Connection,
    private val totals: RelayTotals,
    private val steadyMs: () -> Long,
) {
    private val ended = CompletableDeferred<RelayEnd>()
    private val forwarding = Mutex()

    @Volatile
    private var isProbing = false

    @Volatile
    private var lastMoveAtMs = steadyMs()

    /** Number of bytes that the system has taken for the endpoint. */
    @Volatile
    var forwardedBytes = 0L
        private set

    /** Number of the endpoint's bytes that the system has taken for the peer. */
    @Volatile
    var answeredBytes = 0L
        private set

    /** Moves bytes until either side ends, then closes both connections; returns how the relay ended. */
    suspend fun run(): RelayEnd = coroutineScope {
        val forward = launch { forward() }
        val answer = launch { answer() }
        val end = ended.await()
        forward.cancel()
        answer.cancel()
        endpoint.close()
        if (end == RelayEnd.ENDPOINT_ENDED || end == RelayEnd.ENDPOINT_BROKE) {
            // A close with unread input resets the connection, and the peer might lose what it has not read.
            withTimeoutOrNull(LINGER_MS) {
                forward.join()
                discardInput()
            }
        }
        hop.close()
        end
    }

    /** Tells the peer that no further request may be sent. */
    suspend fun announceStop() {
        sendToPeer(RelayFrame.stopping)
    }

    /**
     * Ends the relay if nothing moved for [idleTimeoutMs]. While the endpoint reads nothing, this VM doesn't read on,
     * and would not see that the peer has closed its connection: then it writes to the peer, in [scope].
     */
    fun check(scope: CoroutineScope, idleTimeoutMs: Long) {
        val unmovedMs = steadyMs() - lastMoveAtMs
        if (unmovedMs >= idleTimeoutMs) ended.complete(RelayEnd.IDLE)
        if (!forwarding.isLocked || unmovedMs < STALL_MS || isProbing) return
        isProbing = true
        scope.launch {
            sendToPeer(RelayFrame.probe)
            isProbing = false
        }
    }

    /** Reads what the peer sends until it closes; once the endpoint takes nothing more, the rest is discarded. */
    private suspend fun forward() {
        try {
            do {
                val piece = hop.source.nextPiece() ?: break
                lastMoveAtMs = steadyMs()
            } while (forwarding.withLock { tryForward(piece) })
            discardInput()
        } catch (expectedClose: ConnectionBrokenException) {
            // The same as an orderly end: a peer never ends only one direction.
        }
        ended.complete(RelayEnd.PEER_CLOSED)
    }

    /** Returns false if the endpoint's connection broke; [answer] learns what the endpoint sent before. */
    private suspend fun tryForward(piece: ByteArray): Boolean = try {
        endpoint.sink.writeAll(piece)
        forwardedBytes += piece.size
        totals.forwardedBytes.add(piece.size.toLong())
        lastMoveAtMs = steadyMs()
        true
    } catch (expectedBreak: IOException) {
        false
    }

    private suspend fun discardInput() {
        try {
            while (hop.source.nextPiece() != null) lastMoveAtMs = steadyMs()
        } catch (expectedClose: ConnectionBrokenException) {
            return
        }
    }

    private suspend fun answer() {
        try {
            while (true) {
                val piece = endpoint.source.nextPiece() ?: break
                if (!sendToPeer(RelayFrame.header(piece.size), piece)) return
                answeredBytes += piece.size
                totals.answeredBytes.add(piece.size.toLong())
                lastMoveAtMs = steadyMs()
            }
        } catch (expectedBreak: ConnectionBrokenException) {
            if (sendToPeer(RelayFrame.end(RelayFrame.BROKEN))) ended.complete(RelayEnd.ENDPOINT_BROKE)
            return
        }
        // The write that led to the answer may not have been counted yet.
        withTimeoutOrNull(SETTLE_MS) { forwarding.withLock { } }
        if (sendToPeer(RelayFrame.end(forwardedBytes))) ended.complete(RelayEnd.ENDPOINT_ENDED)
    }

    /** Sends [pieces] as one; ends the relay and returns false if the peer's connection has broken. */
    private suspend fun sendToPeer(vararg pieces: ByteArray): Boolean = try {
        hop.sink.writeAll(*pieces)
        true
    } catch (expectedBreak: IOException) {
        ended.complete(RelayEnd.PEER_CLOSED)
        false
    }

    private companion object {
        /** Time for the peer to close its connection after the last frame, in milliseconds. */
        const val LINGER_MS = 1_000L

        /** Time for a write to the endpoint to end after its connection has ended, in milliseconds. */
        const val SETTLE_MS = 100L

        /** Time without progress after which a write to the endpoint counts as stalled, in milliseconds. */
        const val STALL_MS = 25L
    }
}

/** Returns the next bytes in order, or null at an orderly end. */
private suspend fun ByteSource.nextPiece(): ByteArray? =
    if (buffered > 0 || fill()) take(RelayFrame.MAX_DATA_BYTES) else null
