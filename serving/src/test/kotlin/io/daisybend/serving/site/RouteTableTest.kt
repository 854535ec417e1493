package io.daisybend.serving.site

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

internal fun route(
    name: String = "r",
    prefix: String = "/a/",
    host: String = "site.example",
    kind: RouteKind = RouteKind.ONCE,
    maxAttempts: Int = 1,
    resumable: Boolean = false,
    shares: List<ServiceShare> = listOf(ServiceShare("s", 1)),
) = Route(
    name = name,
    host = host,
    prefix = prefix,
    kind = kind,
    timeoutMs = 1_000,
    targetLatencyMs = 100,
    priority = 1,
    shares = shares,
    maxAttempts = maxAttempts,
    openToAll = false,
    resumable = resumable,
)

internal fun team(name: String, vararg keys: String, rate: Double = 0.0, burst: Double = 0.0) = Team(
    name = name,
    keys = keys.toList(),
    priority = null,
    countsTokens = true,
    plainTokens = 10,
    ratePerSecond = rate,
    burst = burst,
)

internal fun siteConfiguration(routes: List<Route>, teams: List<Team> = emptyList(), version: Long = 1) =
    SiteConfiguration(version, routes, emptyMap(), teams, CallerLimits(8_192, 1_048_576, 3_000, 15_000))

class RouteTableTest : FunSpec({
    val table = RouteTable(
        siteConfiguration(
            routes = listOf(
                route("short", "/a/"),
                route("long", "/a/b/"),
                route("other", "/a/b/", host = "else.example"),
            ),
            teams = listOf(team("red", "k1", "k2"), team("blue", "k3")),
        ),
    )

    test("the route with the longest matching prefix is found") {
        table.routeFor("site.example", "/a/b/c")?.name shouldBe "long"
        table.routeFor("site.example", "/a/bc")?.name shouldBe "short"
        table.routeFor("SITE.example", "/a/b/")?.name shouldBe "long"
    }

    test("a path that matches no prefix, or an unknown host, has no route") {
        table.routeFor("site.example", "/b/") shouldBe null
        table.routeFor("site.example", "/a") shouldBe null
        table.routeFor("none.example", "/a/") shouldBe null
    }

    test("a key belongs to the team that lists it") {
        table.teamFor("k2")?.name shouldBe "red"
        table.teamFor("k3")?.name shouldBe "blue"
        table.teamFor("k4") shouldBe null
    }

    test("services receive requests by weight, and services without weight receive none") {
        val split = route(shares = listOf(ServiceShare("a", 9), ServiceShare("none", 0), ServiceShare("b", 1)))
        split.serviceFor(0.0) shouldBe "a"
        split.serviceFor(0.89) shouldBe "a"
        split.serviceFor(0.91) shouldBe "b"
        split.serviceFor(1.0) shouldBe "b"
    }

    test("the age is the larger of both clocks, so neither a suspension nor a backward jump reduces it") {
        val then = ClockReading(steadyMs = 1_000, wallMs = 1_000)
        ClockReading(1_010, 6_000).ageOf(then) shouldBe 5_000
        ClockReading(6_000, 500).ageOf(then) shouldBe 5_000
    }
})
