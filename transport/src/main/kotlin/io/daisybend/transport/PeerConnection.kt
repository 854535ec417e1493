/*
 * One authenticated connection to a peer. Calls and answers are matched by number. Both sides send heartbeats; a side
 * that hears nothing for the silence timeout closes the connection, so that a connection which has gone silent without
 * a reset is replaced by a fresh one.
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
    private val outgoing = Channel<ByteArray>(limits.maxQueuedFrames)
    private val waiting = ConcurrentHashMap<Long, CompletableDeferred<Result<ByteArray, PeerFailure>>>()
    private val nextId = AtomicLong()
    private val handling = Semaphore(limits.maxConcurrentCalls)

    @Volatile
    var isOpen: Boolean = true
        private set

    /** Reads, writes and sends heartbeats until the connection ends. */
    fun start(scope: CoroutineScope) {
        scope.launch { endAfter { readFrames(scope) } }
        scope.launch { endAfter { writeFrames() } }
        scope.launch { endAfter { sendHeartbeats() } }
    }

    suspend fun call(channel: String, payload: ByteArray, timeoutMs: Long): Result<ByteArray, PeerFailure> {
        val id = nextId.incrementAndGet()
        val answer = CompletableDeferred<Result<ByteArray, PeerFailure>>()
        waiting[id] = answer
        if (!isOpen) answer.complete(Err(PeerFailure.ConnectionLost(peer)))
        val result = withTimeoutOrNull(timeoutMs) {
            if (send(Frame.Call(id, channel, payload))) answer.await() else Err(PeerFailure.ConnectionLost(peer))
        }
        waiting.remove(id)
        return result ?: Err(PeerFailure.TimedOut(peer, timeoutMs))
    }

    fun close() {
        isOpen = false
        outgoing.close()
        socket.close()
        waiting.values.forEach { it.complete(Err(PeerFailure.ConnectionLost(peer))) }
    }

    private suspend fun endAfter(work: suspend () -> Unit) {
        try {
            work()
        } catch (_: java.io.IOException) {
            // The connection has ended; close() tells every waiting call.
        } catch (_: kotlinx.coroutines.channels.ClosedSendChannelException) {
            // Another part of this connection has closed it.
        } finally {
            close()
        }
    }

    private suspend fun readFrames(scope: CoroutineScope) {
        while (isOpen) {
            val frame =
                withTimeoutOrNull(limits.inactivityTimeoutMs) { input.readFrame(limits.maxFrameBytes) } ?: return
            when (frame) {
                is Frame.Call -> answerCall(scope, frame)
                is Frame.Answer -> waiting.remove(frame.id)?.complete(Ok(frame.payload))
                is Frame.Refusal -> waiting.remove(frame.id)?.complete(Err(PeerFailure.Refused(peer, "")))
                is Frame.Heartbeat -> Unit
                is Frame.Hello, is Frame.Challenge, is Frame.Proof ->
                    throw BadFrameException("expected a call, answer or heartbeat, got a handshake frame")
            }
        }
    }

    private suspend fun answerCall(scope: CoroutineScope, call: Frame.Call) {
        handling.acquire()
        scope.launch {
            try {
                val answer = handlers.handle(peer, call.channel, call.payload)
                send(if (answer == null) Frame.Refusal(call.id) else Frame.Answer(call.id, answer))
            } finally {
                handling.release()
            }
        }
    }

    private suspend fun writeFrames() {
        for (encoded in outgoing) output.writeFrame(encoded)
    }

    private suspend fun sendHeartbeats() {
        while (isOpen) {
            delay(limits.heartbeatIntervalMs)
            send(Frame.Heartbeat)
        }
    }

    private suspend fun send(frame: Frame): Boolean = try {
        outgoing.send(frame.encode())
        true
    } catch (_: kotlinx.coroutines.channels.ClosedSendChannelException) {
        false
    }
}
