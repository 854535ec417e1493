/*
 * Interfaces for the steps of a request: authentication, rate limiting, dispatch to an endpoint and address resolution.
 * [RequestService] depends only on these, not on their implementations.
 */
package io.daisybend.daemon.request

import com.github.michaelbull.result.Result
import io.daisybend.configuration.EndpointSpec
import io.daisybend.configuration.KeyId
import io.daisybend.configuration.RouteSpec
import io.daisybend.kernel.AdapterId
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.ModelId
import io.daisybend.kernel.RequestId
import io.daisybend.kernel.TeamId
import io.daisybend.kernel.VmId

/** The team and key of a request. */
public data class Caller(val teamId: TeamId, val keyId: KeyId)

/** Authenticates callers. */
public interface CallerAuthenticator {
    /** Returns the owner of [key]; fails if the key is unknown or withdrawn, or if it cannot be checked. */
    public fun authenticate(key: String): Result<Caller, RequestFailure>

    /** Checks that this VM may serve requests; fails if its configuration is not confirmed to be up to date. */
    public fun checkConfirmed(): Result<Unit, RequestFailure>

    /** Suspends until requests with [keyId] must be cancelled and returns the failure to report. */
    public suspend fun awaitKeyInvalidation(keyId: KeyId): RequestFailure
}

/** Limits the token rate of each team across all VMs. */
public interface RateLimiter {
    /** Reserves [tokens] for [teamId]; fails if this exceeds the team's rate and burst. */
    public suspend fun reserve(teamId: TeamId, tokens: Long): Result<RateReservation, RequestFailure>
}

/** Tokens reserved for one request. */
public interface RateReservation {
    /** Refunds the reserved tokens in excess of [usedTokens]. */
    public suspend fun settle(usedTokens: Long)
}

/** Scheduling priority of a request. */
public enum class Priority { INTERACTIVE, BATCH }

/** A validated request for a model or adapter. [avoidEndpointId] is used only if no other endpoint can serve it. */
public data class ModelRequest(
    val requestId: RequestId,
    val caller: Caller,
    val modelId: ModelId,
    val adapterId: AdapterId?,
    val prompt: String,
    val promptTokens: Long,
    val maxOutputTokens: Int,
    val priority: Priority,
    val deadlineMs: Long,
    val avoidEndpointId: EndpointId? = null,
)

/** One generated token; [index] is its position in the output. */
public data class OutputToken(val index: Int, val text: String)

/** Summary of a completed generation. */
public data class Completion(val outputTokens: Int, val finishReason: String)

/** Runs model requests on endpoints. */
public interface ModelDispatcher {
    /** Runs [request] and passes each token to [onToken] in order. A failure includes the execution status. */
    public suspend fun run(
        request: ModelRequest,
        onToken: suspend (OutputToken) -> Unit,
    ): Result<Completion, RequestFailure>
}

/** A grant to run one attempt of a request on [endpoint]. */
public interface EndpointGrant {
    /** The endpoint that runs the attempt. */
    public val endpoint: EndpointSpec

    /** Releases the grant after the attempt has ended. */
    public suspend fun release()
}

/** Selects an endpoint that holds the requested model, and has the model loaded if necessary. */
public interface ModelAccess {
    /** Waits until an endpoint can run [request]; fails if none can before its deadline. */
    public suspend fun acquire(request: ModelRequest): Result<EndpointGrant, RequestFailure>
}

/** A validated call to a plain service; [caller] is null if the route is open to all. */
public data class ServiceCall(
    val requestId: RequestId,
    val caller: Caller?,
    val route: RouteSpec,
    val method: String,
    val path: String,
    val contentType: String?,
    val body: ByteArray,
    val idempotencyKey: String?,
    val deadlineMs: Long,
)

/** Response of a plain service; [isReplayed] is true for the stored response of an earlier request. */
public data class ServiceResponse(
    val httpStatus: Int,
    val contentType: String?,
    val body: ByteArray,
    val isReplayed: Boolean = false,
    val execution: ExecutionStatus = ExecutionStatus.COMPLETED,
)

/** Dispatches calls to plain services. */
public interface ServiceDispatcher {
    /** Runs [call], at most once if it is not repeatable. A failure includes the execution status. */
    public suspend fun run(call: ServiceCall): Result<ServiceResponse, RequestFailure>
}

/** The VMs that callers of a team should use for a model; valid for [lifetimeMs]. */
public data class ResolvedAddresses(val addresses: List<String>, val lifetimeMs: Long, val vmIds: List<VmId>)

/** Resolves which VMs callers should use. */
public interface AddressResolver {
    /** Returns the VMs that callers of [teamId] should use for [modelId], in order of preference. */
    public fun addressesFor(teamId: TeamId?, modelId: ModelId?): ResolvedAddresses
}
