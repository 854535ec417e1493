package io.daisybend.kernel.settings

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.random.Random

class SettingsTest : FunSpec({
    val listen = SettingKey("gateway", "listen", SettingType.HostPort, "address")
    val deadline = SettingKey("gateway", "deadline", SettingType.DurationMs(1, 60_000), "deadline", default = "30s")
    val maxBody = SettingKey("gateway", "max_body", SettingType.SizeBytes(1, 1L shl 30), "body", default = "8MiB")
    val keys = listOf(listen, deadline, maxBody)

    fun failureOf(text: String) = parseSettings("test.ini", text.toByteArray(), keys).getError().shouldNotBeNull()

    test("values are parsed with their units, and defaults apply") {
        val settings = parseSettings("test.ini", "[gateway]\nlisten = 10.0.0.1:80\n".toByteArray(), keys).get()
        settings.shouldNotBeNull()
        settings[listen] shouldBe HostAndPort("10.0.0.1", 80)
        settings[deadline] shouldBe 30_000L
        settings[maxBody] shouldBe (8L shl 20)
    }

    test("an unknown key is reported with its file and line") {
        val failure = failureOf("[gateway]\nlisten = 10.0.0.1:80\nlissten = 1\n")
        failure.shouldBeInstanceOf<SettingsFailure.UnknownKey>().line shouldBe 3
        failure.message shouldContain "test.ini:3"
    }

    test("an unknown section is rejected") {
        failureOf("[gatway]\nlisten = 10.0.0.1:80\n").shouldBeInstanceOf<SettingsFailure.UnknownKey>().line shouldBe 1
    }

    test("a duration without a unit, with a wrong unit or out of range is rejected") {
        for (value in listOf("30", "30KiB", "61s", "-1s", "soon")) {
            val failure = failureOf("[gateway]\nlisten = 10.0.0.1:80\ndeadline = $value\n")
            failure.shouldBeInstanceOf<SettingsFailure.BadValue>().line shouldBe 3
        }
    }

    test("a duplicate key is reported at its second line") {
        val failure = failureOf("[gateway]\nlisten = 10.0.0.1:80\nlisten = 10.0.0.1:81\n")
        failure.shouldBeInstanceOf<SettingsFailure.DuplicateKey>().line shouldBe 3
    }

    test("a missing key without a default is rejected") {
        failureOf("[gateway]\ndeadline = 1s\n").shouldBeInstanceOf<SettingsFailure.MissingKey>()
    }

    test("invalid UTF-8 is reported with its line") {
        val bytes = "[gateway]\nlisten = ".toByteArray() + byteArrayOf(0xC3.toByte(), 0x28)
        val failure = parseSettings("test.ini", bytes, keys).getError()
        failure.shouldBeInstanceOf<SettingsFailure.BadEncoding>().line shouldBe 2
    }

    test("a line without a value is rejected") {
        failureOf("[gateway]\nlisten\n").shouldBeInstanceOf<SettingsFailure.BadSyntax>().line shouldBe 2
    }

    test("random bytes never cause an exception") {
        val random = Random(11)
        repeat(5_000) {
            val bytes = "[gateway]\nlisten = ".toByteArray() + random.nextBytes(random.nextInt(1, 60))
            parseSettings("test.ini", bytes, keys)
        }
    }
})
