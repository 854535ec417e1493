/*
 * Tests that bytes that are not a record, message or chunk lead to a typed failure without large allocations.
 */
package io.daisybend.configuration

import com.github.michaelbull.result.getError
import io.daisybend.kernel.TeamId
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.random.Random

private fun samples(): List<ByteArray> {
    val rates = ConfigurationChange.SetRates(1, TeamId("team-0"), 5, 6)
    return listOf(
        encodeRecord(ConfigurationRecord.Change(ChangeId("a"), rates)),
        encodeChange(ChangeId("b"), applyAll(smallManifest())).single(),
        encodeGossip(GossipMessage.ProbeResponse(1, 9, 10, true, 7, 9, listOf(PassedRecord(7, ByteArray(40))))),
        encodeChunk(SnapshotChunk(4, ContentHash("00"), 0, 1, ByteArray(100))),
    )
}

private fun decodeAll(bytes: ByteArray) {
    decodeRecord(bytes)
    decodeGossip(bytes)
    decodeChunk(bytes).getError()
    ConfigurationState.INITIAL.replay(0, bytes)
}

class ConfigurationCodecTest : FunSpec({
    test("corrupted, truncated and random bytes decode to a typed failure or a value") {
        val samples = samples()
        checkAll(PropTestConfig(seed = 1L, iterations = 5_000), Arb.long()) { seed ->
            val random = Random(seed)
            val bytes = samples.random(random).copyOf()
            repeat(random.nextInt(1, 5)) { bytes[random.nextInt(bytes.size)] = random.nextInt().toByte() }
            decodeAll(bytes)
            decodeAll(bytes.copyOf(random.nextInt(bytes.size)))
            decodeAll(byteArrayOf(1) + random.nextBytes(random.nextInt(64)))
        }
    }

    test("a declared size beyond the end is refused before memory is allocated for it") {
        listOf(0x9a, 0xba, 0x5a, 0x7a).forEach { initialByte ->
            val bytes = byteArrayOf(1, initialByte.toByte(), 0x7f, -1, -1, -1, 0)
            decodeRecord(bytes).getError().shouldBeInstanceOf<CodecFailure.Malformed>()
            decode(ManifestDiff.serializer(), bytes).getError().shouldBeInstanceOf<CodecFailure.Malformed>()
        }
    }

    test("content that exceeds the limit when decompressed is refused") {
        val compressed = compress(ByteArray(MAX_CONTENT_BYTES + 1))
        decompress(compressed).getError().shouldBeInstanceOf<CodecFailure.Malformed>()
        decompress(byteArrayOf(1, 2, 3)).getError().shouldBeInstanceOf<CodecFailure.Malformed>()
    }

    test("a probe and its answer without records take less than 100 bytes together") {
        val probe = encodeGossip(GossipMessage.Probe(100_000, 5_000_000))
        val answer = encodeGossip(GossipMessage.ProbeResponse(100_000, 5_000_000, 1_500, true))
        (probe.size + answer.size < 100) shouldBe true
    }

    test("a record that is too large is refused") {
        decodeRecord(ByteArray(MAX_RECORD_BYTES + 1) { 1 }).getError() shouldBe
            CodecFailure.Malformed("expected 1 to $MAX_RECORD_BYTES bytes, came ${MAX_RECORD_BYTES + 1}")
    }
})
