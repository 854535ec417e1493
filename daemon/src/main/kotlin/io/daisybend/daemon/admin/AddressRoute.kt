/*
 * Shows operators which VMs the callers of a team are told.
 */
package io.daisybend.daemon.admin

import io.daisybend.daemon.request.AddressResolver
import io.daisybend.kernel.ModelId
import io.daisybend.kernel.TeamId
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import kotlinx.serialization.Serializable

@Serializable
internal data class ShownAddresses(val addresses: List<String>, val lifetimeMs: Long)

internal class AddressRoute(private val addresses: AddressResolver) : OperatorRoutes {
    override fun addTo(route: Route) {
        route.get("/address") {
            val teamId = call.request.queryParameters["team"]?.let(::TeamId)
            val modelId = call.request.queryParameters["model"]?.let(::ModelId)
            val answer = addresses.addressesFor(teamId, modelId)
            call.respondAdmin(ShownAddresses.serializer(), ShownAddresses(answer.addresses, answer.lifetimeMs))
        }
    }
}
