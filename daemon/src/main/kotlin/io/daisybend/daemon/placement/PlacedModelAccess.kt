/*
 * Finds an endpoint at which the wanted model and adapter were seen loaded, and asks for replicas while there is none.
 * Any number of waiting requests leads to one decided load.
 */
package io.daisybend.daemon.placement

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.daisybend.configuration.EndpointSpec
import io.daisybend.daemon.request.ConfigurationIndex
import io.daisybend.daemon.request.ConfigurationView
import io.daisybend.daemon.request.EndpointGrant
import io.daisybend.daemon.request.ModelAccess
import io.daisybend.daemon.request.ModelRequest
import io.daisybend.daemon.request.RequestFailure
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.MillisClock
import io.daisybend.kernel.rankByRendezvous
import io.daisybend.placement.Artifact
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull

internal class PlacedModelAccess(
    private val configuration: ConfigurationView,
    private val runtime: PlacementRuntime,
    private val requests: ReplicaRequests,
    private val usage: ReplicaUsage,
    private val clock: MillisClock,
) : ModelAccess {
    private class Wanted(val artifact: Artifact, val weightsBytes: Long)

    override suspend fun acquire(request: ModelRequest): Result<EndpointGrant, RequestFailure> {
        while (clock.nowMs() < request.deadlineMs) {
            val index = configuration.current()
                ?: return Err(RequestFailure.NotReady("expected a configuration, none is known yet", RETRY_AFTER_MS))
            val wanted = index.wantedBy(request)
                ?: return Err(RequestFailure.NotFound("expected a configured model, got `${request.modelId}`"))
            val seenOffset = runtime.nextOffset.value
            index.endpointHolding(wanted, request.avoidEndpointId)?.let {
                return Ok(Grant(it, wanted.map { w -> w.artifact }))
            }
            index.firstMissing(wanted)?.let { requests.want(index, it.artifact, it.weightsBytes) }
            awaitChange(seenOffset, request.deadlineMs)
        }
        return Err(
            RequestFailure.Overloaded("expected `${request.modelId}` loaded before the deadline", RETRY_AFTER_MS),
        )
    }

    private fun ConfigurationIndex.wantedBy(request: ModelRequest): List<Wanted>? {
        val model = model(request.modelId) ?: return null
        val wantedModel = Wanted(Artifact(model.modelId, version = model.version), model.weightsBytes)
        val adapterId = request.adapterId ?: return listOf(wantedModel)
        val adapter = adapter(adapterId) ?: return null
        val artifact = Artifact(adapter.modelId, adapter.adapterId, adapter.version)
        return listOf(wantedModel, Wanted(artifact, adapter.weightsBytes))
    }

    private fun ConfigurationIndex.endpointHolding(wanted: List<Wanted>, avoided: EndpointId?): EndpointSpec? {
        val holders = wanted
            .map { runtime.ledger.loadedAt(it.artifact).toSet() }
            .reduce { all, next -> all intersect next }
            .filter { acceptsNewWork(it) }
        val preferred = holders.filter { it != avoided }.ifEmpty { holders }
        return rankByRendezvous(wanted.last().artifact.itemId, preferred).firstNotNullOfOrNull { endpoint(it) }
    }

    private fun ConfigurationIndex.firstMissing(wanted: List<Wanted>): Wanted? =
        wanted.firstOrNull { runtime.ledger.loadedAt(it.artifact).none(::acceptsNewWork) } ?: wanted.lastOrNull()

    private suspend fun awaitChange(seenOffset: Long, deadlineMs: Long) {
        val waitMs = minOf(MAX_WAIT_MS, deadlineMs - clock.nowMs())
        withTimeoutOrNull(waitMs) { runtime.nextOffset.first { it != seenOffset } }
    }

    private inner class Grant(override val endpoint: EndpointSpec, private val artifacts: List<Artifact>) :
        EndpointGrant {
        init {
            artifacts.forEach { usage.begin(it) }
        }

        override suspend fun release() = artifacts.forEach { usage.end(it) }
    }

    private companion object {
        const val RETRY_AFTER_MS = 1_000L
        const val MAX_WAIT_MS = 100L
    }
}
