/*
 * What one VM tells the others, as CBOR in one datagram. Everything in it is the sender's whole state, so a lost
 * report costs only time until the next one.
 */
package io.daisybend.entry.peers

import io.daisybend.serving.endpoint.AdapterKey
import io.daisybend.serving.endpoint.EngineHoldings
import io.daisybend.serving.endpoint.HeldModel
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** All that a VM admitted for a team since its start, and its view of the team's bucket. */
@Serializable
internal data class TeamUseReport(val team: String, val admitted: Double, val level: Double)

/** The newest record of the order duty that the sender knows. */
@Serializable
internal data class DutyReport(val holder: String, val epoch: Long, val offset: Long)

/** What requests of the sender take of an endpoint now. */
@Serializable
internal data class EndpointUse(
    val endpoint: String,
    val inFlight: Int,
    val pendingPromptTokens: Long,
    val kvTokens: Long,
    val models: Map<String, Int>,
    /** In how many milliseconds the last run of each model should end. */
    val endsInMs: Map<String, Long>,
)

/** Requests of the sender that wait for a model, or for an adapter written behind a slash. */
@Serializable
@SerialName("WantReport")
internal data class QueuedDemandReport(
    val service: String,
    val model: String,
    val count: Int,
    val urgency: Int,
    val waitedMs: Long,
)

/** What an engine holds, told by the holder of the order duty. */
@Serializable
internal data class HoldingsReport(
    val engine: String,
    val bornMs: Long,
    val orderCount: Long,
    val models: Map<String, Set<String>>,
    val loading: String?,
    val loadedInMs: Long,
)

/** One VM's report. */
@Serializable
internal data class PeerReport(
    val vm: String,
    val startedAtMs: Long,
    val uptimeMs: Long,
    val sequence: Long,
    val host: String,
    val peerPort: Int,
    val callerPort: Int,
    val failureDomain: String,
    val ready: Boolean,
    val stopping: Boolean,
    val storeAgeMs: Long,
    @SerialName("hears")
    val alivePeers: List<String>,
    val teams: List<TeamUseReport>,
    val duty: DutyReport?,
    /** A record of the sender that the store turned away and that others should append. */
    val renewal: DutyReport?,
    val holdsDuty: Boolean,
    val endpoints: List<EndpointUse>,
    @SerialName("wants")
    val queuedDemand: List<QueuedDemandReport>,
    val requests: Map<String, Int>,
    val holdings: List<HoldingsReport>,
)

/** Returns the holdings that this report tells of, without copies at hand. */
internal fun HoldingsReport.toHoldings(): EngineHoldings =
    EngineHoldings(orderCount, models.mapValues { (name, adapters) -> HeldModel(name, adapters) })

/** The key under which uses of [model] and [adapter] are counted. */
internal fun modelKey(model: String, adapter: String?): String = adapter?.let { "$model/$it" } ?: model

/** The adapter that [useKey] names, or null when it names a model. */
internal fun parseAdapterKey(modelKey: String): AdapterKey? =
    if ('/' in modelKey) AdapterKey(modelKey.substringBefore('/'), modelKey.substringAfter('/')) else null
