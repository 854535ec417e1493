package io.daisybend.entry

import io.daisybend.entry.standin.withSite
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import kotlin.time.Duration.Companion.seconds

private const val DUTY_TOPIC = "daisybend.duty"

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
})
