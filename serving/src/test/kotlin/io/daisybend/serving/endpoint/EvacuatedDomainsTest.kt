package io.daisybend.serving.endpoint

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class EvacuatedDomainsTest : FunSpec({
    fun EvacuationFollower.evacuates(domain: String) = domain in current

    test("a record begins and ends an evacuation") {
        val follower = EvacuationFollower()
        follower.onRecord("buda", isEvacuated = true)
        follower.evacuates("buda") shouldBe true
        follower.onRecord("buda", isEvacuated = false)
        follower.current.isEmpty shouldBe true
    }

    // The record that ended the evacuation was written while this VM could not read the store.
    test("a snapshot without the key ends the evacuation") {
        val follower = EvacuationFollower()
        follower.onSnapshot(setOf("buda", "pest"), isRestored = false, nowMs = 0)
        follower.onSnapshot(setOf("pest"), isRestored = false, nowMs = 9_000)
        follower.evacuates("buda") shouldBe false
        follower.evacuates("pest") shouldBe true
    }

    // An older copy of the store lacks the latest evacuations, which the operators still rely on.
    test("an evacuation outlasts a store from an older copy for 30 s, or until a record in the new era") {
        val follower = EvacuationFollower()
        listOf("buda", "pest", "obuda").forEach { follower.onRecord(it, isEvacuated = true) }
        follower.onSnapshot(emptySet(), isRestored = true, nowMs = 1_000)
        // Further snapshots of the same era lack it just as well.
        follower.onSnapshot(emptySet(), isRestored = false, nowMs = 5_000)
        listOf("buda", "pest", "obuda").all { follower.evacuates(it) } shouldBe true
        follower.onRecord("buda", isEvacuated = false)
        follower.onRecord("pest", isEvacuated = true)
        follower.removeOverdue(nowMs = 30_999)
        follower.evacuates("buda") shouldBe false
        follower.evacuates("obuda") shouldBe true
        follower.removeOverdue(nowMs = 31_000)
        follower.evacuates("obuda") shouldBe false
        follower.evacuates("pest") shouldBe true
    }

    test("the set is replaced only when it changes") {
        val follower = EvacuationFollower()
        follower.onRecord("buda", isEvacuated = true)
        val before = follower.current
        follower.onSnapshot(setOf("buda"), isRestored = false, nowMs = 0)
        (follower.current === before) shouldBe true
    }
})
