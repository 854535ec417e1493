package io.daisybend.entry

import io.daisybend.entry.standin.withSite
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlin.system.measureTimeMillis
import kotlin.time.Duration.Companion.seconds

class EvacuationTest : FunSpec({
    // Operators evacuate a failure domain before they cut its power; a request there would be lost.
    test("an evacuated failure domain gets no request until the key is deleted, also when its value is unreadable") {
        withSite(prepare = { endpoints[1].zone = "south" }) {
            configure()
            store.put("keyed.op", "evacuate/south", "no JSON")
            eventually(3.seconds) { metrics() shouldContain "daisybend_evacuated_domains 1.0" }
            endpoints[1].ran.clear()
            repeat(60) { connect().call("GET", "/safe/x").status shouldBe 200 }
            endpoints[1].ran.shouldBeEmpty()
            store.put("keyed.op", "evacuate/south", null)
            eventually(3.seconds) { metrics() shouldContain "daisybend_evacuated_domains 0.0" }
            eventually(3.seconds) {
                endpoints[0].isDraining = true
                endpoints[0].register()
                connect().call("GET", "/safe/x").body shouldContain "e-2"
            }
        }
    }

    test("requests are refused at once when all endpoints of a service are evacuated, also by a VM that starts") {
        withSite(records = { put("keyed.op", "evacuate/north", "{}") }) {
            store.put("keyed.op", "config", configurationOf(1, "\"k1\""))
            eventually(10.seconds) {
                val tookMs = measureTimeMillis { connect().call("GET", "/safe/x").status shouldBe 503 }
                tookMs shouldBeLessThan 500
            }
            ran.shouldBeEmpty()
        }
    }
})
