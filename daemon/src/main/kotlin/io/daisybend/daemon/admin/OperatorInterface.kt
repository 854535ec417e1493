/*
 * The HTTP interface for operators. Health checks and metrics need no authentication; routes below `/admin` require the
 * operator token. Other components contribute routes and status lines.
 */
package io.daisybend.daemon.admin

import io.daisybend.daemon.lifecycle.Lifecycle
import io.daisybend.daemon.lifecycle.LifecyclePhase
import io.daisybend.kernel.Timeline
import io.daisybend.kernel.TimelineEvent
import io.daisybend.kernel.settings.HostAndPort
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.createRouteScopedPlugin
import io.ktor.server.application.install
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.request.header
import io.ktor.server.response.respondBytes
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.route
import io.ktor.server.routing.routing
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import java.io.ByteArrayOutputStream
import java.security.MessageDigest

/** Adds routes below `/admin`. */
public fun interface OperatorRoutes {
    /** Registers the routes as children of [route]. */
    public fun addTo(route: Route)
}

/** One line of the status report: the state of [subject], which is of type [kind]. */
@Serializable
public data class StatusLine(val kind: String, val subject: String, val state: String)

/** Reports the state of one component. */
public fun interface StatusSource {
    /** Returns the current status lines. */
    public fun status(): List<StatusLine>
}

/** Checks whether this VM can serve requests. */
public fun interface ReadinessCheck {
    /** Returns the reason why this VM is not ready, or null if it is. */
    public fun notReadyReason(): String?
}

/** Settings and dependencies of the operator interface. */
public class OperatorContext(
    public val listen: HostAndPort,
    public val token: String,
    public val timeline: Timeline,
    public val lifecycle: Lifecycle,
    public val metrics: PrometheusRegistry,
    public val routes: List<OperatorRoutes>,
    public val statusSources: List<StatusSource>,
    public val readinessChecks: List<ReadinessCheck>,
)

internal class OperatorInterface(private val context: OperatorContext) {
    private val server: EmbeddedServer<*, *> =
        embeddedServer(CIO, port = context.listen.port, host = context.listen.host) {
            routing {
                get("/healthz") { call.respondText("ok\n") }
                get("/readyz") { respondReadiness(call) }
                get("/metrics") { respondMetrics(call) }
                route("/admin") {
                    install(operatorsOnly(context.token))
                    get("/timeline") { call.respondAdmin(eventList, context.timeline.events()) }
                    get("/status") { call.respondAdmin(statusList, context.statusSources.flatMap { it.status() }) }
                    context.routes.forEach { it.addTo(this) }
                }
            }
        }

    fun start() {
        server.start(wait = false)
    }

    fun stop() = server.stop(STOP_TIMEOUT_MS, STOP_TIMEOUT_MS)

    private suspend fun respondReadiness(call: ApplicationCall) {
        val notServing = if (context.lifecycle.phase == LifecyclePhase.SERVING) null else "this VM is not serving"
        val reason = notServing ?: context.readinessChecks.firstNotNullOfOrNull { it.notReadyReason() }
        if (reason == null) {
            call.respondText("ready\n")
        } else {
            call.respondText("$reason\n", status = HttpStatusCode.ServiceUnavailable)
        }
    }

    private suspend fun respondMetrics(call: ApplicationCall) {
        val out = ByteArrayOutputStream()
        val writer = PrometheusTextFormatWriter.create()
        writer.write(out, context.metrics.scrape())
        call.respondBytes(out.toByteArray(), ContentType.parse(writer.contentType))
    }

    private companion object {
        const val STOP_TIMEOUT_MS = 100L
        val eventList = ListSerializer(TimelineEvent.serializer())
        val statusList = ListSerializer(StatusLine.serializer())
    }
}

/** JSON format of the operator interface. */
public val adminJson: Json = Json {
    encodeDefaults = true
    explicitNulls = false
}

/** Response body of a refused operator request. */
@Serializable
public data class AdminRefusal(val type: String, val message: String)

/** Responds with [body] as JSON. */
public suspend fun <T> ApplicationCall.respondAdmin(
    type: KSerializer<T>,
    body: T,
    status: HttpStatusCode = HttpStatusCode.OK,
): Unit = respondText(adminJson.encodeToString(type, body), ContentType.Application.Json, status)

private fun operatorsOnly(token: String) = createRouteScopedPlugin("OperatorsOnly") {
    onCall { call ->
        val presentedToken = call.request.header(HttpHeaders.Authorization).orEmpty().removePrefix("Bearer ")
        if (!MessageDigest.isEqual(presentedToken.toByteArray(), token.toByteArray())) {
            val refusal = AdminRefusal("not_an_operator", "expected the operators' token, got another or none")
            call.respondAdmin(AdminRefusal.serializer(), refusal, HttpStatusCode.Unauthorized)
        }
    }
}
