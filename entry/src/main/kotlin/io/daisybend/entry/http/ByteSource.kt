/*
 * Buffered input of a connection. One coroutine reads the connection for its whole life and queues the bytes, so a
 * reader that waits for the queue can be cancelled without losing bytes. An orderly end is distinguished from a reset,
 * because a response that is delimited by the end of the connection is complete only after an orderly end.
 */
package io.daisybend.entry.http

import io.ktor.utils.io.ByteReadChannel
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import java.io.IOException

/** The connection was reset or ended too early. */
internal class ConnectionBrokenException(cause: Throwable?) : IOException("connection broken: ${cause?.message}", cause)

/**
 * Buffers [input], of which up to about [maxQueuedBytes] are kept before reading pauses; not safe for use by several
 * coroutines at once.
 */
internal class ByteSource(private val input: ByteInput, private val maxQueuedBytes: Int = MAX_QUEUED_BYTES) {
    constructor(channel: ByteReadChannel) : this(ChannelInput(channel))

    private val lock = Any()
    private val queue = ArrayDeque<ByteArray>()
    private var queuedBytes = 0
    private var receivedTotal = 0L
    private var filledTotal = 0L
    private var end: InputEnd? = null
    private val dataAvailable = Channel<Unit>(Channel.CONFLATED)
    private val spaceAvailable = Channel<Unit>(Channel.CONFLATED)

    private var buffer = ByteArray(0)
    private var start = 0
    private var limit = 0

    init {
        readerScope.launch { readLoop() }
    }

    /** Number of bytes in the buffer. */
    val buffered: Int get() = limit - start

    /** Whether bytes, or the end of the input, can be read without waiting. */
    val hasPendingInput: Boolean get() = synchronized(lock) { buffered > 0 || queue.isNotEmpty() || end != null }

    /** Number of bytes that were received so far, whether they are read or not. */
    val receivedBytes: Long get() = synchronized(lock) { receivedTotal }

    /** Number of bytes that were read from the buffer so far. */
    val readBytes: Long get() = filledTotal - buffered

    /**
     * Reads more bytes into the buffer; returns false at an orderly end and throws [ConnectionBrokenException] after a
     * reset.
     */
    suspend fun fill(): Boolean {
        while (true) {
            // Under the lock, so that hasPendingInput misses no piece on its way into the buffer.
            val hasFilled = synchronized(lock) { queue.removeFirstOrNull()?.also(::append) != null }
            if (hasFilled) {
                spaceAvailable.trySend(Unit)
                return true
            }
            when (val inputEnd = synchronized(lock) { end }) {
                null -> dataAvailable.receive()
                InputEnd.Orderly -> return false
                is InputEnd.Broken -> throw ConnectionBrokenException(inputEnd.cause)
            }
        }
    }

    /** Returns the index of the first [byte] at or after index [from] of the buffered bytes, or -1. */
    fun indexOf(byte: Byte, from: Int): Int {
        for (index in start + from until limit) if (buffer[index] == byte) return index - start
        return -1
    }

    /** Returns the buffered byte at [index]. */
    operator fun get(index: Int): Byte = buffer[start + index]

    /** Removes and returns [count] buffered bytes as ISO 8859-1 text. */
    fun takeText(count: Int): String = String(buffer, start, count, Charsets.ISO_8859_1).also { skip(count) }

    /** Removes and returns up to [maxBytes] buffered bytes. */
    fun take(maxBytes: Int): ByteArray {
        val count = minOf(maxBytes, buffered)
        return buffer.copyOfRange(start, start + count).also { skip(count) }
    }

    /** Discards [count] buffered bytes. */
    fun skip(count: Int) {
        start += count
    }

    private fun append(piece: ByteArray) {
        queuedBytes -= memoryOf(piece)
        filledTotal += piece.size
        buffer = if (buffered == 0) piece else buffer.copyOfRange(start, limit) + piece
        start = 0
        limit = buffer.size
    }

    private suspend fun readLoop() {
        val bytes = ByteArray(READ_BUFFER_BYTES)
        val inputEnd = try {
            while (true) {
                val count = input.read(bytes)
                if (count < 0) break
                enqueue(bytes.copyOf(count))
            }
            InputEnd.Orderly
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
            queuedBytes += memoryOf(piece)
            receivedTotal += piece.size
        }
        dataAvailable.trySend(Unit)
        while (synchronized(lock) { queuedBytes > maxQueuedBytes }) spaceAvailable.receive()
    }

    private fun memoryOf(piece: ByteArray) = piece.size + PIECE_OVERHEAD_BYTES

    private sealed interface InputEnd {
        data object Orderly : InputEnd
        class Broken(val cause: Throwable) : InputEnd
    }

    companion object {
        /** Number of queued bytes above which reading from the connection pauses. */
        const val MAX_QUEUED_BYTES = 65_536

        private const val READ_BUFFER_BYTES = 4_096

        /** Memory of an array beside its elements, in bytes; a sender may choose to send tiny segments. */
        private const val PIECE_OVERHEAD_BYTES = 24

        /** Scope of the reader coroutines; each ends with its connection. */
        private val readerScope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    }
}
