/*
 * Admits requests: finds the route and the service, and identifies the team by its key. Keys fail closed: no key is
 * accepted when the store has not confirmed the configuration for longer than the limit. An unknown key or route is
 * denied only while the configuration was confirmed recently; otherwise a newer version may contain it.
 */
package io.daisybend.serving.site

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import com.github.michaelbull.result.toResultOr
import io.daisybend.kernel.Failure

/** Limits on the age of the configuration for decisions about keys and routes. */
public data class FreshnessSettings(
    /** Age of the last confirmation above which requests that need a key are refused, in milliseconds. */
    val maxKeyAgeMs: Long,
    /** Age of the last confirmation above which an unknown key or route is not denied, in milliseconds. */
    val maxDenialAgeMs: Long,
)

/** The parts of a request that admission checks; [key] is null when the request has no key or several. */
public data class Credentials(val host: String, val path: String, val key: String?)

/** An admitted request; [team] is null when the route is open to all or no teams are configured. */
public data class Admission(val route: Route, val service: Service, val team: Team?)

/** The reason that a request is not admitted; a request that is not admitted has not run. */
public sealed interface AdmissionRefusal : Failure {
    /** This VM has not read a configuration yet. */
    public data object NoConfiguration : AdmissionRefusal {
        override val message: String = "expected a configuration, got none yet"
    }

    /** No route matches the host and path. */
    public data object UnknownRoute : AdmissionRefusal {
        override val message: String = "expected a route for the host and path, got none"
    }

    /** No team holds the key. */
    public data object UnknownKey : AdmissionRefusal {
        override val message: String = "expected a team's key, got none or one that is unknown or withdrawn"
    }

    /** The route has no configured service. */
    public data object NoService : AdmissionRefusal {
        override val message: String = "expected a service behind the route, got none"
    }

    /** The configuration was last confirmed [ageMs] milliseconds ago, too long ago to decide. */
    public data class Unconfirmed(val ageMs: Long) : AdmissionRefusal {
        override val message: String = "expected a recently confirmed configuration, got one confirmed $ageMs ms ago"
    }

    /** The team has used up its rate; it may send again after [retryAfterMs] milliseconds. */
    public data class OverRate(val team: String, val retryAfterMs: Long) : AdmissionRefusal {
        override val message: String = "expected team $team within its rate, got it over for another $retryAfterMs ms"
    }
}

/**
 * Admits a request by a configuration confirmed [ageMs] ago; [draw], in 0..1, selects a service by weight, unless
 * [isBoundTo] holds for one.
 */
public fun RouteTable?.admit(
    credentials: Credentials,
    freshness: FreshnessSettings,
    ageMs: Long,
    draw: Double,
    isBoundTo: (service: String) -> Boolean = { false },
): Result<Admission, AdmissionRefusal> {
    if (this == null) return Err(AdmissionRefusal.NoConfiguration)
    fun orUnconfirmed(refusal: AdmissionRefusal) =
        if (ageMs > freshness.maxDenialAgeMs) AdmissionRefusal.Unconfirmed(ageMs) else refusal
    return routeFor(credentials.host, credentials.path)
        .toResultOr { orUnconfirmed(AdmissionRefusal.UnknownRoute) }
        .andThen { route ->
            findTeam(route, credentials.key, freshness, ageMs, ::orUnconfirmed)
                .andThen { team -> findService(route, team, draw, isBoundTo) }
        }
}

private fun RouteTable.findTeam(
    route: Route,
    key: String?,
    freshness: FreshnessSettings,
    ageMs: Long,
    orUnconfirmed: (AdmissionRefusal) -> AdmissionRefusal,
): Result<Team?, AdmissionRefusal> = when {
    !requiresKeys || route.openToAll -> Ok(null)
    ageMs > freshness.maxKeyAgeMs -> Err(AdmissionRefusal.Unconfirmed(ageMs))
    else -> key?.let(::teamFor).toResultOr { orUnconfirmed(AdmissionRefusal.UnknownKey) }
}

private fun RouteTable.findService(
    route: Route,
    team: Team?,
    draw: Double,
    isBoundTo: (service: String) -> Boolean,
): Result<Admission, AdmissionRefusal> {
    val bound = route.shares.firstOrNull { it.weight > 0 && isBoundTo(it.service) }?.service
    return (bound ?: route.serviceFor(draw))?.let { configuration.services[it] }
        .toResultOr { AdmissionRefusal.NoService }
        .map { service -> Admission(route, service, team) }
}
