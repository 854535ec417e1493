/*
 * The steps of a request as interfaces: who asks, what the team may spend, and the dispatch to an endpoint. The gateway
 * knows only these.
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

/** Decides who a caller is. */
public interface CallerAuthenticator {
    /** Returns the caller that [key] belongs to; fails when the key is unknown, withdrawn or cannot be checked. */
    public fun authenticate(key: String): Result<Caller, RequestFailure>

    /** Tells whether this VM may serve at all; fails when its configuration is not confirmed to be the newest. */
    public fun confirmCurrent(): Result<Unit, RequestFailure>

    /** Returns, with the reason, when requests with [keyId] may no longer run. */
    public suspend fun awaitEndOfKey(keyId: KeyId): RequestFailure
}

/** Accounts for the tokens of a team over all VMs. */
public interface RateLimiter {
    /** Reserves [tokens] for [teamId]; fails when the team's rate and burst do not allow them. */
    public suspend fun reserve(teamId: TeamId, tokens: Long): Result<RateReservation, RequestFailure>
}

/** Tokens that a request may use. */
public interface RateReservation {
    /** Returns the reserved tokens beyond [usedTokens]. */
    public suspend fun settle(usedTokens: Long)
}

/** How urgent a request is. */
public enum class Priority { INTERACTIVE, BATCH }

/** A checked request for a model or an adapter; [avoidEndpointId] is left out if another endpoint can serve it. */
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

/** One token of an answer. */
public data class OutputToken(val index: Int, val text: String)

/** The end of a whole answer. */
public data class Completion(val outputTokens: Int, val finishReason: String)

/** Runs model requests on endpoints. */
public interface ModelDispatcher {
    /** Runs [request] and passes each token to [onToken] in order; fails with what is known about its execution. */
    public suspend fun run(
        request: ModelRequest,
        onToken: suspend (OutputToken) -> Unit,
    ): Result<Completion, RequestFailure>
}

/** Permission to run one attempt of a request on [endpoint]. */
public interface EndpointGrant {
    /** Where the attempt runs. */
    public val endpoint: EndpointSpec

    /** Ends the attempt's use of the endpoint. */
    public suspend fun release()
}

/** Finds an endpoint that holds the wanted model, loading it when needed. */
public interface ModelAccess {
    /** Waits until an endpoint can run [request]; fails when that is not possible before its deadline. */
    public suspend fun acquire(request: ModelRequest): Result<EndpointGrant, RequestFailure>
}

/** A checked call to a plain service; [caller] is null on a route that is open to all. */
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

/** The answer of a plain service; [isReplayed] tells that it is the stored answer of an earlier request. */
public data class ServiceResponse(
    val httpStatus: Int,
    val contentType: String?,
    val body: ByteArray,
    val isReplayed: Boolean = false,
    val execution: ExecutionStatus = ExecutionStatus.COMPLETED,
)

/** Runs calls to plain services. */
public interface ServiceDispatcher {
    /** Runs [call]; a call that may not be repeated runs at most once. Fails with what is known about its execution. */
    public suspend fun run(call: ServiceCall): Result<ServiceResponse, RequestFailure>
}

/** Which VMs the callers of a team should use for a model, and for how long. */
public data class ResolvedAddresses(val addresses: List<String>, val lifetimeMs: Long, val vmIds: List<VmId>)

/** Answers which VM to use. */
public interface AddressResolver {
    /** Returns the VMs that callers of [teamId] should use for [modelId], best first. */
    public fun addressesFor(teamId: TeamId?, modelId: ModelId?): ResolvedAddresses
}
