/*
 * What the engines probably have in their prefix caches, from the sends of this VM and from the reports of the peers.
 * Nothing is assumed of the engines of a service without a configured KV cache, or for requests that name no parts.
 */
package io.daisybend.entry.exchange

import io.daisybend.entry.EventLog
import io.daisybend.entry.peers.PromptPartsReport
import io.daisybend.entry.peers.toPrefixSends
import io.daisybend.entry.peers.toPromptPartsReports
import io.daisybend.serving.endpoint.Endpoint
import io.daisybend.serving.endpoint.EndpointChoice
import io.daisybend.serving.endpoint.EndpointTable
import io.daisybend.serving.endpoint.ModelDemand
import io.daisybend.serving.endpoint.PrefixSends
import io.daisybend.serving.endpoint.PromptPrefix
import io.daisybend.serving.endpoint.promptPrefix
import java.util.concurrent.atomic.LongAdder

/** The expected prefix caches of the engines of [table]; [kvCapacityOf] returns the tokens in those of a service. */
internal class PrefixCaches(
    private val table: EndpointTable,
    private val kvCapacityOf: (service: String) -> Long,
    private val log: EventLog,
    private val steadyMs: () -> Long,
) {
    private val sends = PrefixSends()
    private val savedTokens = LongAdder()
    private val givenUpTokens = LongAdder()
    private val missedTokens = LongAdder()

    /** Tokens of prompts since the start, by what was expected of the prefix caches and by what came of it. */
    val tokenCounts: Map<String, Double>
        get() = mapOf(
            "saved" to savedTokens.sum().toDouble(),
            "given_up" to givenUpTokens.sum().toDouble(),
            "missed" to missedTokens.sum().toDouble(),
        )

    /** Returns the tokens that the prefix caches of all engines are expected to hold. */
    fun heldTokens(): Long = table.all().sumOf { it.prefixCache.heldTokens }

    /** Returns the parts of the prompt of [demand], or null if the engines of [service] are not known to cache any. */
    fun prefixFor(service: String, demand: ModelDemand): PromptPrefix? =
        if (kvCapacityOf(service) > 0) demand.promptPrefix() else null

    /** Returns the tokens that a request with [prefix] displaces at [endpoint] and that others may need again. */
    fun evictedTokens(endpoint: Endpoint, prefix: PromptPrefix): Long =
        endpoint.prefixCache.evictedTokens(prefix, kvCapacityOf(endpoint.entry.service))

    /** Records that the prompt of [demand] is sent to [endpoint]; returns the tokens that it is expected to have. */
    fun onSent(endpoint: Endpoint, demand: ModelDemand): Int {
        val prefix = prefixFor(endpoint.entry.service, demand) ?: return 0
        val now = steadyMs()
        val cachedTokens = endpoint.prefixCache.cachedTokens(prefix, now)
        endpoint.prefixCache.onSent(prefix, kvCapacityOf(endpoint.entry.service))
        sends.onSent(endpoint.incarnation, prefix, now)
        return cachedTokens
    }

    /** Records that the request [attemptId] was given to the engine of [choice]. */
    fun onChosen(attemptId: String, choice: EndpointChoice.Send) {
        if (choice.mostCachedTokens == 0) return
        savedTokens.add(choice.cachedTokens.toLong())
        givenUpTokens.add((choice.mostCachedTokens - choice.cachedTokens).toLong())
        log.debug("prefix-cache-weighed") {
            arrayOf(
                "request" to attemptId,
                "endpoint" to choice.endpoint.incarnation.id,
                "cachedTokens" to choice.cachedTokens,
                "mostCachedTokens" to choice.mostCachedTokens,
                "predictedMs" to choice.predictedFirstEventMs,
            )
        }
    }

    /** Records at [nowMs] the first event of [exchange]. */
    fun onFirstEvent(exchange: TrackedExchange, nowMs: Long) {
        val lateMs = nowMs - exchange.startedAtMs - exchange.expectation.firstEventMs
        val isMissed = exchange.endpoint.prefixCache.onFirstEvent(exchange.expectation.savedMs, lateMs, nowMs)
        if (isMissed) missedTokens.add(exchange.expectation.cachedTokens.toLong())
    }

    /** Returns the sends of this VM since the last report, for the peers. */
    fun reportChanges(): List<PromptPartsReport> = sends.takeReport(steadyMs()).toPromptPartsReports()

    /** Records the sends of a peer; ignores what is malformed or belongs to another incarnation. */
    fun onPeerReport(reports: List<PromptPartsReport>) = reports.toPrefixSends().forEach { send ->
        val endpoint = table.find(send.engine.id)?.takeIf { it.incarnation == send.engine } ?: return@forEach
        val capacity = kvCapacityOf(endpoint.entry.service)
        if (capacity > 0) endpoint.prefixCache.onSent(send.prefix, capacity)
    }

    /** Drops the parts of models and adapters that engines have unloaded. */
    fun removeUnloaded() = table.all().forEach { it.prefixCache.retainHeld(it.holdings) }
}
