/*
 * The callers' HTTP interface: `/v1/chat/completions`, `/v1/completions`, `/v1/models`, `/v1/address` and the plain
 * services below `/services/{route}/`.
 */
package io.daisybend.daemon.gateway

import com.github.michaelbull.result.fold
import io.daisybend.daemon.request.RequestFailure
import io.daisybend.daemon.request.RequestService
import io.daisybend.daemon.request.RouteCall
import io.daisybend.daemon.request.ServiceResponse
import io.daisybend.kernel.MillisClock
import io.daisybend.kernel.RequestId
import io.daisybend.kernel.settings.HostAndPort
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.contentType
import io.ktor.server.request.header
import io.ktor.server.request.httpMethod
import io.ktor.server.response.header
import io.ktor.server.response.respondBytes
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import kotlinx.coroutines.sync.Semaphore

/** A protocol over which callers reach the system. */
public interface CallerInterface {
    /** Starts to accept requests; throws when the address cannot be bound. */
    public fun start()

    /** Stops accepting and ends what is left within [timeoutMs]. */
    public fun stop(timeoutMs: Long)
}

/** What a caller interface needs. */
public class CallerContext(
    public val listen: HostAndPort,
    public val service: RequestService,
    public val limits: GatewayLimits,
    public val clock: MillisClock,
)

internal class HttpGateway(private val context: CallerContext) : CallerInterface {
    private val completions = CompletionRoutes(context.service, context.clock, context.limits)
    private val permits = Semaphore(context.limits.maxConcurrentRequests)
    private val server: EmbeddedServer<*, *> =
        embeddedServer(CIO, port = context.listen.port, host = context.listen.host) { routes() }

    override fun start() {
        server.start(wait = false)
    }

    override fun stop(timeoutMs: Long) = server.stop(gracePeriodMillis = timeoutMs, timeoutMillis = timeoutMs)

    private fun Application.routes() {
        routing {
            post("/v1/chat/completions") { bounded(call) { completions.serve(call, CompletionStyle.CHAT) } }
            post("/v1/completions") { bounded(call) { completions.serve(call, CompletionStyle.TEXT) } }
            get("/v1/models") { listModels(call) }
            get("/v1/address") { answerAddress(call) }
            serviceRoutes()
        }
    }

    private fun Route.serviceRoutes() {
        route("/services/{route}/{path...}") {
            handle { bounded(call) { callService(call) } }
        }
    }

    private suspend fun bounded(call: ApplicationCall, work: suspend () -> Unit) {
        if (!permits.tryAcquire()) {
            val message = "expected at most ${context.limits.maxConcurrentRequests} requests at once, got more"
            call.refuse(call.newRequestId(), RequestFailure.Overloaded(message, RETRY_AFTER_MS))
            return
        }
        try {
            work()
        } finally {
            permits.release()
        }
    }

    private suspend fun listModels(call: ApplicationCall) {
        val requestId = call.newRequestId()
        val key = call.bearerKey()
            ?: return call.refuse(requestId, RequestFailure.Unauthenticated("expected a bearer key, got none"))
        context.service.itemsFor(key).fold(
            success = { items ->
                call.respondJson(
                    HttpStatusCode.OK,
                    ModelList.serializer(),
                    ModelList(
                        data = items.map {
                            ModelEntry(it)
                        },
                    ),
                )
            },
            failure = { call.refuse(requestId, it) },
        )
    }

    private suspend fun answerAddress(call: ApplicationCall) {
        val requestId = call.newRequestId()
        val key = call.bearerKey()
            ?: return call.refuse(requestId, RequestFailure.Unauthenticated("expected a bearer key, got none"))
        context.service.addressesFor(key, call.request.queryParameters["model"]).fold(
            success = { answer ->
                val body = AddressBody(answer.addresses, answer.lifetimeMs)
                call.respondJson(HttpStatusCode.OK, AddressBody.serializer(), body)
            },
            failure = { call.refuse(requestId, it) },
        )
    }

    private suspend fun callService(call: ApplicationCall) {
        val requestId = call.newRequestId()
        val limits = context.limits
        val body = call.readBounded(limits.maxBodyBytes)
            ?: return call.refuse(requestId, RequestFailure.TooLarge(limits.maxBodyBytes))
        val routeCall = RouteCall(
            requestId = requestId,
            key = call.bearerKey(),
            routeName = call.parameters["route"].orEmpty(),
            method = call.request.httpMethod.value,
            path = "/" + call.parameters.getAll("path").orEmpty().joinToString("/"),
            contentType = call.request.contentType().takeIf { it != ContentType.Any }?.toString(),
            body = body,
            idempotencyKey = call.request.header(IDEMPOTENCY_HEADER),
            timeoutMs = call.requestedTimeoutMs(limits),
        )
        context.service.callService(routeCall).fold(
            success = { call.answerService(requestId, it) },
            failure = { call.refuse(requestId, it) },
        )
    }

    private companion object {
        const val RETRY_AFTER_MS = 1_000L
    }
}

private suspend fun ApplicationCall.answerService(requestId: RequestId, answer: ServiceResponse) {
    response.header(REQUEST_ID_HEADER, requestId.value)
    response.header(EXECUTION_HEADER, answer.execution.wireValue)
    if (answer.isReplayed) response.header(REPLAYED_HEADER, "true")
    val contentType = answer.contentType?.let { ContentType.parse(it) }
    respondBytes(answer.body, contentType, HttpStatusCode.fromValue(answer.httpStatus))
}

private const val REPLAYED_HEADER = "Idempotency-Replayed"
