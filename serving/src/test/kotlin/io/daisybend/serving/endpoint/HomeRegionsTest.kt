package io.daisybend.serving.endpoint

import io.daisybend.serving.directory.DirectoryCaller
import io.daisybend.serving.directory.DirectoryChoice
import io.daisybend.serving.directory.DirectoryScope
import io.daisybend.serving.directory.ListedVm
import io.daisybend.serving.directory.chooseListed
import io.daisybend.serving.site.CallerLimits
import io.daisybend.serving.site.Route
import io.daisybend.serving.site.RouteKind
import io.daisybend.serving.site.RouteTable
import io.daisybend.serving.site.SiteConfiguration
import io.daisybend.serving.site.Team
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe

private fun route(prefix: String, homes: Set<String>) = Route(
    name = prefix,
    host = "a.example",
    prefix = prefix,
    kind = RouteKind.IDEMPOTENT,
    timeoutMs = 1_000,
    targetLatencyMs = 100,
    priority = 1,
    shares = emptyList(),
    maxAttempts = 1,
    openToAll = true,
    resumable = false,
    homeRegions = homes,
)

private fun team(homes: Set<String>) = Team("t", emptyList(), null, false, 1, 0.0, 0.0, homes)

class HomeRegionsTest : FunSpec({
    val regions = HomeRegions("buda", "hu", mapOf("wien" to "at"))

    test("both bind where the route and the team have homes") {
        homesOf(route("/", emptySet()), team(emptySet())) shouldBe null
        homesOf(route("/", setOf("hu")), null) shouldBe setOf("hu")
        homesOf(route("/", emptySet()), team(setOf("at"))) shouldBe setOf("at")
        homesOf(route("/", setOf("hu", "at")), team(setOf("at", "de"))) shouldBe setOf("at")
        homesOf(route("/", setOf("hu")), team(setOf("at"))) shouldBe emptySet()
    }

    test("a failure domain whose region is unknown is in no home, and the VM's own is in the VM's region") {
        regions.allows(setOf("hu"), "buda") shouldBe true
        regions.allows(setOf("hu"), "wien") shouldBe false
        regions.allows(setOf("hu"), "graz") shouldBe false
        regions.allows(null, "graz") shouldBe true
        regions.allows(emptySet(), "buda") shouldBe false
    }

    // A copy of the data in another region is what operators forbid with homes.
    test("only endpoints of the homes that are not evacuated are allowed") {
        val table = EndpointTable()
        listOf("buda", "wien", "graz").forEach { table.put(entry(it, domain = it), 0) }
        val brittle = BrittleEngines("vm-1", table::ofService, { 0 })
        var evacuated = EvacuatedDomains()
        val eligibility = EndpointEligibility(ColdEngines("vm-1"), brittle, regions) { evacuated }
        fun allowed(homes: Set<String>?) = eligibility.allowed(table.ofService("s"), homes).map { it.incarnation.id }
        allowed(null) shouldBe listOf("buda", "wien", "graz")
        allowed(setOf("at")) shouldBe listOf("wien")
        evacuated = EvacuatedDomains(setOf("wien"))
        allowed(null) shouldBe listOf("buda", "graz")
        allowed(setOf("at")).shouldBeEmpty()
    }

    test("the directory names VMs in the caller's region, then in homes of all routes of the host, then others") {
        val routes = listOf(route("/x/", setOf("hu", "at")), route("/y/", setOf("at")), route("/z/", emptySet()))
        val table = RouteTable(SiteConfiguration(1, routes, emptyMap(), emptyList(), CallerLimits(1, 1, 1, 1)))
        table.homesOfHost("A.example") shouldBe setOf("at")
        table.homesOfHost("b.example") shouldBe null
        fun choose(homes: Set<String>?, region: String?, vararg vms: Pair<String, String?>) = chooseListed(
            vms.map { (vm, vmRegion) -> ListedVm(vm, "zone-$vm", vmRegion) },
            DirectoryCaller("zone-a", region),
            homes,
        )
        val vms = arrayOf("a" to "hu", "b" to "at", "c" to "de", "d" to null)
        choose(null, "hu", *vms) shouldBe DirectoryChoice(listOf("a", "b", "c", "d"), DirectoryScope.ANY)
        choose(setOf("at"), "hu", *vms) shouldBe DirectoryChoice(listOf("a"), DirectoryScope.CALLER_REGION)
        choose(setOf("at"), null, *vms) shouldBe DirectoryChoice(listOf("b"), DirectoryScope.HOME_REGIONS)
        choose(setOf("fr"), "es", *vms) shouldBe
            DirectoryChoice(listOf("a", "b", "c", "d"), DirectoryScope.ELSEWHERE)
    }

    test("the directory prefers the caller's failure domain if it has two VMs") {
        val vms = listOf("a" to "x", "b" to "x", "c" to "y").map { (vm, zone) -> ListedVm(vm, zone, null) }
        chooseListed(vms, DirectoryCaller("x", null), homes = null).vms shouldBe listOf("a", "b")
        chooseListed(vms, DirectoryCaller("y", null), homes = null).vms shouldBe listOf("a", "b", "c")
    }
})
