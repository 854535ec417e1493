/*
 * Random schedules of a small fleet, and the same schedules with one mechanism replaced by a naive one, which the
 * checks have to catch.
 */
package io.daisybend.configuration

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll

private const val VM_SCHEDULES = 1_500
private const val NAIVE_SCHEDULES = 500
private const val STEPS = 200

class ConfigurationFollowerTest : FunSpec({
    listOf(3, 5, 9, 20).forEach { vmCount ->
        test("no schedule of $vmCount VMs loses, doubles, reverts or delays an accepted change") {
            checkAll(PropTestConfig(seed = 1L, iterations = VM_SCHEDULES / vmCount), Arb.long()) { seed ->
                FleetSimulation(seed, vmCount).run(STEPS)
            }
        }
    }

    test("the checks find a VM that serves without confirming its configuration") {
        val naive = Variant(followerSettings = FollowerSettings(freshnessMs = 1_000_000_000))
        countBroken(naive, "serves without accepted|still runs a request") shouldBe true
    }

    test("the checks find a reader that starts from a partial snapshot") {
        countBroken(Variant(usesPartialSnapshots = true), "differs from a replay") shouldBe true
    }

    test("the checks find a retry that does not read back") {
        countBroken(Variant(retriesAsNewChange = true), "took effect 2 times|told refused, took effect") shouldBe true
    }

    test("the checks find an operator who hears of success before most VMs have replayed the record") {
        countBroken(Variant(acceptsWithoutMajority = true), "serves without accepted|still runs a request") shouldBe
            true
    }
})

private fun countBroken(variant: Variant, message: String): Boolean {
    val failures = (1L..NAIVE_SCHEDULES).asSequence().mapNotNull { seed ->
        runCatching { FleetSimulation(seed, variant = variant).run(STEPS) }.exceptionOrNull()
    }
    val first = failures.first { it is BrokenInvariant }
    println("naive variant broke: ${first.message}")
    return Regex(message).containsMatchIn(first.message.orEmpty())
}
