package io.daisybend.entry

import io.daisybend.entry.standin.Behaviour
import io.daisybend.entry.standin.FakeEndpoint
import io.daisybend.entry.standin.Site
import io.daisybend.entry.standin.withSite
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay

/** Lets [endpoint] refuse one request, on a connection that the VM keeps. */
private suspend fun Site.refuseOnce(endpoint: FakeEndpoint) {
    endpoint.behaviours.add(Behaviour.REJECT)
    while (endpoint.behaviours.isNotEmpty()) connect().call("GET", "/safe/x").status shouldBe 200
}

class RepeatedRefusalTest : FunSpec({
    test("a refusal that an endpoint writes once more is never the response to the next request") {
        listOf(Behaviour.REPEAT_REFUSAL, Behaviour.REPEAT_REFUSAL_UNNAMED).forEach { behaviour ->
            withClue(behaviour) {
                withSite {
                    configure()
                    val faulty = endpoints[0]
                    repeat(4) { index ->
                        refuseOnce(faulty)
                        faulty.behaviours.add(behaviour)
                        while (faulty.behaviours.isNotEmpty()) {
                            endpoints.forEach { it.ran.clear() }
                            val response = connect().call("POST", "/once/x", "number $index")
                            // 502 claims nothing; a request that ran is never said to be not run, and runs once.
                            (response.status == 200 || response.status == 502) shouldBe true
                            if (response.status == 200) response.body.substringAfter(':') shouldBe "number $index"
                            ran shouldHaveSize 1
                        }
                        // An endpoint that failed is not used for a while.
                        delay(600)
                    }
                }
            }
        }
    }

    test("a request that comes again after a pause is not answered by its own refusal, written once more") {
        withSite {
            configure()
            repeat(5) {
                endpoints.forEach {
                    it.ran.clear()
                    it.shedFor = "0.3"
                    it.behaviours.add(Behaviour.SHED)
                    it.behaviours.add(Behaviour.REPEAT_REFUSAL)
                }
                val response = connect().call("POST", "/once/x", "1")
                response.status shouldBe 200
                ran shouldHaveSize 1
                endpoints.forEach { it.behaviours.clear() }
                delay(400)
            }
        }
    }
})
