package io.daisybend.transport

import io.daisybend.kernel.VmId
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.random.Random

class FrameTest : FunSpec({
    test("an encoded frame decodes to the same frame") {
        val decoded = decodeFrame(Frame.Call(7, "rates", byteArrayOf(1, 2, 3)).encode())
        decoded.shouldBeInstanceOf<Frame.Call>().payload shouldBe byteArrayOf(1, 2, 3)
    }

    test("corrupted and random bytes decode to a frame or fail with BadFrameException") {
        val random = Random(3)
        val valid = Frame.Hello(VmId("a"), VmId("b"), ByteArray(16)).encode()
        repeat(20_000) {
            val bytes = valid.copyOf().also { it[random.nextInt(it.size)] = random.nextInt().toByte() }
            runCatching { decodeFrame(bytes) }.onFailure { it.shouldBeInstanceOf<BadFrameException>() }
            runCatching { decodeFrame(random.nextBytes(random.nextInt(80))) }
                .onFailure { it.shouldBeInstanceOf<BadFrameException>() }
        }
    }

    test("an empty frame is rejected") {
        shouldThrow<BadFrameException> { decodeFrame(ByteArray(0)) }
    }
})
