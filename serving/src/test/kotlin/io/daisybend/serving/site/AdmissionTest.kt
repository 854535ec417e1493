package io.daisybend.serving.site

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class AdmissionTest : FunSpec({
    val freshness = FreshnessSettings(maxKeyAgeMs = 4_800, maxDenialAgeMs = 1_900)
    val configuration = siteConfiguration(
        routes = listOf(
            route("keyed"),
            route("open", "/open/").copy(openToAll = true),
            route("empty", "/none/", shares = emptyList()),
        ),
        teams = listOf(team("red", "k1")),
    ).copy(services = mapOf("s" to Service("s", 10, null)))
    val table = RouteTable(configuration)

    fun admit(path: String, key: String?, ageMs: Long = 0) =
        table.admit(Credentials("site.example", path, key), freshness, ageMs, draw = 0.5)

    test("a request is admitted for the team that holds its key") {
        admit("/a/", "k1").get()?.team?.name shouldBe "red"
        admit("/a/", "k2").getError() shouldBe AdmissionRefusal.UnknownKey
        admit("/a/", null).getError() shouldBe AdmissionRefusal.UnknownKey
    }

    test("a route open to all needs no key, however old the configuration is") {
        admit("/open/", null, ageMs = 60_000).get()?.team shouldBe null
        admit("/open/", null, ageMs = 60_000).get()?.route?.name shouldBe "open"
    }

    test("keys fail closed when the configuration was not confirmed within the limit") {
        admit("/a/", "k1", ageMs = 4_800).get()?.team?.name shouldBe "red"
        admit("/a/", "k1", ageMs = 4_801).getError() shouldBe AdmissionRefusal.Unconfirmed(4_801)
    }

    test("an unknown key or route is denied only while the configuration was confirmed recently") {
        admit("/b/", "k1", ageMs = 1_900).getError() shouldBe AdmissionRefusal.UnknownRoute
        admit("/b/", "k1", ageMs = 1_901).getError() shouldBe AdmissionRefusal.Unconfirmed(1_901)
        admit("/a/", "k2", ageMs = 1_901).getError() shouldBe AdmissionRefusal.Unconfirmed(1_901)
    }

    test("no request is admitted without a configuration or without a service of the route") {
        val none: RouteTable? = null
        none.admit(Credentials("site.example", "/a/", "k1"), freshness, 0, 0.5).getError() shouldBe
            AdmissionRefusal.NoConfiguration
        admit("/none/", "k1").getError() shouldBe AdmissionRefusal.NoService
    }
})
