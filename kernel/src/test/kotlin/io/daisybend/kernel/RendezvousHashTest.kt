package io.daisybend.kernel

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.string
import io.kotest.property.checkAll

class RendezvousHashTest : FunSpec({
    val candidates = (1..9).map { VmId("vm-$it") }

    test("removing a candidate moves only the keys assigned to it") {
        checkAll(PropTestConfig(seed = 7L, iterations = 500), Arb.string(1, 20)) { key ->
            val best = firstByRendezvous(key, candidates)
            val removed = candidates.last()
            val bestAfter = firstByRendezvous(key, candidates - removed)
            if (best != removed) bestAfter shouldBe best
        }
    }

    test("the best candidate is first in the ranking for any order of the candidates") {
        checkAll(PropTestConfig(seed = 8L, iterations = 500), Arb.string(1, 20)) { key ->
            rankByRendezvous(key, candidates.reversed()).first() shouldBe firstByRendezvous(key, candidates)
        }
    }
})
