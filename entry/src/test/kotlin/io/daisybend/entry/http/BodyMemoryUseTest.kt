package io.daisybend.entry.http

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import java.util.concurrent.atomic.AtomicLong

private const val BODY_BYTES = 2_000_000
private const val CHUNKS_PER_WRITE = 1_000

/** Memory that a reading may take beside the body, in bytes: buffers, and what else happens in the process. */
private const val OTHER_BYTES = 6_000_000L

/** Time in which the bytes that were written are read, in milliseconds. */
private const val READING_MS = 500L

private val tinyChunks = "1\r\nx\r\n".repeat(CHUNKS_PER_WRITE).toByteArray()

/** Writes a body of [BODY_BYTES] in chunks of one byte; calls [beforeEnd] when all but its end was read. */
private suspend fun writeInTinyChunks(channel: ByteWriteChannel, beforeEnd: () -> Unit) {
    repeat(BODY_BYTES / CHUNKS_PER_WRITE) {
        channel.writeFully(tinyChunks)
        channel.flush()
    }
    delay(READING_MS)
    beforeEnd()
    channel.writeFully("0\r\n\r\n".toByteArray())
    channel.flush()
}

private fun usedHeapBytes(): Long {
    repeat(2) { System.gc() }
    return Runtime.getRuntime().run { totalMemory() - freeMemory() }
}

class BodyMemoryUseTest : FunSpec({
    // A faulty engine that sent bytes without end in tiny chunks took many times the memory that was counted for them.
    test("a body in tiny chunks takes no more memory than was reserved for it") {
        withContext(Dispatchers.Default) {
            coroutineScope {
                val channel = ByteChannel()
                val reader = BodyReader(ByteSource(channel), BodyFraming.Chunked)
                val usedBeforeBytes = usedHeapBytes()
                val reservedBytes = AtomicLong()
                val body = async {
                    reader.readAll(BODY_BYTES) { byteCount ->
                        reservedBytes.addAndGet(byteCount.toLong())
                        true
                    }
                }
                var takenBytes = 0L
                writeInTinyChunks(channel) { takenBytes = usedHeapBytes() - usedBeforeBytes }
                body.await().size shouldBe BODY_BYTES
                takenBytes shouldBeLessThan reservedBytes.get() + OTHER_BYTES
            }
        }
    }
})
