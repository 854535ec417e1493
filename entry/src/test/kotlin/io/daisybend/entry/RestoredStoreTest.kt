package io.daisybend.entry

import io.daisybend.entry.standin.Behaviour
import io.daisybend.entry.standin.FakeEndpoint
import io.daisybend.entry.standin.Site
import io.daisybend.entry.standin.TestCaller
import io.daisybend.entry.standin.withSite
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlin.time.Duration.Companion.seconds

private const val DUTY_TOPIC = "daisybend.duty"
private const val ENDPOINTS_TOPIC = "keyed.servers"
private const val VMS_TOPIC = "keyed.vms"
private const val ENDS_TOPIC = "keyed.ends"

/** Returns whether a request that the other endpoint rejects reaches [endpoint]. */
private suspend fun Site.isUsed(endpoint: FakeEndpoint): Boolean {
    val other = endpoints.single { it !== endpoint }
    other.behaviours.add(Behaviour.REJECT)
    val status = connect().call("POST", "/once/x", "1").status
    other.behaviours.clear()
    return status == 200
}

class RestoredStoreTest : FunSpec({
    test("the holder of the order duty goes on after the store came back from an older copy") {
        withSite {
            configure()
            eventually(5.seconds) { store.endOf(DUTY_TOPIC) shouldBeGreaterThan 0 }
            val older = store.copy()
            val olderEnd = store.endOf(DUTY_TOPIC)
            eventually(5.seconds) { store.endOf(DUTY_TOPIC) shouldBeGreaterThan olderEnd + 3 }
            store.restore(older)
            eventually(4.seconds) { store.endOf(DUTY_TOPIC) shouldBeGreaterThan olderEnd + 1 }
        }
    }

    test("an endpoint that an older copy of the list lacks stays in use until it is listed again") {
        withSite {
            configure()
            store.put(ENDPOINTS_TOPIC, "e-2", null)
            val older = store.copy()
            endpoints[1].register()
            eventually(5.seconds) { isUsed(endpoints[1]) shouldBe true }
            store.restore(older)
            repeat(8) {
                delay(200)
                isUsed(endpoints[1]) shouldBe true
            }
            endpoints[1].register()
            delay(2_500)
            isUsed(endpoints[1]) shouldBe true
        }
    }

    test("an endpoint that left is not used because an older copy lists it, but it is once it is listed anew") {
        withSite {
            configure()
            val older = store.copy()
            store.put(ENDPOINTS_TOPIC, "e-2", null)
            eventually(5.seconds) { isUsed(endpoints[1]) shouldBe false }
            store.restore(older)
            repeat(10) {
                delay(200)
                isUsed(endpoints[1]) shouldBe false
            }
            endpoints[1].register()
            eventually(5.seconds) { isUsed(endpoints[1]) shouldBe true }
        }
    }

    test("a VM registers again after the store lost its registration") {
        withSite {
            configure()
            eventually(5.seconds) { store.endOf(VMS_TOPIC) shouldBeGreaterThan 0 }
            store.restore(store.copy() - VMS_TOPIC)
            eventually(5.seconds) { store.endOf(VMS_TOPIC) shouldBeGreaterThan 0 }
        }
    }

    test("evidence of a quarantine that the store lost is written again") {
        withSite {
            configure()
            val older = store.copy()
            eventually(20.seconds) {
                connect().runCatching { prompt("dead:100,own-${TestCaller.nextId()}:10") }
                delay(400)
                store.endOf(ENDS_TOPIC) shouldBeGreaterThan 0
            }
            store.restore(older)
            eventually(5.seconds) { store.endOf(ENDS_TOPIC) shouldBeGreaterThan 0 }
        }
    }
})
