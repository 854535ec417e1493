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
    test("a value is read back as it was written") {
        val decoded = decodeCbor(Note.serializer(), encodeCbor(Note.serializer(), Note(5, byteArrayOf(1, 2)))).get()
        decoded?.id shouldBe 5
        decoded?.body shouldBe byteArrayOf(1, 2)
    }

    test("a truncated byte string of indefinite length is malformed, not a stack overflow") {
        val bytes = encodeCbor(Note.serializer(), Note(5, ByteArray(3)))
        val truncated = bytes.copyOf(bytes.size - 5) + 0x7f.toByte()
        decodeCbor(Note.serializer(), truncated).getError().shouldBeInstanceOf<MalformedCbor>()
    }

    test("a byte string that claims more bytes than there are is malformed") {
        val claim = byteArrayOf(0x5a, 0x7f, 0x7f, 0x7f, 0x7f)
        val bytes = encodeCbor(Note.serializer(), Note(5, ByteArray(3)))
        val claiming = bytes.copyOf(bytes.size - 5) + claim
        decodeCbor(Note.serializer(), claiming).getError().shouldBeInstanceOf<MalformedCbor>()
    }
})
