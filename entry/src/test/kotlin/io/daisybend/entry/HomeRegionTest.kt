package io.daisybend.entry

import io.daisybend.entry.standin.Site
import io.daisybend.entry.standin.withSite
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

/** Configures routes with the home region [home]. */
private fun Site.configureHome(version: Int, home: String) = store.put(
    "keyed.op",
    "config",
    configurationOf(version, "\"k1\"").replace("\"maxAttempts\":2", "\"maxAttempts\":2,\"homeRegions\":[\"$home\"]"),
)

class HomeRegionTest : FunSpec({
    // The body of a request must not leave its home regions.
    test("requests of a route with a home reach no endpoint elsewhere, and are refused when the home has none") {
        withSite("zones.south=away", prepare = { endpoints[1].zone = "south" }) {
            configureHome(version = 1, home = "home")
            eventually(10.seconds) { connect().call("GET", "/safe/x").status shouldBe 200 }
            repeat(40) { connect().call("POST", "/once/x", "1").status shouldBe 200 }
            endpoints[1].ran.shouldBeEmpty()
            configureHome(version = 2, home = "nowhere")
            eventually(5.seconds) { connect().call("GET", "/safe/x").status shouldBe 503 }
            endpoints[1].ran.shouldBeEmpty()
        }
    }
})
