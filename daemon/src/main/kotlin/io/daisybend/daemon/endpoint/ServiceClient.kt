/*
 * The interface to plain services.
 */
package io.daisybend.daemon.endpoint

import com.github.michaelbull.result.Result
import io.daisybend.configuration.EndpointSpec
import io.daisybend.daemon.request.ServiceCall
import io.daisybend.daemon.request.ServiceResponse
import io.daisybend.kernel.Failure

/** The failure of a call to a plain service. */
public sealed interface ServiceFailure : Failure {
    /** No byte of the call was sent, or the service reported that it did not run the call. */
    public data class NotSent(override val message: String) : ServiceFailure

    /** The service gave no complete answer, for example because the connection broke; it may have run the call. */
    public data class OutcomeUnknown(override val message: String) : ServiceFailure
}

/** Calls plain services. */
public interface ServiceClient {
    /** Sends [call] to [endpoint] once, without the caller's key; fails with a [ServiceFailure]. */
    public suspend fun call(endpoint: EndpointSpec, call: ServiceCall): Result<ServiceResponse, ServiceFailure>
}
