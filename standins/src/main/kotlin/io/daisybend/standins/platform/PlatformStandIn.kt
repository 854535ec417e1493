/*
 * Stand-in for the platform: the log, the list of VMs and the weight store, with fault injection. A change to the list
 * becomes visible after `listLagMs`; a VM that has not been refreshed for `vmExpiryMs` is removed from the list.
 */
package io.daisybend.standins.platform

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.receive
import io.ktor.server.response.respond
import io.ktor.server.routing.Route
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.put
import io.ktor.server.routing.routing
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject
import java.util.Base64
import java.util.concurrent.atomic.AtomicReference

/** Injected faults and limits of the platform stand-in. */
@Serializable
public data class PlatformSwitches(
    val logDown: Boolean = false,
    val logDelayMs: Long = 0,
    val loseAppendAnswers: Int = 0,
    val retentionRecords: Int = 1_000_000,
    val listDown: Boolean = false,
    val listLagMs: Long = 0,
    val vmExpiryMs: Long = 30_000,
    val storeLoadsPerSecond: Double = 1.6,
    val storeFullSpeedLoads: Int = 4,
    val storeFullSpeedAdapters: Int = 32,
    val modelLoadMs: Long = 500,
    val adapterLoadMs: Long = 8,
)

/** Error response of the platform stand-in; [firstOffset] is set if the requested records have expired. */
@Serializable
public data class PlatformRefusal(val reason: String, val firstOffset: Long? = null)

internal class PlatformStandIn {
    private val log = LogStore()
    private val vms = VmList()
    private val weights = WeightStore()
    private val switches = AtomicReference(PlatformSwitches())

    fun Application.routes() {
        routing {
            get("/switches") { call.respond(switches.get()) }
            post("/switches") {
                switches.set(call.receive())
                call.respond(switches.get())
            }
            logRoutes()
            listRoutes()
            get("/weights/models/{id}") {
                weights.fetchModel(switches.get())
                call.respond(HttpStatusCode.NoContent)
            }
            get("/weights/adapters/{id}") {
                weights.fetchAdapter(switches.get())
                call.respond(HttpStatusCode.NoContent)
            }
        }
    }

    private fun Route.logRoutes() {
        post("/log/{stream}") { append(call) }
        get("/log/{stream}") { read(call) }
    }

    private suspend fun append(call: ApplicationCall) {
        if (!admitLogRequest(call)) return
        val payload = Base64.getEncoder().encodeToString(call.receive<ByteArray>())
        val offset = log.append(call.streamName(), payload, switches.get().retentionRecords)
        if (shouldDropResponse()) {
            call.respond(HttpStatusCode.GatewayTimeout, PlatformRefusal("answer lost"))
        } else {
            call.respond(WireAppended(offset))
        }
    }

    private suspend fun read(call: ApplicationCall) {
        if (!admitLogRequest(call)) return
        val from = call.longParameter("from", 0)
        val deadlineMs = System.currentTimeMillis() + call.longParameter("waitMs", 0)
        var batch = log.read(call.streamName(), from, call.longParameter("max", DEFAULT_MAX_RECORDS).toInt())
        while (batch.records.isEmpty() && from >= batch.nextOffset && System.currentTimeMillis() < deadlineMs) {
            delay(POLL_INTERVAL_MS)
            batch = log.read(call.streamName(), from, call.longParameter("max", DEFAULT_MAX_RECORDS).toInt())
        }
        if (from < batch.firstOffset) {
            call.respond(HttpStatusCode.Gone, PlatformRefusal("expired", batch.firstOffset))
        } else {
            call.respond(batch)
        }
    }

    private suspend fun admitLogRequest(call: ApplicationCall): Boolean {
        delay(switches.get().logDelayMs)
        if (!switches.get().logDown) return true
        call.respond(HttpStatusCode.ServiceUnavailable, PlatformRefusal("log is down"))
        return false
    }

    private fun shouldDropResponse(): Boolean {
        val before = switches.getAndUpdate { it.copy(loseAppendAnswers = maxOf(0, it.loseAppendAnswers - 1)) }
        return before.loseAppendAnswers > 0
    }

    private fun Route.listRoutes() {
        get("/vms") {
            if (switches.get().listDown) {
                call.respond(HttpStatusCode.ServiceUnavailable, PlatformRefusal("list is down"))
            } else {
                call.respond(vms.visible(switches.get().listLagMs, switches.get().vmExpiryMs))
            }
        }
        put("/vms/{id}") {
            if (switches.get().listDown) {
                call.respond(HttpStatusCode.ServiceUnavailable, PlatformRefusal("list is down"))
            } else {
                vms.put(call.parameters["id"].orEmpty(), call.receive<JsonObject>())
                call.respond(HttpStatusCode.NoContent)
            }
        }
        delete("/vms/{id}") {
            vms.remove(call.parameters["id"].orEmpty())
            call.respond(HttpStatusCode.NoContent)
        }
    }

    private companion object {
        const val DEFAULT_MAX_RECORDS = 1_000L
        const val POLL_INTERVAL_MS = 10L
    }
}

private fun ApplicationCall.streamName(): String = parameters["stream"].orEmpty()

private fun ApplicationCall.longParameter(name: String, default: Long): Long =
    request.queryParameters[name]?.toLongOrNull() ?: default
