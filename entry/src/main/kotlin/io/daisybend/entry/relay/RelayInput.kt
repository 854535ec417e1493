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

/** The connection to the peer ended, which says nothing about the endpoint. */
internal class RelayLostException(reason: String, cause: Throwable? = null) : IOException("relay lost: $reason", cause)

/** The endpoint's connection to the peer broke, or ended before the endpoint had all bytes. */
internal class RelayedEndpointBrokeException(reason: String) : IOException(reason)

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
    } catch (endpointBroke: RelayedEndpointBrokeException) {
        end = endpointBroke.message
        throw endpointBroke
    } catch (broken: IOException) {
        val lost = broken as? RelayLostException
            ?: RelayLostException(broken.message ?: broken.javaClass.simpleName, broken)
        end = lost.message
        throw lost
    }

    private suspend fun readFrames(bytes: ByteArray): Int {
        while (frameBytes == 0) {
            when (val code = channel.readInt()) {
                RelayFrame.END -> return finish(channel.readLong())
                RelayFrame.STOPPING -> isPeerStopping = true
                in 0..RelayFrame.MAX_DATA_BYTES -> frameBytes = code
                else -> throw RelayLostException("expected a frame, got code $code")
            }
        }
        val count = channel.readAvailable(bytes, 0, minOf(bytes.size, frameBytes))
        if (count < 0) throw RelayLostException("expected $frameBytes more bytes of a frame, got none")
        frameBytes -= count
        return count
    }

    /**
     * Accepts the end of the endpoint's connection as orderly only if all bytes had been forwarded to it: an endpoint
     * that ends its connection before it has the whole request leaves no complete answer.
     */
    private fun finish(forwardedBytes: Long): Int {
        if (forwardedBytes == RelayFrame.BROKEN) throw RelayedEndpointBrokeException("the endpoint's connection broke")
        val begun = begunBytes()
        if (forwardedBytes < begun) {
            throw RelayedEndpointBrokeException("expected the endpoint to get $begun bytes, it got $forwardedBytes")
        }
        end = "endpoint ended"
        return -1
    }
}
