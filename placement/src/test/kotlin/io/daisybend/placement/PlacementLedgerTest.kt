package io.daisybend.placement

import io.daisybend.kernel.AdapterId
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.ModelId
import io.daisybend.kernel.VmId
import io.daisybend.placement.PlacementRecord.Claim
import io.daisybend.placement.PlacementRecord.DecideLoad
import io.daisybend.placement.PlacementRecord.Observed
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

class PlacementLedgerTest : FunSpec({
    val owner = OwnerId(VmId("vm-1"), "run-1")
    val capacity = EndpointCapacity(memoryBytes = 100, kvCacheBytes = 20)
    val model = Artifact(ModelId("model-1"))
    val adapter = Artifact(ModelId("model-1"), AdapterId("adapter-1"))
    var nextId = 0

    fun nextRecordId() = RecordId("record-${nextId++}")
    fun claim(endpoint: String, expectedFence: Long = NO_FENCE) =
        Claim(nextRecordId(), EndpointId(endpoint), owner, expectedFence, capacity)

    fun decideLoad(endpoint: String, fence: Long, artifact: Artifact, bytes: Long, revision: Long = NO_REVISION) =
        DecideLoad(nextRecordId(), EndpointId(endpoint), fence, artifact, bytes, revision)

    fun PlacementLedger.add(record: PlacementRecord) = apply(nextOffset, record).refusal

    fun observed(ledger: PlacementLedger, endpoint: String, loaded: List<Artifact>): Observed {
        val entry = checkNotNull(ledger.endpoint(EndpointId(endpoint)))
        return Observed(nextRecordId(), entry.endpointId, entry.fence, entry.lastOffset, loaded = loaded)
    }

    test("of two owners that load one model at two endpoints concurrently, one decision is accepted") {
        val ledger = PlacementLedger()
        ledger.add(claim("a"))
        ledger.add(claim("b"))
        ledger.add(decideLoad("a", fence = 0, model, bytes = 30)) shouldBe null
        ledger.add(decideLoad("b", fence = 1, model, bytes = 30)).shouldBeInstanceOf<RecordRefusal.StaleRevision>()
        ledger.replicaSet(model.replicaKey).endpointIds shouldBe listOf(EndpointId("a"))
    }

    test("a decision under a superseded fence is refused") {
        val ledger = PlacementLedger()
        ledger.add(claim("a"))
        ledger.add(claim("a", expectedFence = 0)) shouldBe null
        ledger.add(decideLoad("a", fence = 0, model, bytes = 30)).shouldBeInstanceOf<RecordRefusal.StaleFence>()
    }

    test("a duplicate claim takes effect once") {
        val ledger = PlacementLedger()
        val claim = claim("a")
        ledger.add(claim) shouldBe null
        ledger.add(claim).shouldBeInstanceOf<RecordRefusal.StaleFence>()
        ledger.endpoint(EndpointId("a"))?.fence shouldBe 0
    }

    test("the KV cache, models and adapters share the endpoint's memory") {
        val ledger = PlacementLedger()
        ledger.add(claim("a"))
        ledger.add(decideLoad("a", fence = 0, model, bytes = 75)) shouldBe null
        ledger.add(observed(ledger, "a", loaded = listOf(model))) shouldBe null
        ledger.add(decideLoad("a", fence = 0, adapter, bytes = 6)) shouldBe
            RecordRefusal.MemoryExceeded(EndpointId("a"), neededBytes = 6, freeBytes = 5)
        ledger.add(decideLoad("a", fence = 0, adapter, bytes = 5)) shouldBe null
    }

    test("a load of an adapter is accepted only where its model is loaded") {
        val ledger = PlacementLedger()
        ledger.add(claim("a"))
        ledger.add(decideLoad("a", fence = 0, model, bytes = 30))
        ledger.add(decideLoad("a", fence = 0, adapter, bytes = 5)).shouldBeInstanceOf<RecordRefusal.ModelNotLoaded>()
    }

    test("memory stays reserved while an engine that ignores fencing numbers may still receive the order") {
        val ledger = PlacementLedger()
        ledger.add(claim("a"))
        ledger.add(decideLoad("a", fence = 0, model, bytes = 30))
        ledger.add(claim("a", expectedFence = 0))
        ledger.add(observed(ledger, "a", loaded = emptyList()).copy(absent = listOf(model))) shouldBe null
        val entry = checkNotNull(ledger.endpoint(EndpointId("a")))
        entry.reservationOf(model)?.phase shouldBe ReservationPhase.HELD
        entry.freeBytes shouldBe 50
    }

    test("an observation that was read before the last record is refused") {
        val ledger = PlacementLedger()
        ledger.add(claim("a"))
        val staleObservation = observed(ledger, "a", loaded = emptyList()).copy(absent = listOf(model))
        ledger.add(decideLoad("a", fence = 0, model, bytes = 30))
        ledger.add(staleObservation).shouldBeInstanceOf<RecordRefusal.StaleObservation>()
    }

    test("a new version is loaded while the old version stays loaded") {
        val ledger = PlacementLedger()
        val newVersion = model.copy(version = "2")
        ledger.add(claim("a"))
        ledger.add(decideLoad("a", fence = 0, model, bytes = 30))
        ledger.add(observed(ledger, "a", loaded = listOf(model)))
        ledger.add(decideLoad("a", fence = 0, newVersion, bytes = 30, revision = 1)) shouldBe null
        ledger.add(observed(ledger, "a", loaded = listOf(newVersion))) shouldBe null
        ledger.loadedAt(model) shouldBe listOf(EndpointId("a"))
        ledger.loadedAt(newVersion) shouldBe listOf(EndpointId("a"))
    }
})
