/*
 * The handlers of incoming calls, by channel.
 */
package io.daisybend.transport

import io.daisybend.kernel.VmId
import kotlinx.coroutines.CancellationException
import org.slf4j.LoggerFactory
import java.util.concurrent.ConcurrentHashMap

/** Answers the calls of peers on one channel. */
public fun interface PeerHandler {
    /** Returns the answer to [payload], or null to refuse it. */
    public suspend fun handle(from: VmId, payload: ByteArray): ByteArray?
}

internal class PeerHandlers {
    private val byChannel = ConcurrentHashMap<String, PeerHandler>()

    fun add(channel: String, handler: PeerHandler) {
        val previous = byChannel.putIfAbsent(channel, handler)
        check(previous == null) { "expected one handler of channel $channel, got a second" }
    }

    suspend fun handle(from: VmId, channel: String, payload: ByteArray): ByteArray? = try {
        byChannel[channel]?.handle(from, payload)
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (failed: Exception) {
        log.warn("handler of channel {} failed on a call from {}", channel, from, failed)
        null
    }

    private companion object {
        val log = LoggerFactory.getLogger(PeerHandlers::class.java)
    }
}
