/*
 * Stand-in for a plain service with calls that may not be repeated: it counts how often it ran each reservation and
 * keeps every header that it saw, so that tests can search them.
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

/** Failures of the plain service stand-in. */
@Serializable
public data class ServiceSwitches(
    val answerDelayMs: Long = 0,
    val refuse: Boolean = false,
)

/** One executed call. */
@Serializable
public data class Execution(val number: Int, val body: String)

/** What the stand-in has executed and seen. */
@Serializable
public data class ServiceRecord(val executions: List<Execution>, val seen: List<String>)

internal class ServiceStandIn {
    private val switches = AtomicReference(ServiceSwitches())
    private val executions = ArrayList<Execution>()
    private val seen = ArrayList<String>()

    fun Application.routes() {
        routing {
            get("/switches") { call.respond(switches.get()) }
            post("/switches") {
                switches.set(standInSwitches(call.receiveText()))
                call.respond(switches.get())
            }
            get("/record") {
                call.respond(synchronized(executions) { ServiceRecord(executions.toList(), seen.toList()) })
            }
            get("/stock") {
                note(call.request.headers.entries().joinToString { "${it.key}=${it.value}" })
                call.respondText("""{"stock":12}""", ContentType.Application.Json)
            }
            post("/reservations") {
                note(call.request.headers.entries().joinToString { "${it.key}=${it.value}" })
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

    private fun note(headers: String) = synchronized(executions) { seen += headers }
}

private fun standInSwitches(text: String): ServiceSwitches =
    standInJson.decodeFromString(ServiceSwitches.serializer(), text)
