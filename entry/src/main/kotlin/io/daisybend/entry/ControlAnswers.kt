/*
 * What this VM answers beside callers' requests: whether it is ready, which addresses callers should use, and metrics.
 */
package io.daisybend.entry

import io.daisybend.entry.http.RequestHead
import io.daisybend.entry.peers.PeerTable
import io.daisybend.entry.store.ConfigurationFollower
import io.daisybend.platform.DirectoryRequest
import io.daisybend.platform.SocketAddress
import io.daisybend.platform.VmSettings
import io.daisybend.platform.readDirectoryRequest
import io.daisybend.platform.writeAddresses

/** Whether a VM takes requests. */
internal interface Readiness {
    /** Whether callers should use this VM. */
    val isReady: Boolean

    /** Whether this VM is about to end. */
    val isStopping: Boolean
}

/** Answers of one VM, by what it knows of its [peers]. */
internal class ControlAnswers(
    private val settings: VmSettings,
    private val readiness: Readiness,
    private val peers: PeerTable,
    private val configuration: ConfigurationFollower,
    private val metrics: Metrics,
    private val steadyMs: () -> Long,
) {
    /** Returns the answer to the request with [head]. */
    fun answer(head: RequestHead): ControlAnswer = when (val question = readDirectoryRequest(head.target)) {
        DirectoryRequest.Readiness -> ControlAnswer(if (readiness.isReady) STATUS_OK else STATUS_UNAVAILABLE)
        is DirectoryRequest.Addresses -> answerAddresses(question)
        DirectoryRequest.Unknown -> when (head.path) {
            METRICS_PATH -> ControlAnswer(STATUS_OK, body = metrics.text())
            else -> ControlAnswer(STATUS_NOT_FOUND)
        }
    }

    private fun answerAddresses(question: DirectoryRequest.Addresses): ControlAnswer {
        val now = steadyMs()
        val others = peers.alive(now).filter { !it.stopping }
        val ownAge = configuration.confirmationAgeMs()
        val freshest = minOf(ownAge, others.minOfOrNull { it.storeAgeMs } ?: Long.MAX_VALUE)
        val oldestUsed = maxOf(USABLE_AGE_MS, freshest + USABLE_AGE_MS)
        val usable = others.filter { it.ready && it.storeAgeMs < oldestUsed }
            .map { it.failureDomain to SocketAddress(it.host, it.callerPort) }
        val own = listOf(settings.failureDomain to settings.callerAddress)
            .filter { (readiness.isReady && ownAge < oldestUsed) || (usable.isEmpty() && !readiness.isStopping) }
        val all = usable + own
        if (all.isEmpty()) return ControlAnswer(STATUS_UNAVAILABLE)
        val near = all.filter { it.first == question.failureDomain }
        val chosen = if (near.size >= MIN_NEAR_ADDRESSES) near else all
        val body =
            writeAddresses(
                chosen.map {
                    it.second
                }.take(MAX_ADDRESSES),
                minOf(ADDRESS_TTL_MS, settings.bounds.maxAddressTtlMs),
            )
        return ControlAnswer(STATUS_OK, "application/json", body)
    }

    private companion object {
        const val STATUS_OK = 200
        const val STATUS_NOT_FOUND = 404
        const val STATUS_UNAVAILABLE = 503
        const val METRICS_PATH = "/metrics"

        /** Age of the configuration up to which callers are sent to a VM, in milliseconds: two long reads. */
        const val USABLE_AGE_MS = 2_600L

        /** How long callers may keep an answer of the directory, in milliseconds: a stopping VM waits as long. */
        const val ADDRESS_TTL_MS = 2_000L

        /** Fewest VMs of the caller's failure domain that make an answer of their own. */
        const val MIN_NEAR_ADDRESSES = 2

        /** The most addresses that callers heed. */
        const val MAX_ADDRESSES = 64
    }
}
