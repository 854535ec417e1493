/*
 * Measures the cost of a manifest of 1,600 models and 9,800 adapters. It prints the measurements and limits the number
 * of records.
 */
package io.daisybend.configuration

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

private const val MAX_RECORDS = 64
private const val RUNS = 5

private inline fun <T> medianMs(run: () -> T): Double {
    val nanos = LongArray(RUNS) {
        val start = System.nanoTime()
        run()
        System.nanoTime() - start
    }
    return nanos.sorted()[RUNS / 2] / 1e6
}

class ManifestCostTest : FunSpec({
    test("a manifest of 1,600 models and 9,800 adapters is accepted with at most 64 records") {
        val manifest = sizedManifest(models = 1_600, adapters = 9_800, teams = 20, keys = 200, endpoints = 2_400)
        val text = writeManifest(manifest)
        val records = encodeChange(ChangeId("all"), applyAll(manifest))
        val state = replayAll(records)
        state.manifest() shouldBe manifest
        (records.size <= MAX_RECORDS) shouldBe true
        val chunks = snapshotChunks(state)
        println("manifest JSON ${text.length} bytes, ${records.size} records of ${records.sumOf { it.size }} bytes")
        println("read and validate %.1f ms".format(medianMs { readManifest(text) }))
        println("encode records %.1f ms".format(medianMs { encodeChange(ChangeId("all"), applyAll(manifest)) }))
        println("replay on each VM %.1f ms".format(medianMs { replayAll(records) }))
        println("snapshot ${chunks.sumOf { it.content.size }} bytes in ${chunks.size} chunks")
        println("write snapshot %.1f ms".format(medianMs { snapshotChunks(state) }))
        println("read snapshot %.1f ms".format(medianMs { restore(chunks) }))
    }
})

private fun restore(chunks: List<SnapshotChunk>): ConfigurationState? {
    val assembly = SnapshotAssembly.startWith(chunks.first())
    chunks.forEach { assembly?.addChunk(it) }
    return assembly?.toState()?.expectOk()
}
