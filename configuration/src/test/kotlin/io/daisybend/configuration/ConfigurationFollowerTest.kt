/*
 * Runs random schedules of a small fleet, and the same schedules with one mechanism replaced by a naive one, for which
 * the checks must fail.
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
        test("no schedule of $vmCount VMs loses, duplicates, reverts or delays an accepted change") {
            checkAll(PropTestConfig(seed = 1L, iterations = VM_SCHEDULES / vmCount), Arb.long()) { seed ->
                FleetSimulation(seed, vmCount).run(STEPS)
            }
        }
    }

    test("the checks detect a VM that serves without confirming its configuration") {
        val naive = Variant(followerSettings = FollowerSettings(freshnessMs = 1_000_000_000))
        isViolated(naive, "serves without accepted|still runs a request") shouldBe true
    }

    test("the checks detect a reader that starts from a partial snapshot") {
        isViolated(Variant(usesPartialSnapshots = true), "differs from a replay") shouldBe true
    }

    test("the checks detect a retry that does not read back the first attempt") {
        isViolated(Variant(retriesAsNewChange = true), "took effect 2 times|was refused but took effect") shouldBe true
    }

    test("the checks detect a success that is reported before most VMs have replayed the record") {
        isViolated(Variant(acceptsWithoutMajority = true), "serves without accepted|still runs a request") shouldBe true
    }
})

private fun isViolated(variant: Variant, messagePattern: String): Boolean {
    val failures = (1L..NAIVE_SCHEDULES).asSequence().mapNotNull { seed ->
        runCatching { FleetSimulation(seed, variant = variant).run(STEPS) }.exceptionOrNull()
    }
    val first = failures.first { it is InvariantViolation }
    println("naive variant violated: ${first.message}")
    return Regex(messagePattern).containsMatchIn(first.message.orEmpty())
}
