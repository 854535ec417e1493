/*
 * Home regions: a request of a route or a team with homes is served only by endpoints of these regions. The regions of
 * failure domains come from the settings; a domain whose region is unknown is in no home.
 */
package io.daisybend.serving.endpoint

import io.daisybend.serving.site.Route
import io.daisybend.serving.site.Team

/** The regions of failure domains; [ownRegion] is that of [ownDomain] unless [regionOfDomain] names it. */
public class HomeRegions(
    private val ownDomain: String,
    private val ownRegion: String,
    private val regionOfDomain: Map<String, String>,
) {
    /** Returns the region of [domain], or null if it is unknown. */
    public fun regionOf(domain: String): String? =
        regionOfDomain[domain] ?: ownRegion.takeIf { domain == ownDomain }

    /** Returns whether an endpoint in [domain] may serve a request with [homes], or with none if that is null. */
    public fun allows(homes: Set<String>?, domain: String): Boolean = homes == null || regionOf(domain) in homes
}

/** Returns the regions that may serve [team] on [route], or null for all; both bind where both have homes. */
public fun homesOf(route: Route, team: Team?): Set<String>? {
    val homes = listOfNotNull(route.homeRegions, team?.homeRegions).filter { it.isNotEmpty() }
    return if (homes.isEmpty()) null else homes.reduce(Set<String>::intersect)
}
