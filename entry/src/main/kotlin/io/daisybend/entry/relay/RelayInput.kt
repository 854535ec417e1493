/*
 * The endpoint's bytes of a relayed connection, taken out of the frames in which the peer sends them.
 */
package io.daisybend.entry.relay

import io.daisybend.entry.http.ByteInput
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.readInt
import io.ktor.utils.io.readLong
import java.io.IOException

/** Reads the frames of [channel]; [begunBytes] is the number of bytes whose sending to the endpoint has begun. */
internal class RelayInput(private val channel: ByteReadChannel, private val begunBytes: () -> Long) : ByteInput {
    private var frameBytes = 0

    /** Whether the peer said that it is about to stop. */
    @Volatile
    var isPeerStopping = false
        private set

    /** How the input ended, or null before. */
    @Volatile
    var end: String? = null
        private set

    override suspend fun read(bytes: ByteArray): Int = try {
        readFrames(bytes)
    } catch (broken: IOException) {
        end = broken.message ?: broken.javaClass.simpleName
        throw broken
    }

    private suspend fun readFrames(bytes: ByteArray): Int {
        while (frameBytes == 0) {
            when (val code = channel.readInt()) {
                RelayFrame.END -> return finish(channel.readLong())
                RelayFrame.STOPPING -> isPeerStopping = true
                in 0..RelayFrame.MAX_DATA_BYTES -> frameBytes = code
                else -> throw IOException("expected a frame of a relay, got code $code")
            }
        }
        val count = channel.readAvailable(bytes, 0, minOf(bytes.size, frameBytes))
        if (count < 0) throw IOException("expected $frameBytes more bytes of a frame, got the end of the relay")
        frameBytes -= count
        return count
    }

    /**
     * Accepts the end of the endpoint's connection as orderly only if all bytes had been forwarded to it: an endpoint
     * that ends its connection before it has the whole request leaves no complete answer.
     */
    private fun finish(forwardedBytes: Long): Int {
        if (forwardedBytes == RelayFrame.BROKEN) throw IOException("the endpoint's connection broke")
        val begun = begunBytes()
        if (forwardedBytes < begun) throw IOException("the endpoint got $forwardedBytes of $begun bytes")
        end = "endpoint ended"
        return -1
    }
}
