/*
 * Authenticated connection to a peer. A response is matched to its call by id. Both sides send heartbeats, and a side
 * that receives no frame within the inactivity timeout closes the connection. This detects connections that fail
 * without a TCP reset, so that the next call opens a new one.
 */
package io.daisybend.transport

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.daisybend.kernel.VmId
import io.ktor.network.sockets.Socket
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

internal class PeerConnection(
    val peer: VmId,
    private val socket: Socket,
    private val input: ByteReadChannel,
    private val output: ByteWriteChannel,
    private val limits: PeerLimits,
    private val handlers: PeerHandlers,
) {
    private val sendQueue = Channel<ByteArray>(limits.maxQueuedFrames)
    private val pendingCalls = ConcurrentHashMap<Long, CompletableDeferred<Result<ByteArray, PeerFailure>>>()
    private val nextId = AtomicLong()
    private val callPermits = Semaphore(limits.maxConcurrentCalls)

    @Volatile
    var isOpen: Boolean = true
        private set

    /** Starts reading and writing frames and sending heartbeats; this continues until the connection is closed. */
    fun start(scope: CoroutineScope) {
        scope.launch { closeAfter { readFrames(scope) } }
        scope.launch { closeAfter { writeFrames() } }
        scope.launch { closeAfter { sendHeartbeats() } }
    }

    suspend fun call(channel: String, payload: ByteArray, timeoutMs: Long): Result<ByteArray, PeerFailure> {
        val id = nextId.incrementAndGet()
        val response = CompletableDeferred<Result<ByteArray, PeerFailure>>()
        pendingCalls[id] = response
        if (!isOpen) response.complete(Err(PeerFailure.ConnectionLost(peer)))
        val result = withTimeoutOrNull(timeoutMs) {
            if (send(Frame.Call(id, channel, payload))) response.await() else Err(PeerFailure.ConnectionLost(peer))
        }
        pendingCalls.remove(id)
        return result ?: Err(PeerFailure.TimedOut(peer, timeoutMs))
    }

    fun close() {
        isOpen = false
        sendQueue.close()
        socket.close()
        pendingCalls.values.forEach { it.complete(Err(PeerFailure.ConnectionLost(peer))) }
    }

    private suspend fun closeAfter(block: suspend () -> Unit) {
        try {
            block()
        } catch (_: java.io.IOException) {
            // The connection has failed; close() fails all pending calls.
        } catch (_: kotlinx.coroutines.channels.ClosedSendChannelException) {
            // Another coroutine has closed the connection.
        } finally {
            close()
        }
    }

    private suspend fun readFrames(scope: CoroutineScope) {
        while (isOpen) {
            val frame =
                withTimeoutOrNull(limits.inactivityTimeoutMs) { input.readFrame(limits.maxFrameBytes) } ?: return
            when (frame) {
                is Frame.Call -> handleCall(scope, frame)
                is Frame.Response -> pendingCalls.remove(frame.id)?.complete(Ok(frame.payload))
                is Frame.Refusal -> pendingCalls.remove(frame.id)?.complete(Err(PeerFailure.Refused(peer, "")))
                is Frame.Heartbeat -> Unit
                is Frame.Hello, is Frame.Challenge, is Frame.Proof ->
                    throw BadFrameException("expected a call, response or heartbeat frame, got a handshake frame")
            }
        }
    }

    private suspend fun handleCall(scope: CoroutineScope, call: Frame.Call) {
        callPermits.acquire()
        scope.launch {
            try {
                val response = handlers.handle(peer, call.channel, call.payload)
                send(if (response == null) Frame.Refusal(call.id) else Frame.Response(call.id, response))
            } finally {
                callPermits.release()
            }
        }
    }

    private suspend fun writeFrames() {
        for (encoded in sendQueue) output.writeFrame(encoded)
    }

    private suspend fun sendHeartbeats() {
        while (isOpen) {
            delay(limits.heartbeatIntervalMs)
            send(Frame.Heartbeat)
        }
    }

    private suspend fun send(frame: Frame): Boolean = try {
        sendQueue.send(frame.encode())
        true
    } catch (_: kotlinx.coroutines.channels.ClosedSendChannelException) {
        false
    }
}
