package io.daisybend.serving.endpoint

import io.daisybend.serving.residency.engineSpec
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.random.Random

internal fun entry(
    id: String,
    models: Map<String, Set<String>>? = null,
    domain: String = "north",
    bornMs: Long = 1,
    isDraining: Boolean = false,
) =
    EndpointEntry(
        incarnation = Incarnation(id, bornMs),
        service = "s",
        host = "10.0.0.1",
        port = 80,
        failureDomain = domain,
        slots = 6,
        isDraining = isDraining,
        holdings = models?.let { held ->
            EngineHoldings(0, held.mapValues { (name, adapters) -> HeldModel(name, adapters) })
        },
    )

private val idle = EndpointLoad(0, 0, 0)

class EndpointChoiceTest : FunSpec({
    val chooser = EndpointChooser(failureDomain = "north")
    val demand = ModelDemand("m1", null, 1_000, 100, listOf(PromptPart("x", 600), PromptPart("y", 400)))

    fun table(vararg entries: EndpointEntry) = EndpointTable().also { table -> entries.forEach { table.put(it, 0) } }

    fun choose(
        table: EndpointTable,
        demand: ModelDemand,
        load: (Endpoint) -> EndpointLoad = {
            idle
        },
        cached: (Endpoint) -> Int = { 0 },
    ) =
        chooser.chooseEngine(table.ofService("s"), engineSpec, demand, load, cached, nowMs = 0)

    test("only an engine that holds the model and the adapter is chosen") {
        val table = table(entry("a", mapOf("m2" to emptySet())), entry("b", mapOf("m1" to setOf("a1"))))
        (choose(table, demand) as EndpointChoice.Send).endpoint.incarnation.id shouldBe "b"
        choose(table, demand.copy(adapter = "a2")) shouldBe EndpointChoice.NotHeld
        choose(table, demand.copy(model = "m9")) shouldBe EndpointChoice.NotHeld
    }

    test("a draining or ejected endpoint gets no new requests") {
        val draining = table(entry("a", mapOf("m1" to emptySet()), isDraining = true))
        choose(draining, demand) shouldBe EndpointChoice.NoEndpoint
        val ejected = table(entry("a", mapOf("m1" to emptySet())))
        repeat(2) { ejected.onFailure(ejected.find("a")!!, 0) }
        choose(ejected, demand) shouldBe EndpointChoice.NoEndpoint
    }

    test("an engine with cached prompt parts is preferred until its queue costs more") {
        val table = table(entry("a", mapOf("m1" to emptySet())), entry("b", mapOf("m1" to emptySet())))
        val cachedAtB = { endpoint: Endpoint -> if (endpoint.incarnation.id == "b") 1_000_000 else 0 }
        (choose(table, demand, cached = cachedAtB) as EndpointChoice.Send).endpoint.incarnation.id shouldBe "b"
        val busyB = { target: Endpoint -> if (target.incarnation.id == "b") EndpointLoad(3, 2_000_000, 9) else idle }
        (choose(table, demand, busyB, cachedAtB) as EndpointChoice.Send).endpoint.incarnation.id shouldBe "a"
    }

    test("a full engine gets no request while another holder is free, whatever it has cached") {
        val table = table(entry("a", mapOf("m1" to emptySet())), entry("b", mapOf("m1" to emptySet())))
        val cachedAtB = { endpoint: Endpoint -> if (endpoint.incarnation.id == "b") 1_000 else 0 }
        val slow = EndpointLoad(5, 500_000, 9, pace = 5.0)
        val full = listOf(EndpointLoad(6, 0, 0), EndpointLoad(0, 0, 199_000), EndpointLoad(1, 0, 0, waiting = 1.0))
        for (fullB in full) {
            for (random in listOf(null, Random(1))) {
                repeat(20) {
                    val load = { endpoint: Endpoint -> if (endpoint.incarnation.id == "b") fullB else slow }
                    val choice = chooser.chooseEngine(
                        table.ofService("s"),
                        engineSpec,
                        demand,
                        load,
                        cachedAtB,
                        0,
                        random,
                    )
                    (choice as EndpointChoice.Send).endpoint.incarnation.id shouldBe "a"
                }
            }
        }
    }

    test("a plain request prefers its own failure domain until the endpoint there has fewer free slots") {
        val table = table(entry("far", domain = "south"), entry("near"))
        val choice = chooser.choosePlain(table.ofService("s"), { idle }, 0).shouldBeInstanceOf<EndpointChoice.Send>()
        choice.endpoint.incarnation.id shouldBe "near"
        val busy = { endpoint: Endpoint -> if (endpoint.incarnation.id == "near") EndpointLoad(6, 0, 0) else idle }
        (chooser.choosePlain(table.ofService("s"), busy, 0) as EndpointChoice.Send).endpoint.incarnation.id shouldBe
            "far"
    }
})

class EndpointTableTest : FunSpec({
    test("an entry of an earlier incarnation never replaces a later one") {
        val table = EndpointTable()
        table.put(entry("a", bornMs = 5), 0)
        table.put(entry("a", bornMs = 3, isDraining = true), 0)
        table.find("a")!!.entry.isDraining shouldBe false
    }

    test("a later incarnation does not keep the holdings of an earlier one") {
        val table = EndpointTable()
        table.put(entry("a", mapOf("m1" to emptySet())), 0)
        table.announce(Incarnation("a", 1), EngineHoldings(4, emptyMap()), 0)
        table.put(entry("a", mapOf("m2" to emptySet()), bornMs = 2), 10)
        table.find("a")!!.holdings!!.models.keys shouldBe setOf("m2")
    }

    test("an announcement overrides the list until the maximum lag of the list has passed") {
        val table = EndpointTable()
        table.put(entry("a", mapOf("m1" to emptySet())), 0)
        table.announce(Incarnation("a", 1), EngineHoldings(4, mapOf("m3" to HeldModel("m3", emptySet()))), 100)
        table.put(entry("a", mapOf("m1" to emptySet())), 1_000)
        table.find("a")!!.holdings!!.models.keys shouldBe setOf("m3")
        table.put(entry("a", mapOf("m1" to emptySet())), 4_000)
        table.find("a")!!.holdings!!.models.keys shouldBe setOf("m1")
    }
})
