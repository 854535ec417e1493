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

    fun PlacementLedger.loadReplica(endpointId: EndpointId, artifact: Artifact, bytes: Long) {
        val fence = checkNotNull(endpoint(endpointId)).fence
        val revision = replicaSet(artifact.replicaKey).revision
        val id = RecordId("l$nextOffset")
        apply(nextOffset, PlacementRecord.DecideLoad(id, endpointId, fence, artifact, bytes, revision)).refusal shouldBe
            null
        val entry = checkNotNull(endpoint(endpointId))
        val observed = PlacementRecord.Observed(
            RecordId("o$nextOffset"),
            endpointId,
            fence,
            entry.lastOffset,
            loaded = listOf(artifact),
            settledOrders = listOf(id),
        )
        apply(nextOffset, observed).refusal shouldBe null
    }

    fun PlacementLedger.chooseOne(candidates: List<EndpointCandidate>, replicas: Int = 1): EndpointCandidate {
        val choice = chooseEndpoint(artifact, 10, candidates, replicas).shouldBeInstanceOf<PlacementChoice.Load>()
        return candidates.first { it.endpointId == choice.endpointId }
    }

    test("planners with the same candidates in another order choose the same endpoint") {
        ledger().chooseOne(candidates.reversed()) shouldBe ledger().chooseOne(candidates)
    }

    test("the chosen endpoint is the first of the full ranking of endpoints with enough memory") {
        checkAll(PropTestConfig(seed = 5L, iterations = 500), Arb.int()) { seed ->
            val random = Random(seed)
            val ledger = ledger()
            val mixedCandidates = candidates.map { it.copy(locality = CheckpointLocality.entries.random(random)) }
            candidates.shuffled(random).take(random.nextInt(6)).forEach {
                ledger.loadReplica(it.endpointId, Artifact(ModelId("old-${it.endpointId}")), bytes = 95)
            }
            val withCapacity = mixedCandidates.filter { checkNotNull(ledger.endpoint(it.endpointId)).freeBytes >= 10 }
            val expectedRanking = rankByRendezvous(artifact.replicaKey.toString(), withCapacity.map { it.endpointId })
                .map { endpointId -> withCapacity.first { it.endpointId == endpointId } }
                .sortedBy { it.locality }
            ledger.chooseOne(mixedCandidates) shouldBe expectedRanking.first()
        }
    }

    test("a second replica goes to another failure domain") {
        val ledger = ledger()
        val first = ledger.chooseOne(candidates)
        ledger.loadReplica(first.endpointId, artifact, bytes = 10)
        val second = ledger.chooseOne(candidates, replicas = 2)
        (second.failureDomainId == first.failureDomainId) shouldBe false
    }

    test("a nearer checkpoint takes precedence over the rendezvous rank") {
        val other = (candidates - ledger().chooseOne(candidates)).first()
        val nearCandidates = candidates.map {
            if (it.endpointId == other.endpointId) it.copy(locality = CheckpointLocality.MEMORY) else it
        }
        ledger().chooseOne(nearCandidates).endpointId shouldBe other.endpointId
    }

    test("if no endpoint has enough memory, the cheapest artifact is evicted and never one that must stay") {
        val ledger = ledger()
        candidates.forEachIndexed { index, candidate ->
            ledger.loadReplica(candidate.endpointId, Artifact(ModelId("old-$index")), 90)
        }
        val cost = EvictionCost { _, loaded -> if (loaded.modelId.value == "old-3") 1.0 else null }
        ledger.chooseEndpoint(artifact, 20, candidates, evictionCost = cost)
            .shouldBeInstanceOf<PlacementChoice.Evict>().endpointId shouldBe candidates[3].endpointId
        ledger.chooseEndpoint(artifact, 20, candidates) shouldBe PlacementChoice.NoCapacity
    }

    test("no load is requested if enough replicas are decided") {
        val ledger = ledger()
        ledger.loadReplica(candidates.first().endpointId, artifact, bytes = 10)
        ledger.chooseEndpoint(artifact, 10, candidates) shouldBe PlacementChoice.EnoughReplicas
        ledger.chooseEndpoint(artifact, 10, candidates, wantedReplicas = 2)
            .shouldBeInstanceOf<PlacementChoice.Load>()
    }
})
