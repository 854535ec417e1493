package io.daisybend.placement

import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.FailureDomainId
import io.daisybend.kernel.ModelId
import io.daisybend.kernel.VmId
import io.daisybend.kernel.rankByRendezvous
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import kotlin.random.Random

class EndpointRankingTest : FunSpec({
    val artifact = Artifact(ModelId("model-1"))
    val candidates = (1..6).map { EndpointCandidate(EndpointId("engine-$it"), FailureDomainId("fd-${it % 3}")) }

    fun ledger(): PlacementLedger = PlacementLedger().also { ledger ->
        candidates.forEachIndexed { offset, candidate ->
            val owner = OwnerId(VmId("vm-1"), "run-1")
            val claim = PlacementRecord.Claim(
                RecordId("c$offset"),
                candidate.endpointId,
                owner,
                NO_FENCE,
                EndpointCapacity(memoryBytes = 100),
            )
            ledger.apply(offset.toLong(), claim)
        }
    }

    fun PlacementLedger.load(endpointId: EndpointId, artifact: Artifact, bytes: Long) {
        val fence = checkNotNull(endpoint(endpointId)).fence
        val revision = replicaSet(artifact.replicaKey).revision
        val id = RecordId("l$nextOffset")
        apply(nextOffset, PlacementRecord.DecideLoad(id, endpointId, fence, artifact, bytes, revision)).refusal shouldBe
            null
        val entry = checkNotNull(endpoint(endpointId))
        val seen = PlacementRecord.Observed(
            RecordId("o$nextOffset"),
            endpointId,
            fence,
            entry.lastOffset,
            loaded = listOf(artifact),
            settledOrders = listOf(id),
        )
        apply(nextOffset, seen).refusal shouldBe null
    }

    fun PlacementLedger.chosen(candidates: List<EndpointCandidate>, replicas: Int = 1): EndpointCandidate {
        val choice = chooseEndpoint(artifact, 10, candidates, replicas).shouldBeInstanceOf<PlacementChoice.Load>()
        return candidates.first { it.endpointId == choice.endpointId }
    }

    test("planners with the same inputs in another order choose the same endpoint") {
        ledger().chosen(candidates.reversed()) shouldBe ledger().chosen(candidates)
    }

    test("the choice heads the full ranking of the endpoints that have room") {
        checkAll(PropTestConfig(seed = 5L, iterations = 500), Arb.int()) { seed ->
            val random = Random(seed)
            val ledger = ledger()
            val mixed = candidates.map { it.copy(locality = CheckpointLocality.entries.random(random)) }
            candidates.shuffled(random).take(random.nextInt(6)).forEach {
                ledger.load(it.endpointId, Artifact(ModelId("old-${it.endpointId}")), bytes = 95)
            }
            val roomy = mixed.filter { checkNotNull(ledger.endpoint(it.endpointId)).freeBytes >= 10 }
            val ranked = rankByRendezvous(artifact.replicaKey.toString(), roomy.map { it.endpointId })
                .map { id -> roomy.first { it.endpointId == id } }
                .sortedBy { it.locality }
            ledger.chosen(mixed) shouldBe ranked.first()
        }
    }

    test("a second replica goes to another failure domain") {
        val ledger = ledger()
        val first = ledger.chosen(candidates)
        ledger.load(first.endpointId, artifact, bytes = 10)
        val second = ledger.chosen(candidates, replicas = 2)
        (second.failureDomainId == first.failureDomainId) shouldBe false
    }

    test("a nearer checkpoint goes before the rendezvous rank") {
        val other = (candidates - ledger().chosen(candidates)).first()
        val near = candidates.map {
            if (it.endpointId == other.endpointId) it.copy(locality = CheckpointLocality.MEMORY) else it
        }
        ledger().chosen(near).endpointId shouldBe other.endpointId
    }

    test("the cheapest victim is evicted when no endpoint has room, and never one that must stay") {
        val ledger = ledger()
        candidates.forEachIndexed { index, it -> ledger.load(it.endpointId, Artifact(ModelId("old-$index")), 90) }
        val cost = EvictionCost { _, it -> if (it.modelId.value == "old-3") 1.0 else null }
        ledger.chooseEndpoint(artifact, 20, candidates, evictionCost = cost)
            .shouldBeInstanceOf<PlacementChoice.Evict>().endpointId shouldBe candidates[3].endpointId
        ledger.chooseEndpoint(artifact, 20, candidates) shouldBe PlacementChoice.NoCapacity
    }

    test("nothing is done when enough replicas are decided") {
        val ledger = ledger()
        ledger.load(candidates.first().endpointId, artifact, bytes = 10)
        ledger.chooseEndpoint(artifact, 10, candidates) shouldBe PlacementChoice.EnoughReplicas
        ledger.chooseEndpoint(artifact, 10, candidates, wantedReplicas = 2)
            .shouldBeInstanceOf<PlacementChoice.Load>()
    }
})
