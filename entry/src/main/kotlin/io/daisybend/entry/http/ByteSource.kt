/*
 * Buffered bytes of one connection's reading side. One coroutine reads the connection for its whole life and queues
 * what comes; whoever waits for bytes waits for the queue and may be cancelled without losing any. An orderly end and
 * a reset are told apart, since an answer that ends with its connection is whole only after an orderly end.
 */
package io.daisybend.entry.http

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readAvailable
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import java.io.IOException

/** The peer reset the connection, or it broke. */
internal class ConnectionBrokenException(cause: Throwable?) : IOException("connection broken: ${cause?.message}", cause)

/** Reads a connection through a buffer; used by one coroutine at a time. */
internal class ByteSource(private val channel: ByteReadChannel) {
    private val lock = Any()
    private val queue = ArrayDeque<ByteArray>()
    private var queuedBytes = 0
    private var end: InputEnd? = null
    private val dataAvailable = Channel<Unit>(Channel.CONFLATED)
    private val spaceAvailable = Channel<Unit>(Channel.CONFLATED)

    private var buffer = ByteArray(0)
    private var start = 0
    private var limit = 0

    init {
        readerScope.launch { readLoop() }
    }

    /** Bytes that were read and not taken. */
    val buffered: Int get() = limit - start

    /** Whether anything, or the end, waits to be read. */
    val hasPendingInput: Boolean get() = buffered > 0 || synchronized(lock) { queue.isNotEmpty() || end != null }

    /** Reads more into the buffer; returns false at an orderly end and throws [ConnectionBroken] otherwise. */
    suspend fun fill(): Boolean {
        while (true) {
            val piece = synchronized(lock) { queue.removeFirstOrNull()?.also { queuedBytes -= it.size } }
            if (piece != null) {
                spaceAvailable.trySend(Unit)
                append(piece)
                return true
            }
            when (val inputEnd = synchronized(lock) { end }) {
                null -> dataAvailable.receive()
                InputEnd.Orderly -> return false
                is InputEnd.Broken -> throw ConnectionBrokenException(inputEnd.cause)
            }
        }
    }

    /** Returns the place of [byte] from [from] on, counted from the first buffered byte, or -1. */
    fun indexOf(byte: Byte, from: Int): Int {
        for (index in start + from until limit) if (buffer[index] == byte) return index - start
        return -1
    }

    /** Returns the buffered byte at [index]. */
    operator fun get(index: Int): Byte = buffer[start + index]

    /** Takes [count] buffered bytes as text, one character a byte. */
    fun takeText(count: Int): String = String(buffer, start, count, Charsets.ISO_8859_1).also { skip(count) }

    /** Takes up to [most] buffered bytes. */
    fun take(maxBytes: Int): ByteArray {
        val count = minOf(maxBytes, buffered)
        return buffer.copyOfRange(start, start + count).also { skip(count) }
    }

    /** Drops [count] buffered bytes. */
    fun skip(count: Int) {
        start += count
    }

    private fun append(piece: ByteArray) {
        buffer = if (buffered == 0) piece else buffer.copyOfRange(start, limit) + piece
        start = 0
        limit = buffer.size
    }

    private suspend fun readLoop() {
        val bytes = ByteArray(READ_BUFFER_BYTES)
        val inputEnd = try {
            while (true) {
                val count = channel.readAvailable(bytes, 0, bytes.size)
                if (count < 0) break
                enqueue(bytes.copyOf(count))
            }
            channel.closedCause?.let { InputEnd.Broken(it) } ?: InputEnd.Orderly
        } catch (broken: IOException) {
            InputEnd.Broken(broken)
        } catch (closed: IllegalStateException) {
            InputEnd.Broken(closed)
        }
        synchronized(lock) { end = inputEnd }
        dataAvailable.trySend(Unit)
    }

    private suspend fun enqueue(piece: ByteArray) {
        synchronized(lock) {
            queue.addLast(piece)
            queuedBytes += piece.size
        }
        dataAvailable.trySend(Unit)
        while (synchronized(lock) { queuedBytes > MAX_QUEUED_BYTES }) spaceAvailable.receive()
    }

    private sealed interface InputEnd {
        data object Orderly : InputEnd
        class Broken(val cause: Throwable) : InputEnd
    }

    private companion object {
        const val READ_BUFFER_BYTES = 4_096

        /** Bytes that are read ahead of their taker. */
        const val MAX_QUEUED_BYTES = 65_536

        /** The readers of all connections; each ends with its connection. */
        val readerScope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    }
}
