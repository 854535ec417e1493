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

    /** Sends all [pieces] in order; throws [java.io.IOException] if the connection ends before. */
    suspend fun writeAll(vararg pieces: ByteArray) = writing.withLock {
        val buffers = pieces.map(ByteBuffer::wrap).toTypedArray()
        while (buffers.any { it.hasRemaining() }) {
            if (channel.write(buffers) == 0L) awaitWritable()
        }
    }

    private suspend fun awaitWritable() {
        socket.interestOp(SelectInterest.WRITE, true)
        selector.select(socket, SelectInterest.WRITE)
        socket.interestOp(SelectInterest.WRITE, false)
    }
}
