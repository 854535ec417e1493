/*
 * Tells when a model that no endpoint holds is expected to be loaded, so that requests that can't wait that long are
 * refused at once.
 */
package io.daisybend.entry.exchange

import io.daisybend.serving.endpoint.EndpointTable
import io.daisybend.serving.endpoint.hasCopy
import io.daisybend.serving.site.Service

/** Forecasts loads at the endpoints of [table]. */
internal class ModelLoadForecast(private val table: EndpointTable, private val fleet: FleetView) {
    /**
     * Returns the time until [model] of [service] is expected to be loaded, in milliseconds: by a load that is
     * announced, or by one from the weight store that began now if no endpoint has a copy; null if neither is known.
     */
    fun loadedInMs(service: Service, model: String): Long? =
        fleet.loadedInMs(model) ?: coldLoadMs(service, model)?.takeIf { fleet.isDutyHeld() }

    private fun coldLoadMs(service: Service, model: String): Long? {
        val coldLoadMs = service.engine?.models?.get(model)?.coldLoadMs ?: return null
        val hasCopy = table.ofService(service.name).any { !it.entry.isDraining && it.hasCopy(model) }
        return coldLoadMs.takeIf { !hasCopy }
    }
}
