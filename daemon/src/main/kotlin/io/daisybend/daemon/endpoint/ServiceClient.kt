/*
 * The port to plain services.
 */
package io.daisybend.daemon.endpoint

import com.github.michaelbull.result.Result
import io.daisybend.configuration.EndpointSpec
import io.daisybend.daemon.request.ServiceCall
import io.daisybend.daemon.request.ServiceResponse
import io.daisybend.kernel.Failure

/** Why a plain service did not answer. */
public sealed interface ServiceFailure : Failure {
    /** No byte of the call left this process. */
    public data class NotSent(override val message: String) : ServiceFailure

    /** The connection ended or went silent; the service may have run the call. */
    public data class Broken(override val message: String) : ServiceFailure
}

/** Talks to plain services. */
public interface ServiceClient {
    /** Sends [call] to [endpoint] once, without the caller's key; fails with a [ServiceFailure]. */
    public suspend fun call(endpoint: EndpointSpec, call: ServiceCall): Result<ServiceResponse, ServiceFailure>
}
