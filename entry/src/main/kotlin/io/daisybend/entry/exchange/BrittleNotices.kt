/*
 * What endpoints say of being brittle, in answers to requests and to calls for reports.
 */
package io.daisybend.entry.exchange

import io.daisybend.entry.EventLog
import io.daisybend.platform.Brittle
import io.daisybend.serving.endpoint.BrittleEngines
import io.daisybend.serving.endpoint.Endpoint
import io.daisybend.serving.endpoint.EndpointTable
import io.daisybend.serving.endpoint.Incarnation

/** Passes on what endpoints say to [brittleEngines]. */
internal class BrittleNotices(
    private val table: EndpointTable,
    private val brittleEngines: BrittleEngines,
    private val log: EventLog,
    private val steadyMs: () -> Long,
) {
    /** Applies what an answer of [endpoint] said; a limit that is unreadable may be small. */
    fun onAnswer(endpoint: Endpoint, brittle: Brittle?) {
        val limit = when (brittle) {
            null -> null
            is Brittle.Named -> brittle.limit.coerceAtLeast(1)
            is Brittle.Unreadable -> {
                log.write(
                    "endpoint-brittle-unreadable",
                    "endpoint" to endpoint.incarnation.id,
                    "value" to brittle.value.take(MAX_LOGGED_CHARS),
                )
                1
            }
        }
        brittleEngines.onAnswer(endpoint, limit, steadyMs())
    }

    /** Applies what an answer of the engine of [incarnation] to a call for a report or to an order said. */
    fun onEngineAnswer(incarnation: Incarnation, brittle: Brittle?) {
        table.find(incarnation.id)?.takeIf { it.incarnation == incarnation }?.let { onAnswer(it, brittle) }
    }

    private companion object {
        const val MAX_LOGGED_CHARS = 40
    }
}
