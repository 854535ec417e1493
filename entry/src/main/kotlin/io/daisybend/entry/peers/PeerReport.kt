/*
 * Report of one VM to its peers, encoded as CBOR in one datagram. The state of the sender is complete in each report.
 * Uses of teams and holdings of engines are contained while they change and in the next reports, so that a lost report
 * only delays them. Only the holder of the order duty gets what it plans with.
 */
package io.daisybend.entry.peers

import io.daisybend.serving.endpoint.AdapterKey
import io.daisybend.serving.endpoint.BrittleService
import io.daisybend.serving.endpoint.EngineHoldings
import io.daisybend.serving.endpoint.HeldModel
import io.daisybend.serving.endpoint.Incarnation
import io.daisybend.serving.endpoint.ListExcerpt
import io.daisybend.serving.endpoint.PrefixPart
import io.daisybend.serving.endpoint.PrefixSend
import io.daisybend.serving.endpoint.PrefixSends
import io.daisybend.serving.endpoint.PromptPrefix
import io.daisybend.serving.endpoint.RelayedRecord
import io.daisybend.serving.quarantine.AnswerSpan
import io.daisybend.serving.quarantine.CrashEvidence
import io.daisybend.serving.quarantine.EngineEnd
import io.daisybend.serving.quarantine.SuspectRequest
import io.daisybend.serving.rates.BucketUse
import io.daisybend.serving.rates.EndpointLimitUse
import io.daisybend.serving.residency.AcceptedLoad
import io.daisybend.serving.residency.AnnouncedLoad
import io.daisybend.serving.stream.SoftwareVersion
import io.daisybend.serving.stream.StreamOrigin
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The total amount that a VM admitted for a team since its start, and its estimate of the level of the team's token
 * bucket.
 */
@Serializable
internal data class TeamUseReport(val team: String, val admitted: Double, val level: Double)

/**
 * The newest lease record of the order duty that the sender knows. A sender that has [released] the duty says so only
 * while it matters: builds that don't know the field read no report that has it.
 */
@Serializable
internal data class DutyReport(
    val holder: String,
    val epoch: Long,
    val offset: Long,
    val released: Boolean = false,
)

/** Current use of an endpoint by requests of the sender. */
@Serializable
internal data class EndpointUse(
    val endpoint: String,
    val inFlight: Int,
    val pendingPromptTokens: Long,
    val kvTokens: Long,
    val models: Map<String, Int>,
    /** Expected time until the last request for each model ends, in milliseconds. */
    val endsInMs: Map<String, Long>,
)

/** Requests of the sender that wait for a model, or for an adapter if [model] contains a slash. */
@Serializable
@SerialName("WantReport")
internal data class QueuedDemandReport(
    val service: String,
    val model: String,
    val count: Int,
    val urgency: Int,
    val waitedMs: Long,
)

/**
 * A load that an engine has accepted [agoMs] before the report: whether it is [fromStore], the loads from the store
 * that were under way at its start with it ([concurrent], 0 if not known), and the [limit] of the holder on those.
 */
@Serializable
internal data class LoadReport(
    val agoMs: Long,
    val fromStore: Boolean = false,
    val concurrent: Int = 0,
    val limit: Int = 0,
)

/** Holdings of an engine, reported by the holder of the order duty. */
@Serializable
internal data class HoldingsReport(
    val engine: String,
    val bornMs: Long,
    val orderCount: Long,
    val models: Map<String, Set<String>>,
    val loading: String?,
    val loadedInMs: Long,
    /** The load of [loading], or null while its order is still to be sent. */
    val load: LoadReport? = null,
)

/** A request that an engine had hardly answered when it ended. */
@Serializable
internal data class SuspectReport(val parts: List<String>, val started: Boolean)

/** The end of an engine under requests of the sender. */
@Serializable
internal data class EngineEndReport(
    val engine: String,
    val bornMs: Long,
    val agoMs: Long,
    val requests: List<SuspectReport>,
)

/** A complete answer of an engine that was reported to have ended. */
@Serializable
internal data class EngineAnswerReport(
    val engine: String,
    val bornMs: Long,
    val sentAgoMs: Long,
    val endedAgoMs: Long,
)

/** Evidence about prompt parts and requests that engines end under; see [CrashEvidence]. */
@Serializable
internal data class CrashEvidenceReport(
    val ends: List<EngineEndReport> = emptyList(),
    val provenAgoMs: Map<String, Long> = emptyMap(),
    val answers: List<EngineAnswerReport> = emptyList(),
)

