/*
 * Decides whether a request may be served at all: its route, its team by its key, and how fresh both must be. Keys
 * fail closed: without a confirmation of the configuration within the bound nobody's key counts. A key or route that
 * this VM does not know is denied only while its knowledge is new enough; before that, another VM may know better.
 */
package io.daisybend.serving.site

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import com.github.michaelbull.result.toResultOr
import io.daisybend.kernel.Failure

/** How long knowledge of keys and routes may be relied on. */
public data class FreshnessSettings(
    /** Age of the last confirmation at which requests with keys are refused, in milliseconds. */
    val maxKeyAgeMs: Long,
    /** Age above which an unknown key or route may be one that this VM has not heard of, in milliseconds. */
    val maxDenialAgeMs: Long,
)

/** What a request shows of itself for admission; [key] is null without a key or with several. */
public data class Credentials(val host: String, val path: String, val key: String?)

/** A request that may be served: by [service], for [team], which is null on routes open to all. */
public data class Admission(val route: Route, val service: Service, val team: Team?)

/** Why a request is not admitted; none of them has run. */
public sealed interface AdmissionRefusal : Failure {
    /** No configuration is known yet. */
    public data object NoConfiguration : AdmissionRefusal {
        override val message: String = "expected a configuration, got none yet"
    }

    /** No route takes the request. */
    public data object UnknownRoute : AdmissionRefusal {
        override val message: String = "expected a known route, got none for the host and path"
    }

    /** No team holds the key. */
    public data object UnknownKey : AdmissionRefusal {
        override val message: String = "expected a team's key, got none or one that is unknown or withdrawn"
    }

    /** The route leads to no service. */
    public data object NoService : AdmissionRefusal {
        override val message: String = "expected a service behind the route, got none"
    }

    /** What this VM knows is too old to decide. */
    public data class Unconfirmed(val ageMs: Long) : AdmissionRefusal {
        override val message: String = "expected a configuration confirmed lately, got one from $ageMs ms ago"
    }

    /** The team has used up its rate; something is left after [retryAfterMs]. */
    public data class OverRate(val team: String, val retryAfterMs: Long) : AdmissionRefusal {
        override val message: String = "expected team $team within its rate, got it over by $retryAfterMs ms"
    }
}

/** Admits requests by one configuration, last confirmed [ageMs] ago; [draw] in 0..1 picks among split services. */
public fun RouteTable?.admit(
    credentials: Credentials,
    freshness: FreshnessSettings,
    ageMs: Long,
    draw: Double,
): Result<Admission, AdmissionRefusal> {
    if (this == null) return Err(AdmissionRefusal.NoConfiguration)
    fun denied(refusal: AdmissionRefusal) =
        if (ageMs > freshness.maxDenialAgeMs) AdmissionRefusal.Unconfirmed(ageMs) else refusal
    return routeFor(credentials.host, credentials.path)
        .toResultOr { denied(AdmissionRefusal.UnknownRoute) }
        .andThen { route ->
            teamOn(route, credentials.key, freshness, ageMs, ::denied).andThen { team -> serviceOn(route, team, draw) }
        }
}

private fun RouteTable.teamOn(
    route: Route,
    key: String?,
    freshness: FreshnessSettings,
    ageMs: Long,
    denied: (AdmissionRefusal) -> AdmissionRefusal,
): Result<Team?, AdmissionRefusal> = when {
    !requiresKeys || route.openToAll -> Ok(null)
    ageMs > freshness.maxKeyAgeMs -> Err(AdmissionRefusal.Unconfirmed(ageMs))
    else -> key?.let(::teamFor).toResultOr { denied(AdmissionRefusal.UnknownKey) }
}

private fun RouteTable.serviceOn(route: Route, team: Team?, draw: Double): Result<Admission, AdmissionRefusal> =
    route.serviceFor(draw)?.let { configuration.services[it] }
        .toResultOr { AdmissionRefusal.NoService }
        .map { service -> Admission(route, service, team) }
