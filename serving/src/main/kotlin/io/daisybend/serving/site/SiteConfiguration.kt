/*
 * The operators' configuration of a site: routes, services, models, teams and limits. A configuration is immutable; a
 * newer version replaces it as a whole.
 */
package io.daisybend.serving.site

/** How often a request of a route may run, and how it is answered. */
public enum class RouteKind {
    /** May run more than once. */
    IDEMPOTENT,

    /** Runs at most once for each attempt of a caller. */
    ONCE,

    /** Is answered with a stream of events; runs at most once unless the route is resumable. */
    STREAM,
}

/** A service that receives requests of a route in proportion to [weight]. */
public data class ServiceShare(val service: String, val weight: Int)

/** A route: the requests that it matches and how they are handled. */
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
    /** The regions whose endpoints may serve the route; empty for all regions. */
    val homeRegions: Set<String> = emptySet(),
) {
    /** Whether a request of this route may be sent again when an earlier send may have run. */
    val mayRetry: Boolean get() = kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAM && resumable)
}

/** A model that engines of a service can load; [coldLoadMs] is for a store with no other loads. */
public data class ModelSpec(
    val name: String,
    val weightsMb: Double,
    val coldLoadMs: Long,
    val diskLoadMs: Long,
    val memoryLoadMs: Long,
    val adapterMb: Double,
)

/** The capacity of each model engine of a service, and the models that it can load. */
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

/**
 * What an endpoint takes after its start: for [durationMs] milliseconds, [perSecond] requests a second from all VMs
 * together; it crashes at a rate well above that.
 */
public data class ColdStart(val durationMs: Long, val perSecond: Double)

/**
 * A set of interchangeable endpoints; [engine] is null for plain services, and [coldStart] if the endpoints take
 * requests at full rate from their start.
 */
public data class Service(
    val name: String,
    val maxConnections: Int,
    val engine: EngineSpec?,
    val coldStart: ColdStart? = null,
)

/**
 * A team with its keys and its rate, counted in tokens, or in requests when [countsTokens] is false. A rate of 0 means
 * no limit; a request that states no number of tokens counts as [plainTokens].
 */
public data class Team(
    val name: String,
    val keys: List<String>,
    val priority: Int?,
    val countsTokens: Boolean,
    val plainTokens: Long,
    val ratePerSecond: Double,
    val burst: Double,
    /** The regions whose endpoints may serve the team; empty for all regions. */
    val homeRegions: Set<String> = emptySet(),
)

/** Limits on the size of callers' requests and on the time to read them. */
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
