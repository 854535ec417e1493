/*
 * The operators' HTTP interface: health checks and metrics for everybody, and below `/admin` what only operators with
 * the token may do. Parts of the system add their own routes and their part of the status.
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
    /** Adds its routes to [route]. */
    public fun addTo(route: Route)
}

/** One line of the status: [subject] of [kind] and its state. */
@Serializable
public data class StatusLine(val kind: String, val subject: String, val state: String)

/** Reports the state of one part of the system. */
public fun interface StatusSource {
    /** Returns the current lines. */
    public fun status(): List<StatusLine>
}

/** Tells whether this VM can serve. */
public fun interface ReadinessCheck {
    /** Returns null when ready, otherwise why not. */
    public fun notReadyBecause(): String?
}

/** What the operators' interface shows and does. */
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
                get("/readyz") { answerReadiness(call) }
                get("/metrics") { answerMetrics(call) }
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

    fun stop() = server.stop(STOP_MS, STOP_MS)

    private suspend fun answerReadiness(call: ApplicationCall) {
        val leaving = if (context.lifecycle.phase == LifecyclePhase.SERVING) null else "this VM is not serving"
        val reason = leaving ?: context.readinessChecks.firstNotNullOfOrNull { it.notReadyBecause() }
        if (reason == null) {
            call.respondText("ready\n")
        } else {
            call.respondText("$reason\n", status = HttpStatusCode.ServiceUnavailable)
        }
    }

    private suspend fun answerMetrics(call: ApplicationCall) {
        val out = ByteArrayOutputStream()
        val writer = PrometheusTextFormatWriter.create()
        writer.write(out, context.metrics.scrape())
        call.respondBytes(out.toByteArray(), ContentType.parse(writer.contentType))
    }

    private companion object {
        const val STOP_MS = 100L
        val eventList = ListSerializer(TimelineEvent.serializer())
        val statusList = ListSerializer(StatusLine.serializer())
    }
}

/** The encoding of the operators' interface. */
public val adminJson: Json = Json {
    encodeDefaults = true
    explicitNulls = false
}

/** An answer that refuses an operator's command. */
@Serializable
public data class AdminRefusal(val type: String, val message: String)

/** Answers with [body] as JSON. */
public suspend fun <T> ApplicationCall.respondAdmin(
    type: KSerializer<T>,
    body: T,
    status: HttpStatusCode = HttpStatusCode.OK,
): Unit = respondText(adminJson.encodeToString(type, body), ContentType.Application.Json, status)

private fun operatorsOnly(token: String) = createRouteScopedPlugin("OperatorsOnly") {
    onCall { call ->
        val shown = call.request.header(HttpHeaders.Authorization).orEmpty().removePrefix("Bearer ")
        if (!MessageDigest.isEqual(shown.toByteArray(), token.toByteArray())) {
            val refusal = AdminRefusal("not_an_operator", "expected the operators' token, got another or none")
            call.respondAdmin(AdminRefusal.serializer(), refusal, HttpStatusCode.Unauthorized)
        }
    }
}
