package io.daisybend.kernel

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

@Serializable
private class Note(val id: Long, @ByteString val body: ByteArray)

class CborCodecTest : FunSpec({
    test("an encoded value decodes to the same value") {
        val decoded = decodeCbor(Note.serializer(), encodeCbor(Note.serializer(), Note(5, byteArrayOf(1, 2)))).get()
        decoded?.id shouldBe 5
        decoded?.body shouldBe byteArrayOf(1, 2)
    }

    test("a truncated byte string of indefinite length fails as malformed instead of overflowing the stack") {
        val bytes = encodeCbor(Note.serializer(), Note(5, ByteArray(3)))
        val truncated = bytes.copyOf(bytes.size - 5) + 0x7f.toByte()
        decodeCbor(Note.serializer(), truncated).getError().shouldBeInstanceOf<MalformedCbor>()
    }

    test("a byte string with a length beyond the end of the input fails as malformed") {
        val oversizedHeader = byteArrayOf(0x5a, 0x7f, 0x7f, 0x7f, 0x7f)
        val bytes = encodeCbor(Note.serializer(), Note(5, ByteArray(3)))
        val oversized = bytes.copyOf(bytes.size - 5) + oversizedHeader
        decodeCbor(Note.serializer(), oversized).getError().shouldBeInstanceOf<MalformedCbor>()
    }
})
