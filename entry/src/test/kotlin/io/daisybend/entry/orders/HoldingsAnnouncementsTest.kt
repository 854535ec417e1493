package io.daisybend.entry.orders

import io.daisybend.entry.peers.HoldingsReport
import io.daisybend.entry.peers.LoadReport
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe

private fun report(loading: String?, orderCount: Long = 1) =
    HoldingsReport("engine-1", bornMs = 1, orderCount, models = emptyMap(), loading, loadedInMs = 0)

class HoldingsAnnouncementsTest : FunSpec({
    // Peers took a slow load for lost three seconds after its expected end and refused its callers.
    test("a load that takes longer than expected is announced in each report until it has ended") {
        val announcements = HoldingsAnnouncements()
        announcements.announce(report("m1"), loadedAtMs = 8_000, nowMs = 0)
        announcements.reports(changedSinceMs = 5_000, nowMs = 7_000).shouldBeEmpty()
        announcements.reports(changedSinceMs = 8_000, nowMs = 10_000).single().loadedInMs shouldBe 2_000
        announcements.reports(changedSinceMs = 18_000, nowMs = 20_000).single().loadedInMs shouldBe 12_000
        announcements.announce(report(null, orderCount = 2), loadedAtMs = 21_000, nowMs = 21_000)
        announcements.reports(changedSinceMs = 22_000, nowMs = 23_000).shouldBeEmpty()
        announcements.loadedInMs("m1", nowMs = 23_000) shouldBe null
    }

    // A successor must count a load in the window in which it began, however late the announcement is repeated.
    test("a load is announced with the time since its start, which grows until it has ended") {
        val announcements = HoldingsAnnouncements()
        val loading = report("m1").copy(load = LoadReport(agoMs = 0, fromStore = true))
        announcements.announce(loading, loadedAtMs = 8_000, nowMs = 1_000, loadStartedAtMs = 900) shouldBe true
        announcements.announce(loading, loadedAtMs = 8_000, nowMs = 2_000, loadStartedAtMs = 900) shouldBe false
        announcements.reports(changedSinceMs = 0, nowMs = 2_000).single().load?.agoMs shouldBe 1_100
        announcements.reports(changedSinceMs = null, nowMs = 7_000).single().load?.agoMs shouldBe 6_100
    }

    test("a changed end of a load is announced, and the same holdings are not announced twice") {
        val announcements = HoldingsAnnouncements()
        announcements.announce(report("m1"), loadedAtMs = 8_000, nowMs = 0) shouldBe true
        announcements.announce(report("m1"), loadedAtMs = 8_200, nowMs = 1_000) shouldBe false
        announcements.announce(report("m1"), loadedAtMs = 12_000, nowMs = 2_000) shouldBe true
        announcements.loadedInMs("m1", nowMs = 2_000) shouldBe 10_000
    }

    test("a new peer learns of changed holdings for some time and of loads until they end") {
        val announcements = HoldingsAnnouncements()
        announcements.announce(report(null), loadedAtMs = 0, nowMs = 0)
        announcements.reports(changedSinceMs = null, nowMs = 2_000) shouldHaveSize 1
        announcements.reports(changedSinceMs = null, nowMs = 4_000).shouldBeEmpty()
        announcements.announce(report("m1", orderCount = 2), loadedAtMs = 12_000, nowMs = 4_000)
        announcements.reports(changedSinceMs = null, nowMs = 9_000) shouldHaveSize 1
    }
})
