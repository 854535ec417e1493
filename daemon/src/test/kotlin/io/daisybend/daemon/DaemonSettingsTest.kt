package io.daisybend.daemon

import io.daisybend.kernel.settings.renderSettingsPage
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import java.nio.file.Files
import java.nio.file.Path

class DaemonSettingsTest : FunSpec({
    test("the settings page describes the declared keys") {
        Files.readString(Path.of("../docs/SETTINGS.md")) shouldBe renderSettingsPage(DaemonKeys.all)
    }

    test("every key is declared once") {
        DaemonKeys.all.map { it.toString() }.toSet().size shouldBe DaemonKeys.all.size
    }
})