/** The limit that an endpoint named, null if it ended, and the requests that the sender sent to it. */
@Serializable
internal data class EndpointLimitReport(
    val endpoint: String,
    val bornMs: Long,
    val perSecond: Double?,
    val observedAgoMs: Long,
    val admitted: Double,
    val level: Double,
)

/** An endpoint that said in a response that it is leaving. */
@Serializable
internal data class LeavingReport(val endpoint: String, val bornMs: Long)

/** A service whose engines are brittle; see [BrittleService]. */
@Serializable
internal data class BrittleReport(
    val service: String,
    val limit: Int,
    val saidAgoMs: Long? = null,
    val active: Boolean = false,
)

/** The streams that began at [version] of [service], by their hashes. */
@Serializable
internal data class StreamOriginReport(val service: String, val version: String?, val streams: List<Long>)

/** A record of the list of endpoints; see [RelayedRecord]. */
@Serializable
internal data class EndpointRecordReport(val key: String, val value: String? = null, val same: Boolean = false)

/** A part of the list's log that the sender read; see [ListExcerpt]. */
@Serializable
internal data class EndpointRelayReport(
    val era: Long,
    val from: Long,
    val end: Long,
    val readAgoMs: Long,
    val records: List<EndpointRecordReport> = emptyList(),
    /** Time since the sender reached the store again, while entries may be missing for that reason. */
    val regainedAgoMs: Long? = null,
)

/**
 * Prompt parts that the sender sent to an engine, by hash and tokens, and the tokens that no other prompt has. The
 * names are short because each report may have several.
 */
@Serializable
internal data class PromptPartsReport(
    @SerialName("e")
    val engine: String,
    @SerialName("b")
    val bornMs: Long,
    @SerialName("m")
    val modelHash: Int,
    @SerialName("h")
    val hashes: List<Long>,
    @SerialName("t")
    val tokens: List<Int>,
    @SerialName("u")
    val unsharedTokens: Int = 0,
)

/** Report of one VM. */
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
    /** Those recipients of this report from which the sender receives reports. */
    @SerialName("hears")
    val alivePeers: List<String>,
    val teams: List<TeamUseReport>,
    val duty: DutyReport?,
    /** A renewal of the sender's lease that peers should append, because its own appends to the store fail. */
    val renewal: DutyReport?,
    val holdsDuty: Boolean,
    val endpoints: List<EndpointUse>,
    @SerialName("wants")
    val queuedDemand: List<QueuedDemandReport>,
    /** Requests since the start of the sender, for the models and adapters that were requested lately. */
    val requests: Map<String, Int>,
    val holdings: List<HoldingsReport>,
    val prompts: CrashEvidenceReport = CrashEvidenceReport(),
    val limits: List<EndpointLimitReport> = emptyList(),
    val streams: List<StreamOriginReport> = emptyList(),
    /** The sender's version of the configuration, while the store has only an older one. */
    val versionAheadOfStore: Long? = null,
    val leaving: List<LeavingReport> = emptyList(),
    /** Only to VMs of the sender's failure domain, while the sender reads the list for them. */
    val endpointRecords: EndpointRelayReport? = null,
    val promptParts: List<PromptPartsReport> = emptyList(),
    /** Whether the sender reaches no endpoint directly. */
    val cutOff: Boolean = false,
    val brittle: List<BrittleReport> = emptyList(),
)

/** Returns this report without what only the holder of the order duty uses. */
internal fun PeerReport.withoutDemand(): PeerReport = copy(
    endpoints = endpoints.map { it.copy(models = emptyMap(), endsInMs = emptyMap()) },
    queuedDemand = emptyList(),
    requests = emptyMap(),
)

/** Returns the reported holdings; the report does not contain the copies in host memory and on disk. */
internal fun HoldingsReport.toHoldings(): EngineHoldings =
    EngineHoldings(orderCount, models.mapValues { (name, adapters) -> HeldModel(name, adapters) })

/** Returns the reported part of the list's log. */
internal fun EndpointRelayReport.toExcerpt(): ListExcerpt =
    ListExcerpt(era, from, records.map { RelayedRecord(it.key, it.value, it.same) }, end, readAgoMs)

/** Returns the reports of these records. */
internal fun List<RelayedRecord>.toRecordReports(): List<EndpointRecordReport> =
    map { EndpointRecordReport(it.key, it.value.takeUnless { _ -> it.isUnchanged }, it.isUnchanged) }

/** Returns the announced load, received at [nowMs], or null if none is in progress. */
internal fun HoldingsReport.toAnnouncedLoad(nowMs: Long): AnnouncedLoad? {
    val model = loading ?: return null
    val accepted = load?.let { AcceptedLoad(nowMs - it.agoMs, it.fromStore, it.concurrent, it.limit) }
    return AnnouncedLoad(model, nowMs + loadedInMs, accepted)
}

