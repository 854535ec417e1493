/*
 * Sends the placement decisions to model engines and converts the engines' answers for the placement state machines.
 */
package io.daisybend.daemon.placement

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.mapBoth
import com.github.michaelbull.result.onSuccess
import io.daisybend.configuration.EndpointSpec
import io.daisybend.daemon.endpoint.EngineClient
import io.daisybend.daemon.endpoint.EngineFailure
import io.daisybend.daemon.endpoint.EngineItem
import io.daisybend.daemon.endpoint.EngineOrderAnswer
import io.daisybend.daemon.endpoint.EngineOrderKind
import io.daisybend.daemon.request.ConfigurationView
import io.daisybend.kernel.AdapterId
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.ModelId
import io.daisybend.placement.Artifact
import io.daisybend.placement.EndpointCapacity
import io.daisybend.placement.EngineArtifact
import io.daisybend.placement.EngineOrder
import io.daisybend.placement.EngineState
import io.daisybend.placement.NO_FENCE
import io.daisybend.placement.OrderAnswer
import io.daisybend.placement.OrderKind
import io.daisybend.placement.PlacementLedger
import io.daisybend.placement.RecordId
import io.daisybend.placement.Reservation
import io.daisybend.placement.StateAnswer
import kotlinx.coroutines.withTimeoutOrNull
import io.daisybend.daemon.endpoint.EngineOrder as WireOrder
import io.daisybend.daemon.endpoint.EngineState as WireState

internal fun EndpointSpec.capacity() = EndpointCapacity(memoryBytes, kvCacheBytes, checksFencing)

internal val Artifact.itemId: String get() = adapterId?.value ?: modelId.value

internal class PlacementEngineClient(
    private val client: EngineClient,
    private val configuration: ConfigurationView,
    private val ledger: PlacementLedger,
    private val idleUnloadPolicy: IdleUnloadPolicy,
) {
    /** Raises the engine's fencing number to [raiseFence] unless that is null, then reads the engine's state. */
    suspend fun readState(endpoint: EndpointSpec, raiseFence: Long?): StateAnswer =
        if (raiseFence == null) {
            client.readState(endpoint)
                .onSuccess { idleUnloadPolicy.observe(endpoint.endpointId, it) }
                .mapBoth({ toReportedState(endpoint, it) }, { StateAnswer.NoAnswer })
        } else {
            raiseFenceAndReadState(endpoint, raiseFence)
        }

    /** Sends [order] once; returns [OrderAnswer.NoAnswer] if the engine does not answer within [ORDER_TIMEOUT_MS]. */
    suspend fun sendOrder(endpoint: EndpointSpec, order: EngineOrder): OrderAnswer =
        withTimeoutOrNull(ORDER_TIMEOUT_MS) { client.sendOrder(endpoint, order.toWire()).toOrderAnswer() }
            ?: OrderAnswer.NoAnswer

    private suspend fun raiseFenceAndReadState(endpoint: EndpointSpec, fence: Long): StateAnswer {
        val answer = client.raiseFence(endpoint, fence).get() ?: return StateAnswer.NoAnswer
        if (!answer.done) return StateAnswer.FenceRefused(answer.fence)
        return readState(endpoint, raiseFence = null)
    }

    private fun toReportedState(endpoint: EndpointSpec, state: WireState): StateAnswer {
        val loaded = state.loaded.map { it.toArtifact() }
        val loading = state.loadingOrderIds.mapNotNull { findLoadingArtifact(endpoint.endpointId, RecordId(it)) }
        return StateAnswer.Reported(
            EngineState(
                bootId = state.bootId,
                highestFence = if (endpoint.checksFencing) state.fence else NO_FENCE,
                artifacts = loaded + loading.filter { candidate -> loaded.none { it.artifact == candidate.artifact } },
                receivedOrderIds = (state.completedOrderIds + state.loadingOrderIds).map { RecordId(it) },
            ),
        )
    }

    private fun EngineItem.toArtifact(): EngineArtifact {
        val artifact = if (isAdapter) adapterArtifact() else Artifact(ModelId(itemId), version = version)
        return EngineArtifact(artifact, weightsBytes, orderId = RecordId(orderId))
    }

    private fun EngineItem.adapterArtifact(): Artifact {
        val adapterId = AdapterId(itemId)
        val reservation = ledger.endpoints().flatMap { it.reservations }.find { it.artifact.adapterId == adapterId }
        val modelId = reservation?.artifact?.modelId ?: configuration.current()?.adapter(adapterId)?.modelId
        return Artifact(modelId ?: ModelId(""), adapterId, version)
    }

    private fun findLoadingArtifact(endpointId: EndpointId, orderId: RecordId): EngineArtifact? =
        ledger.endpoint(endpointId)?.reservations
            ?.find { it.hasOrder(orderId) }
            ?.let { EngineArtifact(it.artifact, it.weightsBytes, loading = true, orderId) }

    private fun Reservation.hasOrder(orderId: RecordId) = unsettledOrders.any { it.orderId == orderId }

    private companion object {
        const val ORDER_TIMEOUT_MS = 120_000L
    }
}

private fun EngineOrder.toWire() = WireOrder(
    orderId = orderId.value,
    fence = fencingNumber,
    kind = when (kind) {
        OrderKind.LOAD ->
            if (artifact.adapterId == null) EngineOrderKind.LOAD_MODEL else EngineOrderKind.LOAD_ADAPTER
        OrderKind.UNLOAD ->
            if (artifact.adapterId == null) EngineOrderKind.UNLOAD_MODEL else EngineOrderKind.UNLOAD_ADAPTER
    },
    itemId = artifact.itemId,
    version = artifact.version,
    weightsBytes = weightsBytes,
)

private fun Result<EngineOrderAnswer, EngineFailure>.toOrderAnswer(): OrderAnswer =
    mapBoth(
        success = { if (it.done) OrderAnswer.Accepted else OrderAnswer.Refused(it.refusal.orEmpty()) },
        failure = { if (it is EngineFailure.NotSent) OrderAnswer.NotSent else OrderAnswer.NoAnswer },
    )
