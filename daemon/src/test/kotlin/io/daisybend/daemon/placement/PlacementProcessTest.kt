package io.daisybend.daemon.placement

import io.daisybend.daemon.TestSite.Companion.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.atomic.AtomicInteger

class PlacementProcessTest : FunSpec({
    listOf(true, false).forEach { checksFencing ->
        val kind = if (checksFencing) "checks" else "ignores"

        test("many cold requests through all VMs lead to one load at an engine that $kind fencing numbers") {
            ProcessSite.run(checksFencing) { site ->
                site.delayLoads(delayMs = 300)
                coroutineScope {
                    val statuses = List(12) { async { site.chat(site.daemons[it % 3], site.models.first()) } }
                    statuses.forEach { it.await() shouldBe 200 }
                }
                site.loadsStarted() shouldBe 1
                site.decidedLoads() shouldBe 1
                site.checkEngine()
            }
        }

        test("a load survives the kill of its owner at an engine that $kind fencing numbers") {
            ProcessSite.run(checksFencing) { site ->
                site.delayLoads(delayMs = 2_000)
                val owner = site.owner()
                val other = site.daemons.first { it != owner }
                coroutineScope {
                    val status = async { site.chat(other, site.models.first()) }
                    eventually { site.loadsStarted() == 1L }
                    owner.kill()
                    status.await() shouldBe 200
                }
                site.owner() shouldNotBe owner
                site.loadsStarted() shouldBe 1
                site.checkEngine()
            }
        }

        test("frozen and resumed owners load nothing undecided at an engine that $kind fencing numbers") {
            ProcessSite.run(checksFencing) { site ->
                val served = AtomicInteger()
                repeat(2) { cycle ->
                    val owner = site.owner()
                    val others = site.daemons - owner
                    coroutineScope {
                        val callers = site.models.mapIndexed { index, modelId ->
                            launch {
                                while (true) {
                                    if (site.chat(others[index % 2], modelId) == 200) served.incrementAndGet()
                                    delay(50)
                                }
                            }
                        }
                        delay(300L + 200 * cycle)
                        owner.freeze()
                        eventually { site.owner() != owner }
                        repeat(20) {
                            site.checkEngine()
                            delay(100)
                        }
                        owner.resume()
                        repeat(20) {
                            site.checkEngine()
                            delay(100)
                        }
                        callers.forEach { it.cancelAndJoin() }
                    }
                }
                served.get() shouldBeGreaterThan 0
                println("engine $kind fencing numbers: ${served.get()} served, ${site.decidedLoads()} loads decided")
            }
        }
    }
})
