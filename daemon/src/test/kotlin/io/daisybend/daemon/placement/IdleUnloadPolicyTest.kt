package io.daisybend.daemon.placement

import io.daisybend.daemon.TestSite
import io.daisybend.daemon.TestSite.Companion.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class IdleUnloadPolicyTest : FunSpec({
    test("the replicas of an idle endpoint are unloaded, and a later request loads them again") {
        TestSite.run(engineCount = 1, extraSettings = "[endpoints]\nmin_idle = 1s") { site ->
            site.chat(site.vms[0], model = "adapter-a").status.value shouldBe 200
            eventually { "\"loaded\":[]" in site.getText(site.engines[0], "/control/state") }
            site.chat(site.vms[0], model = "adapter-a").status.value shouldBe 200
        }
    }
})
