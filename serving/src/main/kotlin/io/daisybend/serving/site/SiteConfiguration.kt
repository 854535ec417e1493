/*
 * What operators declare for a site, decoded once from the platform's record into the project's own types: routes,
 * services, models, teams and limits. A configuration is immutable; a newer version replaces it whole.
 */
package io.daisybend.serving.site

/** What a route promises about running a request more than once. */
public enum class RouteKind {
    /** May run more than once. */
    IDEMPOTENT,

    /** Runs at most once for each caller attempt. */
    ONCE,

    /** Answers with a series of events; runs at most once unless the route is resumable. */
    STREAM,
}

/** A service that gets [weight] parts of a route's requests. */
public data class ServiceShare(val service: String, val weight: Int)

/** A route: which requests it takes and how they are treated. */
public data class Route(
    val name: String,
    val host: String,
    val prefix: String,
    val kind: RouteKind,
    val timeoutMs: Long,
    val targetLatencyMs: Long,
    val priority: Int,
    val shares: List<ServiceShare>,
    val maxAttempts: Int,
    val openToAll: Boolean,
    val resumable: Boolean,
) {
    /** Whether a request of this route may be sent again after it may have run. */
    val mayRetry: Boolean get() = kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAM && resumable)
}

/** A model that engines of a service can load; times are for an otherwise idle store. */
public data class ModelSpec(
    val name: String,
    val weightsMb: Double,
    val coldLoadMs: Long,
    val diskLoadMs: Long,
    val memoryLoadMs: Long,
    val adapterMb: Double,
)

/** What each model engine of a service has. */
public data class EngineSpec(
    val slots: Int,
    val kvCapacityTokens: Int,
    val weightMemoryMb: Double,
    val adapterSlots: Int,
    val hostCacheMb: Double,
    val diskCacheMb: Double,
    val loadsPerSecond: Double,
    val models: Map<String, ModelSpec>,
)

/** A set of equal endpoints; [engine] is null for plain services. */
public data class Service(val name: String, val maxConnections: Int, val engine: EngineSpec?)

/** A team with its keys and its rate in tokens, or in requests when [countsTokens] is false; 0 means no limit. */
public data class Team(
    val name: String,
    val keys: List<String>,
    val priority: Int?,
    val countsTokens: Boolean,
    val plainTokens: Long,
    val ratePerSecond: Double,
    val burst: Double,
)

/** What a caller may send and how long it may take. */
public data class CallerLimits(
    val maxHeadBytes: Int,
    val maxBodyBytes: Int,
    val headTimeoutMs: Long,
    val idleTimeoutMs: Long,
)

/** One version of a site's configuration. */
public data class SiteConfiguration(
    val version: Long,
    val routes: List<Route>,
    val services: Map<String, Service>,
    val teams: List<Team>,
    val limits: CallerLimits,
)
