/*
 * Lets operators read and replace the manifest.
 */
package io.daisybend.daemon.thin

import com.github.michaelbull.result.fold
import io.daisybend.configuration.Manifest
import io.daisybend.daemon.admin.AdminRefusal
import io.daisybend.daemon.admin.OperatorRoutes
import io.daisybend.daemon.admin.adminJson
import io.daisybend.daemon.admin.respondAdmin
import io.ktor.http.HttpStatusCode
import io.ktor.server.request.receiveText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException

@Serializable
internal data class AcceptedManifest(val revision: Long)

internal class ManifestRoutes(private val configuration: LocalConfiguration) : OperatorRoutes {
    override fun addTo(route: Route) {
        route.get("/manifest") {
            call.respondAdmin(Manifest.serializer(), configuration.current()?.manifest ?: Manifest())
        }
        route.post("/manifest") {
            val manifest = try {
                adminJson.decodeFromString(Manifest.serializer(), call.receiveText())
            } catch (invalid: SerializationException) {
                val refusal = AdminRefusal("bad_manifest", invalid.message.orEmpty())
                return@post call.respondAdmin(AdminRefusal.serializer(), refusal, HttpStatusCode.BadRequest)
            }
            configuration.submit(manifest).fold(
                success = { call.respondAdmin(AcceptedManifest.serializer(), AcceptedManifest(it)) },
                failure = {
                    val refusal = AdminRefusal("log_failure", it.message)
                    call.respondAdmin(AdminRefusal.serializer(), refusal, HttpStatusCode.ServiceUnavailable)
                },
            )
        }
    }
}
