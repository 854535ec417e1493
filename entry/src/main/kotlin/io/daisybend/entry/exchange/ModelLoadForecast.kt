/*
 * Tells when a model that no endpoint holds is expected to be loaded, so that requests that can't wait that long are
 * refused at once.
 */
package io.daisybend.entry.exchange

import io.daisybend.serving.duty.DutyOutlook
import io.daisybend.serving.endpoint.EndpointTable
import io.daisybend.serving.endpoint.hasCopy
import io.daisybend.serving.site.Service

/** Forecasts loads at the endpoints of [table]. */
internal class ModelLoadForecast(private val table: EndpointTable, private val fleet: FleetView) {
    /**
     * Returns the time until [model] of [service] is expected to be loaded, in milliseconds: by a load that is
     * announced, or by one from the weight store that began now if no endpoint has a copy; while no VM holds the order
     * duty, by the fastest load after the next holder is expected. Null if none is known.
     */
    fun loadedInMs(service: Service, model: String): Long? =
        fleet.loadedInMs(model) ?: when (val outlook = fleet.dutyOutlook()) {
            DutyOutlook.Held -> coldLoadMs(service, model)
            is DutyOutlook.Expected -> fastestLoadMs(service, model)?.let { outlook.inMs + it }
            DutyOutlook.Unknown -> null
        }

    private fun fastestLoadMs(service: Service, model: String): Long? {
        val spec = service.engine?.models?.get(model) ?: return null
        val engines = table.ofService(service.name).filter { !it.entry.isDraining }
        return when {
            // Only an adapter is missing, which takes milliseconds.
            engines.any { model in it.holdings?.models.orEmpty() } -> 0
            engines.any { model in it.holdings?.inMemory.orEmpty() } -> spec.memoryLoadMs
            engines.any { it.hasCopy(model) } -> spec.diskLoadMs
            else -> spec.coldLoadMs
        }
    }

    private fun coldLoadMs(service: Service, model: String): Long? {
        val coldLoadMs = service.engine?.models?.get(model)?.coldLoadMs ?: return null
        val hasCopy = table.ofService(service.name).any { !it.entry.isDraining && it.hasCopy(model) }
        return coldLoadMs.takeIf { !hasCopy }
    }
}
