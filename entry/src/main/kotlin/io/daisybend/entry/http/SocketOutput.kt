/*
 * Output of a connection. A call returns only when the operating system has taken all bytes, because a reset is
 * reported once: to the writer if it still has bytes to send, and then the reader sees an orderly end instead.
 */
package io.daisybend.entry.http

import io.ktor.network.selector.SelectInterest
import io.ktor.network.selector.Selectable
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import java.nio.ByteBuffer
import java.nio.channels.GatheringByteChannel

/** Sends bytes over the channel of [socket], which [selector] watches. */
internal class SocketOutput(private val socket: Selectable, private val selector: SelectorManager) {
    private val channel = socket.channel as GatheringByteChannel
    private val writing = Mutex()

    /** Number of bytes of which the sending has begun. */
    @Volatile
    var begunBytes = 0L
        private set

    /** Sends all [pieces] in order; throws [java.io.IOException] if the connection ends before. */
    suspend fun writeAll(vararg pieces: ByteArray) = writing.withLock {
        begunBytes += pieces.sumOf { it.size }
        val slices = pieces.flatMap(::slicesOf).toTypedArray()
        var first = 0
        while (first < slices.size) {
            if (channel.write(slices, first, minOf(SLICES_A_WRITE, slices.size - first)) == 0L) awaitWritable()
            while (first < slices.size && !slices[first].hasRemaining()) first++
        }
    }

    private fun slicesOf(bytes: ByteArray): List<ByteBuffer> =
        (bytes.indices step SLICE_BYTES).map { ByteBuffer.wrap(bytes, it, minOf(SLICE_BYTES, bytes.size - it)) }

    private suspend fun awaitWritable() {
        socket.interestOp(SelectInterest.WRITE, true)
        selector.select(socket, SelectInterest.WRITE)
        socket.interestOp(SelectInterest.WRITE, false)
    }

    private companion object {
        /**
         * Bytes of one buffer. The JDK copies the buffers of a write into direct memory that each thread keeps, so a
         * body must not be one buffer.
         */
        const val SLICE_BYTES = 32_768

        /** Buffers of one write: a head and the beginning of its body. */
        const val SLICES_A_WRITE = 2
    }
}
