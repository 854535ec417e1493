/*
 * Tells the peers what engines have come to hold and what they are loading, before the platform's list does.
 */
package io.daisybend.entry.orders

import io.daisybend.entry.peers.HoldingsReport
import io.daisybend.serving.endpoint.EndpointTable
import io.daisybend.serving.residency.EngineLedger
import java.util.concurrent.ConcurrentHashMap

/** What the peers are told of an engine since [atMs]; what it loads should be loaded at [loadedAtMs]. */
private class Announced(val report: HoldingsReport, val atMs: Long, val loadedAtMs: Long)

/** Announcements of the holder of the order duty; written by one coroutine and read by several. */
internal class EngineAnnouncer(
    private val table: EndpointTable,
    private val view: DutyView,
    private val steadyMs: () -> Long,
) {
    private val announced = ConcurrentHashMap<String, Announced>()

    /** What changed lately or is being loaded, with the time that is left now. */
    fun current(): List<HoldingsReport> {
        val now = steadyMs()
        return announced.values
            .filter { it.atMs >= now - ANNOUNCE_MS || it.report.loading != null }
            .map { it.report.copy(loadedInMs = (it.loadedAtMs - now).coerceAtLeast(MIN_LOAD_LEFT_MS)) }
    }

    /** Announces what the engine of [ledger] holds and loads, if that has changed. */
    fun announce(ledger: EngineLedger) {
        val id = ledger.incarnation.id
        val now = steadyMs()
        val load = ledger.runningLoad
        val models = ledger.holdings.models - setOfNotNull(ledger.unloading)
        val report = HoldingsReport(
            engine = id,
            bornMs = ledger.incarnation.bornMs,
            orderCount = ledger.holdings.orderCount,
            models = models.mapValues { (_, held) -> held.adapters },
            loading = load?.model ?: ledger.intendedLoad,
            loadedInMs = 0,
        )
        if (announced[id]?.report == report) return
        announced[id] = Announced(report, now, load?.expectedAtMs ?: ledger.intended?.readyAtMs ?: now)
        table.announce(ledger.incarnation, ledger.holdings.copy(models = models), now)
        view.announceSoon()
    }

    /** Forgets all: another VM may have ordered since. */
    fun clear() = announced.clear()

    /** Forgets engines other than [ids]. */
    fun retain(ids: Set<String>) {
        announced.keys.retainAll(ids)
    }

    private companion object {
        /** How long changed holdings are told, in milliseconds: until the platform's list has them. */
        const val ANNOUNCE_MS = 3_000L

        /** The least time that a load under way is taken to last, in milliseconds: a copy in memory. */
        const val MIN_LOAD_LEFT_MS = 200L
    }
}