/** Returns the reports of these uses. */
internal fun Map<Incarnation, EndpointLimitUse>.toReports(): List<EndpointLimitReport> = map { (endpoint, limit) ->
    EndpointLimitReport(
        endpoint.id,
        endpoint.bornMs,
        limit.perSecond,
        limit.observedAgoMs,
        limit.use.admitted,
        limit.use.level,
    )
}

/** Returns the reported uses by endpoint. */
internal fun List<EndpointLimitReport>.toUses(): Map<Incarnation, EndpointLimitUse> = associate {
    Incarnation(it.endpoint, it.bornMs) to
        EndpointLimitUse(it.perSecond, it.observedAgoMs, BucketUse(it.admitted, it.level))
}

/** Returns the reports of these origins. */
internal fun List<StreamOrigin>.toStreamReports(): List<StreamOriginReport> =
    groupBy { it.service to it.version }.map { (begunAt, origins) ->
        StreamOriginReport(begunAt.first, begunAt.second.name, origins.map { it.hash })
    }

/** Returns the reported origins. */
internal fun List<StreamOriginReport>.toOrigins(): List<StreamOrigin> = flatMap { report ->
    report.streams.map { StreamOrigin(it, report.service, SoftwareVersion(report.version)) }
}

/** Returns the reports of these leaving endpoints. */
internal fun List<Incarnation>.toLeavingReports(): List<LeavingReport> = map { LeavingReport(it.id, it.bornMs) }

/** Returns the reports of these services. */
internal fun List<BrittleService>.toBrittleReports(): List<BrittleReport> =
    map { BrittleReport(it.service, it.limit, it.saidAgoMs, it.isActive) }

/** Returns the reported services. */
internal fun List<BrittleReport>.toBrittleServices(): List<BrittleService> =
    map { BrittleService(it.service, it.limit, it.saidAgoMs, it.active) }

/** Returns the reports of these sends. */
internal fun List<PrefixSend>.toPromptPartsReports(): List<PromptPartsReport> = map { send ->
    val parts = send.prefix.shared
    PromptPartsReport(
        send.engine.id,
        send.engine.bornMs,
        send.prefix.modelHash,
        parts.map { it.hash },
        parts.map { it.tokens },
        send.prefix.unsharedTokens,
    )
}

/** Returns the reported sends without those that no VM would report. */
internal fun List<PromptPartsReport>.toPrefixSends(): List<PrefixSend> = take(PrefixSends.MAX_PER_REPORT)
    .filter { report ->
        report.hashes.size == report.tokens.size &&
            report.hashes.size <= PrefixSends.MAX_PARTS_PER_ENGINE &&
            report.tokens.all { it in PrefixSends.REPORTED_TOKENS } &&
            report.unsharedTokens in 0..PrefixSends.MAX_UNSHARED_TOKENS
    }
    .map { report ->
        val parts = report.hashes.zip(report.tokens) { hash, tokens -> PrefixPart(hash, tokens) }
        PrefixSend(
            Incarnation(report.engine, report.bornMs),
            PromptPrefix(report.modelHash, parts, report.unsharedTokens),
        )
    }

/** Returns the report of this evidence. */
internal fun CrashEvidence.toReport() = CrashEvidenceReport(
    ends.map { it.toReport() },
    provenAgoMs,
    answers.map { (engine, span) -> EngineAnswerReport(engine.id, engine.bornMs, span.sentAgoMs, span.endedAgoMs) },
)

/** Returns the report of this end. */
internal fun EngineEnd.toReport() =
    EngineEndReport(engine.id, engine.bornMs, agoMs, requests.map { SuspectReport(it.parts, it.hasStarted) })

/** Returns the reported evidence. */
internal fun CrashEvidenceReport.toEvidence() = CrashEvidence(
    ends.map { it.toEngineEnd() },
    provenAgoMs,
    answers.associate { Incarnation(it.engine, it.bornMs) to AnswerSpan(it.sentAgoMs, it.endedAgoMs) },
)

/** Returns the reported end. */
internal fun EngineEndReport.toEngineEnd() =
    EngineEnd(Incarnation(engine, bornMs), agoMs, requests.map { SuspectRequest(it.parts, it.started) })

/** Returns the key under which requests for [model] and [adapter] are counted. */
internal fun modelKey(model: String, adapter: String?): String = adapter?.let { "$model/$it" } ?: model

/** Returns the adapter in [modelKey], or null if the key names only a model. */
internal fun parseAdapterKey(modelKey: String): AdapterKey? =
    if ('/' in modelKey) AdapterKey(modelKey.substringBefore('/'), modelKey.substringAfter('/')) else null
