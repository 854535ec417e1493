package io.daisybend.entry

import io.daisybend.entry.standin.Response
import io.daisybend.entry.standin.Site
import io.daisybend.entry.standin.withSite
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlin.system.measureTimeMillis
import kotlin.time.Duration.Companion.seconds

private suspend fun Site.requestColdModel(): Response = connect().prompt("a1:10")

private fun Response.retryAfterS(): Double = head.headers.first { it.name == "Retry-After" }.value.toDouble()

class ColdModelTest : FunSpec({
    // Callers that wait for 1.4 s waited that long for a model whose load from the store takes 6 s.
    test("a request that a load from the weight store would reach too late is refused at once") {
        withSite {
            configure(service = Site.MODEL_SERVICE)
            // Until a VM gives orders, the time of a load is not known.
            eventually(20.seconds) {
                var response: Response? = null
                val tookMs = measureTimeMillis { response = requestColdModel() }
                response!!.status shouldBe 503
                response!!.retryAfterS() shouldBeGreaterThan 5.0
                tookMs shouldBeLessThan 700
            }
            ran.shouldBeEmpty()
        }
    }
})
