/*
 * Tests snapshots in the log: incomplete writes, chunks of several writers, and the choice of the writer.
 */
package io.daisybend.configuration

import io.daisybend.kernel.LogFailure
import io.daisybend.kernel.VmId
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeInstanceOf

private const val SMALL_CHUNK_BYTES = 300
private val olderState = replayAll(encodeChange(ChangeId("first"), applyAll(smallManifest())))
private val newerState = replayAll(List(5) { byteArrayOf(1) }, olderState)

private fun FakeLog.appendChunks(chunks: List<SnapshotChunk>) =
    chunks.forEach { append(SNAPSHOT_STREAM, encodeChunk(it), nowMs = 0) }

private fun FakeLog.findNewest() = findSnapshot { from, max -> read(SNAPSHOT_STREAM, from, max) }

private fun SnapshotReaderStep.offset() = shouldBeInstanceOf<SnapshotReaderStep.Found>().state.nextOffset

class SnapshotReaderTest : FunSpec({
    test("an empty stream contains no snapshot") {
        FakeLog().findNewest() shouldBe SnapshotReaderStep.Missing
    }

    test("chunks of a writer that crashed halfway are ignored in favour of the complete snapshot before them") {
        val log = FakeLog()
        log.appendChunks(snapshotChunks(olderState, SMALL_CHUNK_BYTES))
        log.appendChunks(snapshotChunks(newerState, SMALL_CHUNK_BYTES).dropLast(1))
        log.findNewest().offset() shouldBe olderState.nextOffset
    }

    test("chunks of the next writer complete those of a writer that crashed") {
        val log = FakeLog()
        val chunks = snapshotChunks(newerState, SMALL_CHUNK_BYTES)
        log.appendChunks(chunks.take(1))
        log.appendChunks(chunks.drop(1))
        log.findNewest().offset() shouldBe newerState.nextOffset
    }

    test("a complete snapshot far before the end is found by widening the window") {
        val log = FakeLog()
        log.appendChunks(snapshotChunks(olderState, SMALL_CHUNK_BYTES))
        repeat(500) { log.append(SNAPSHOT_STREAM, byteArrayOf(1, 2), nowMs = 0) }
        log.findNewest().offset() shouldBe olderState.nextOffset
    }

    test("a snapshot with corrupted content is not used") {
        val log = FakeLog()
        val chunk = snapshotChunks(olderState).single()
        val content = chunk.content.copyOf().also { it[20] = (it[20] + 1).toByte() }
        log.appendChunks(listOf(SnapshotChunk(chunk.nextOffset, chunk.contentHash, 0, 1, content)))
        log.findNewest() shouldBe SnapshotReaderStep.Missing
    }

    test("a log that is down is distinguished from a log without a snapshot") {
        val failure = LogFailure.Unavailable("expected the log, got none")
        findSnapshot { _, _ -> com.github.michaelbull.result.Err(failure) } shouldBe SnapshotReaderStep.Failed(failure)
    }

    test("one VM writes, another takes over after a delay, and the marker follows the chunks") {
        val vmIds = List(3) { VmId("vm-$it") }
        val writers = vmIds.map { SnapshotWriter(it) }
        val tick = SnapshotWriterEvent.Tick(olderState, vmIds)
        val startedWriters = writers.filter { it.handle(tick, 0) != null }
        startedWriters.size shouldBe 1
        startedWriters.single().handle(SnapshotWriterEvent.Appended, 1)?.stream shouldBe CONFIGURATION_STREAM
        startedWriters.single().handle(SnapshotWriterEvent.Appended, 2) shouldBe null
        startedWriters.single().handle(tick, 3) shouldBe null
        writers.filter { it !in startedWriters }.mapNotNull { it.handle(tick, 15_000) }.size shouldBe 1
    }

    test("a snapshot is due after a number of records and after an interval") {
        val vmId = VmId("vm-0")
        val marker = encodeRecord(ConfigurationRecord.SnapshotWritten(olderState.nextOffset, writtenAtMs = 0))
        val recentState = replayAll(listOf(marker), olderState)
        val intervalMs = 30 * 60 * 1_000L
        fun nextAppend(state: ConfigurationState, nowMs: Long) =
            SnapshotWriter(vmId).handle(SnapshotWriterEvent.Tick(state, listOf(vmId)), nowMs)
        nextAppend(recentState, intervalMs - 1) shouldBe null
        nextAppend(recentState, intervalMs) shouldNotBe null
        nextAppend(replayAll(List(1_000) { byteArrayOf(1) }, recentState), 1) shouldNotBe null
    }
})
