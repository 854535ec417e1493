/*
 * Lets a request run on the endpoint that another access has found only when the endpoint's fair queue gives it a slot.
 * A request whose endpoint leaves while it waits looks for another one.
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

internal class QueuedModelAccess(private val found: ModelAccess, private val queues: EndpointQueues) : ModelAccess {
    override suspend fun acquire(request: ModelRequest): Result<EndpointGrant, RequestFailure> {
        var result = acquireOnce(request)
        while (result.getError() is RequestFailure.EndpointLeaving) result = acquireOnce(request)
        return result
    }

    private suspend fun acquireOnce(request: ModelRequest): Result<EndpointGrant, RequestFailure> =
        found.acquire(request).andThen { grant -> enterQueue(request, grant) }

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
