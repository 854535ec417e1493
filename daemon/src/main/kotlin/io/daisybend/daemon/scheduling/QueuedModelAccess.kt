/*
 * Queues each request for a slot of the endpoint that the delegate grants. When the endpoint leaves while the request
 * is queued, the request acquires another endpoint.
 */
package io.daisybend.daemon.scheduling

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.map
import com.github.michaelbull.result.onFailure
import io.daisybend.daemon.request.EndpointGrant
import io.daisybend.daemon.request.ModelAccess
import io.daisybend.daemon.request.ModelRequest
import io.daisybend.daemon.request.RequestFailure
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext

internal class QueuedModelAccess(private val delegate: ModelAccess, private val queues: EndpointQueues) : ModelAccess {
    override suspend fun acquire(request: ModelRequest): Result<EndpointGrant, RequestFailure> {
        var result = acquireOnce(request)
        while (result.getError() is RequestFailure.EndpointLeaving) result = acquireOnce(request)
        return result
    }

    private suspend fun acquireOnce(request: ModelRequest): Result<EndpointGrant, RequestFailure> =
        delegate.acquire(request).andThen { grant -> enterQueue(request, grant) }

    private suspend fun enterQueue(request: ModelRequest, grant: EndpointGrant): Result<EndpointGrant, RequestFailure> =
        try {
            queues.acquireSlot(request, grant.endpoint)
                .map { QueuedGrant(request, grant) }
                .onFailure { grant.release() }
        } catch (cancelled: CancellationException) {
            withContext(NonCancellable) { grant.release() }
            throw cancelled
        }

    private inner class QueuedGrant(private val request: ModelRequest, private val grant: EndpointGrant) :
        EndpointGrant by grant {
        override suspend fun release() {
            queues.releaseSlot(request, endpoint)
            grant.release()
        }
    }
}
