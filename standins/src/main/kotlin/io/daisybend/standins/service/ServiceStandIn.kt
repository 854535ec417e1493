/*
 * Stand-in for a plain service with a non-idempotent call, POST /reservations. It records each execution and the
 * headers of each call, so that tests can check how often a call ran and which headers reached the service.
 */
package io.daisybend.standins.service

import io.daisybend.standins.standInJson
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.request.receiveText
import io.ktor.server.response.respond
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.routing
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import java.util.concurrent.atomic.AtomicReference

/** Injected faults of the plain service stand-in. */
@Serializable
public data class ServiceSwitches(
    val answerDelayMs: Long = 0,
    val refuse: Boolean = false,
)

/** Executed call; [number] counts executions from one. */
@Serializable
public data class Execution(val number: Int, val body: String)

/** Executed calls, and the headers of all received calls. */
@Serializable
public data class ServiceRecord(val executions: List<Execution>, val seen: List<String>)

internal class ServiceStandIn {
    private val switches = AtomicReference(ServiceSwitches())
    private val executions = ArrayList<Execution>()
    private val receivedHeaders = ArrayList<String>()

    fun Application.routes() {
        routing {
            get("/switches") { call.respond(switches.get()) }
            post("/switches") {
                switches.set(parseSwitches(call.receiveText()))
                call.respond(switches.get())
            }
            get("/record") {
                call.respond(synchronized(executions) { ServiceRecord(executions.toList(), receivedHeaders.toList()) })
            }
            get("/stock") {
                recordHeaders(call.request.headers.entries().joinToString { "${it.key}=${it.value}" })
                call.respondText("""{"stock":12}""", ContentType.Application.Json)
            }
            post("/reservations") {
                recordHeaders(call.request.headers.entries().joinToString { "${it.key}=${it.value}" })
                if (switches.get().refuse) {
                    call.respond(HttpStatusCode.ServiceUnavailable)
                } else {
                    val execution = execute(call.receiveText())
                    delay(switches.get().answerDelayMs)
                    call.respond(HttpStatusCode.Created, execution)
                }
            }
        }
    }

    private fun execute(body: String): Execution = synchronized(executions) {
        Execution(executions.size + 1, body).also { executions += it }
    }

    private fun recordHeaders(headers: String) = synchronized(executions) { receivedHeaders += headers }
}

private fun parseSwitches(text: String): ServiceSwitches =
    standInJson.decodeFromString(ServiceSwitches.serializer(), text)
