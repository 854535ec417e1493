package io.daisybend.entry.exchange

import io.daisybend.serving.duty.DutyOutlook
import io.daisybend.serving.endpoint.EndpointEntry
import io.daisybend.serving.endpoint.EndpointTable
import io.daisybend.serving.endpoint.EngineHoldings
import io.daisybend.serving.endpoint.HeldModel
import io.daisybend.serving.endpoint.Incarnation
import io.daisybend.serving.site.EngineSpec
import io.daisybend.serving.site.ModelSpec
import io.daisybend.serving.site.Service
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

private class KnownFleet(private val outlook: DutyOutlook, private val loads: Map<String, Long> = emptyMap()) :
    FleetView {

    override fun loadedInMs(model: String): Long? = loads[model]

    override fun dutyOutlook(): DutyOutlook = outlook

    override fun vmCount(): Int = 75

    override fun onDemandChanged() = Unit
}

class ModelLoadForecastTest : FunSpec({
    val models = listOf("held", "memory", "disk", "cold").associateWith {
        ModelSpec(it, weightsMb = 70.0, coldLoadMs = 6_000, diskLoadMs = 1_000, memoryLoadMs = 400, adapterMb = 0.1)
    }
    val service = Service("s", maxConnections = 8, EngineSpec(8, 1_000, 200.0, 8, 100.0, 400.0, 2.0, models))
    val held = mapOf("held" to HeldModel("held", emptySet()))
    val holdings = EngineHoldings(1, held, inMemory = setOf("memory"), onDisk = setOf("disk", "memory"))
    val table = EndpointTable().apply {
        put(EndpointEntry(Incarnation("e", 1), "s", "10.0.0.1", 80, "north", 8, isDraining = false, holdings), 0)
    }
    fun expectedMs(outlook: DutyOutlook) =
        models.keys.associateWith { ModelLoadForecast(table, KnownFleet(outlook)).loadedInMs(service, it) }

    // Callers who listen for 5 to 17 s were refused after 150 ms without a time while no VM gave orders.
    test("while no VM holds the duty, a model is expected after the takeover and its fastest load") {
        expectedMs(DutyOutlook.Expected(4_000)) shouldBe
            mapOf("held" to 4_000L, "memory" to 4_400L, "disk" to 5_000L, "cold" to 10_000L)
    }

    test("with a holder, only a load from the weight store has a known time, and without news of one none has") {
        expectedMs(DutyOutlook.Held) shouldBe
            mapOf("held" to null, "memory" to null, "disk" to null, "cold" to 6_000L)
        expectedMs(DutyOutlook.Unknown).values.filterNotNull() shouldBe emptyList()
    }

    test("a load that an engine executes ends without a holder") {
        val fleet = KnownFleet(DutyOutlook.Expected(4_000), mapOf("cold" to 700L))
        ModelLoadForecast(table, fleet).loadedInMs(service, "cold") shouldBe 700
    }
})
