/*
 * Snapshots in the log: a writer that dies half way, chunks of several writers, and who writes.
 */
package io.daisybend.configuration

import io.daisybend.kernel.LogFailure
import io.daisybend.kernel.VmId
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeInstanceOf

private const val CHUNK = 300
private val older = replayAll(encodeChange(ChangeId("first"), applyAll(smallManifest())))
private val newer = replayAll(List(5) { byteArrayOf(1) }, older)

private fun LogFake.write(chunks: List<SnapshotChunk>) =
    chunks.forEach { append(SNAPSHOT_STREAM, encodeChunk(it), nowMs = 0) }

private fun LogFake.find() = findSnapshot { from, max -> read(SNAPSHOT_STREAM, from, max) }

private fun SnapshotReaderStep.offset() = shouldBeInstanceOf<SnapshotReaderStep.Found>().state.nextOffset

class SnapshotReaderTest : FunSpec({
    test("an empty stream holds no snapshot") {
        LogFake().find() shouldBe SnapshotReaderStep.Missing
    }

    test("chunks of a writer that died half way are not used, the whole snapshot before them is") {
        val log = LogFake()
        log.write(snapshotChunks(older, CHUNK))
        log.write(snapshotChunks(newer, CHUNK).dropLast(1))
        log.find().offset() shouldBe older.nextOffset
    }

    test("the next writer's chunks complete those of one that died") {
        val log = LogFake()
        val chunks = snapshotChunks(newer, CHUNK)
        log.write(chunks.take(1))
        log.write(chunks.drop(1))
        log.find().offset() shouldBe newer.nextOffset
    }

    test("a whole snapshot far before the end is found by widening the window") {
        val log = LogFake()
        log.write(snapshotChunks(older, CHUNK))
        repeat(500) { log.append(SNAPSHOT_STREAM, byteArrayOf(1, 2), nowMs = 0) }
        log.find().offset() shouldBe older.nextOffset
    }

    test("a snapshot whose content was changed is not used") {
        val log = LogFake()
        val chunk = snapshotChunks(older).single()
        val content = chunk.content.copyOf().also { it[20] = (it[20] + 1).toByte() }
        log.write(listOf(SnapshotChunk(chunk.nextOffset, chunk.contentHash, 0, 1, content)))
        log.find() shouldBe SnapshotReaderStep.Missing
    }

    test("a log that is down is told apart from one without a snapshot") {
        val failure = LogFailure.Unavailable("expected the log, it is down")
        findSnapshot { _, _ -> com.github.michaelbull.result.Err(failure) } shouldBe SnapshotReaderStep.Failed(failure)
    }

    test("one VM writes, another steps in later, and the marker follows the chunks") {
        val vmIds = List(3) { VmId("vm-$it") }
        val writers = vmIds.map { SnapshotWriter(it) }
        val tick = SnapshotWriterEvent.Tick(older, vmIds)
        val started = writers.filter { it.handle(tick, 0) != null }
        started.size shouldBe 1
        started.single().handle(SnapshotWriterEvent.Appended, 1)?.stream shouldBe CONFIGURATION_STREAM
        started.single().handle(SnapshotWriterEvent.Appended, 2) shouldBe null
        started.single().handle(tick, 3) shouldBe null
        writers.filter { it !in started }.mapNotNull { it.handle(tick, 15_000) }.size shouldBe 1
    }

    test("a snapshot is due by records and by age") {
        val vmId = VmId("vm-0")
        val marker = encodeRecord(ConfigurationRecord.SnapshotWritten(older.nextOffset, writtenAtMs = 0))
        val fresh = replayAll(listOf(marker), older)
        val aged = 30 * 60 * 1_000L
        fun writes(state: ConfigurationState, nowMs: Long) =
            SnapshotWriter(vmId).handle(SnapshotWriterEvent.Tick(state, listOf(vmId)), nowMs)
        writes(fresh, aged - 1) shouldBe null
        writes(fresh, aged) shouldNotBe null
        writes(replayAll(List(1_000) { byteArrayOf(1) }, fresh), 1) shouldNotBe null
    }
})
