/*
 * Handlers of incoming calls, by channel.
 */
package io.daisybend.transport

import io.daisybend.kernel.VmId
import kotlinx.coroutines.CancellationException
import org.slf4j.LoggerFactory
import java.util.concurrent.ConcurrentHashMap

/** Handles calls from peers on a channel. */
public fun interface PeerHandler {
    /** Handles the call with [payload] from VM [from]; returns the response, or null to reject the call. */
    public suspend fun handle(from: VmId, payload: ByteArray): ByteArray?
}

internal class PeerHandlers {
    private val byChannel = ConcurrentHashMap<String, PeerHandler>()

    fun register(channel: String, handler: PeerHandler) {
        val previous = byChannel.putIfAbsent(channel, handler)
        check(previous == null) { "expected one handler for channel $channel, got a second" }
    }

    suspend fun handle(from: VmId, channel: String, payload: ByteArray): ByteArray? = try {
        byChannel[channel]?.handle(from, payload)
    } catch (cancellation: CancellationException) {
        throw cancellation
    } catch (exception: Exception) {
        log.warn("handler for channel {} failed on a call from {}", channel, from, exception)
        null
    }

    private companion object {
        val log = LoggerFactory.getLogger(PeerHandlers::class.java)
    }
}
