/*
 * Finds an endpoint that, according to the ledger, has the requested model and adapter loaded. While there is none,
 * requests a replica; concurrent requests for the same artifact result in one load decision.
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
    private val replicaRequester: ReplicaRequester,
    private val usage: ReplicaUsage,
    private val clock: MillisClock,
) : ModelAccess {
    private class RequiredArtifact(val artifact: Artifact, val weightsBytes: Long)

    override suspend fun acquire(request: ModelRequest): Result<EndpointGrant, RequestFailure> {
        while (clock.nowMs() < request.deadlineMs) {
            val index = configuration.current()
                ?: return Err(RequestFailure.NotReady("expected a configuration, none is known yet", RETRY_AFTER_MS))
            val required = index.requiredArtifacts(request)
                ?: return Err(RequestFailure.NotFound("expected a configured model, got `${request.modelId}`"))
            val observedOffset = runtime.nextOffset.value
            index.findEndpoint(required, request.avoidEndpointId)?.let {
                return Ok(Grant(it, required.map { requirement -> requirement.artifact }))
            }
            index.firstUnavailable(required)?.let { replicaRequester.request(index, it.artifact, it.weightsBytes) }
            awaitLedgerChange(observedOffset, request.deadlineMs)
        }
        return Err(
            RequestFailure.Overloaded("expected `${request.modelId}` loaded before the deadline", RETRY_AFTER_MS),
        )
    }

    private fun ConfigurationIndex.requiredArtifacts(request: ModelRequest): List<RequiredArtifact>? {
        val model = model(request.modelId) ?: return null
        val requiredModel = RequiredArtifact(Artifact(model.modelId, version = model.version), model.weightsBytes)
        val adapterId = request.adapterId ?: return listOf(requiredModel)
        val adapter = adapter(adapterId) ?: return null
        val artifact = Artifact(adapter.modelId, adapter.adapterId, adapter.version)
        return listOf(requiredModel, RequiredArtifact(artifact, adapter.weightsBytes))
    }

    private fun ConfigurationIndex.findEndpoint(
        required: List<RequiredArtifact>,
        avoidEndpointId: EndpointId?,
    ): EndpointSpec? {
        val holders = required
            .map { runtime.ledger.loadedAt(it.artifact).toSet() }
            .reduce { common, loadedAt -> common intersect loadedAt }
            .filter { acceptsNewWork(it) }
        val preferred = holders.filter { it != avoidEndpointId }.ifEmpty { holders }
        return rankByRendezvous(required.last().artifact.itemId, preferred).firstNotNullOfOrNull { endpoint(it) }
    }

    private fun ConfigurationIndex.firstUnavailable(required: List<RequiredArtifact>): RequiredArtifact? =
        required.firstOrNull { runtime.ledger.loadedAt(it.artifact).none(::acceptsNewWork) } ?: required.lastOrNull()

    private suspend fun awaitLedgerChange(observedOffset: Long, deadlineMs: Long) {
        val waitMs = minOf(MAX_CHANGE_WAIT_MS, deadlineMs - clock.nowMs())
        withTimeoutOrNull(waitMs) { runtime.nextOffset.first { it != observedOffset } }
    }

    private inner class Grant(override val endpoint: EndpointSpec, private val artifacts: List<Artifact>) :
        EndpointGrant {
        init {
            artifacts.forEach { usage.onUseStarted(it) }
        }

        override suspend fun release() = artifacts.forEach { usage.onUseEnded(it) }
    }

    private companion object {
        const val RETRY_AFTER_MS = 1_000L
        const val MAX_CHANGE_WAIT_MS = 100L
    }
}
