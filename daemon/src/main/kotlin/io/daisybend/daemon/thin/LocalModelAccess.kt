/*
 * Sends every request for a model to the engine that ranks first for it, and loads the model there when the engine
 * does not hold it. The first whole path uses it until ownership and decided replicas replace it.
 */
package io.daisybend.daemon.thin

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import com.github.michaelbull.result.mapError
import com.github.michaelbull.result.toResultOr
import io.daisybend.configuration.EndpointKind
import io.daisybend.configuration.EndpointSpec
import io.daisybend.daemon.endpoint.EngineClient
import io.daisybend.daemon.endpoint.EngineFailure
import io.daisybend.daemon.endpoint.EngineOrder
import io.daisybend.daemon.endpoint.EngineOrderKind
import io.daisybend.daemon.request.ConfigurationIndex
import io.daisybend.daemon.request.ConfigurationView
import io.daisybend.daemon.request.EndpointGrant
import io.daisybend.daemon.request.ExecutionStatus
import io.daisybend.daemon.request.ModelAccess
import io.daisybend.daemon.request.ModelRequest
import io.daisybend.daemon.request.RequestFailure
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.Timeline
import io.daisybend.kernel.firstByRendezvous
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import java.util.UUID
import java.util.concurrent.ConcurrentHashMap

internal class LocalModelAccess(
    private val configuration: ConfigurationView,
    private val engines: EngineClient,
    private val timeline: Timeline,
) : ModelAccess {
    private val loading = ConcurrentHashMap<EndpointId, Mutex>()

    override suspend fun acquire(request: ModelRequest): Result<EndpointGrant, RequestFailure> {
        val index = configuration.current()
            ?: return Err(RequestFailure.NotReady("expected a configuration, none is known yet", RETRY_AFTER_MS))
        return index.endpointFor(request).andThen { endpoint ->
            loading.computeIfAbsent(endpoint.endpointId) { Mutex() }.withLock { ensureLoaded(index, request, endpoint) }
                .map { Grant(endpoint) }
        }
    }

    private fun ConfigurationIndex.endpointFor(request: ModelRequest): Result<EndpointSpec, RequestFailure> {
        val engineIds = manifest.endpoints.filter { it.kind == EndpointKind.ENGINE }.map { it.endpointId }
        return firstByRendezvous(request.modelId.value, engineIds)?.let { endpoint(it) }
            .toResultOr { RequestFailure.Overloaded("expected an engine, none is configured", RETRY_AFTER_MS) }
    }

    private suspend fun ensureLoaded(
        index: ConfigurationIndex,
        request: ModelRequest,
        endpoint: EndpointSpec,
    ): Result<Unit, RequestFailure> {
        val state = engines.state(endpoint)
        return state.mapError(::unavailable).andThen { known ->
            val held = known.loaded.map { it.itemId }.toSet()
            val orders = listOfNotNull(modelOrder(index, request), adapterOrder(index, request))
            orders.filter { it.itemId !in held }.fold(Ok(Unit) as Result<Unit, RequestFailure>) { before, order ->
                before.andThen { load(request, endpoint, order) }
            }
        }
    }

    private suspend fun load(
        request: ModelRequest,
        endpoint: EndpointSpec,
        order: EngineOrder,
    ): Result<Unit, RequestFailure> {
        timeline.record("load-ordered", request.requestId, modelId = request.modelId, endpointId = endpoint.endpointId)
        return engines.order(endpoint, order).mapError(::unavailable).map {
            timeline.record("load-done", request.requestId, modelId = request.modelId, endpointId = endpoint.endpointId)
        }
    }

    private fun modelOrder(index: ConfigurationIndex, request: ModelRequest): EngineOrder? =
        index.model(request.modelId)?.let {
            order(EngineOrderKind.LOAD_MODEL, it.modelId.value, it.version, it.weightsBytes)
        }

    private fun adapterOrder(index: ConfigurationIndex, request: ModelRequest): EngineOrder? =
        request.adapterId?.let(index::adapter)?.let {
            order(EngineOrderKind.LOAD_ADAPTER, it.adapterId.value, it.version, it.weightsBytes)
        }

    private fun order(kind: EngineOrderKind, itemId: String, version: String, weightsBytes: Long) =
        EngineOrder(UUID.randomUUID().toString(), fence = 0, kind, itemId, version, weightsBytes)

    private fun unavailable(failure: EngineFailure) =
        RequestFailure.Unavailable(failure.message, ExecutionStatus.NOT_RUN, RETRY_AFTER_MS)

    private class Grant(override val endpoint: EndpointSpec) : EndpointGrant {
        override suspend fun release() = Unit
    }

    private companion object {
        const val RETRY_AFTER_MS = 1_000L
    }
}
