/*
 * Finds the route and the team of a request in one version of the configuration. The routes of a host are indexed by
 * prefix, so a look-up takes one step per path segment, independent of the number of routes.
 */
package io.daisybend.serving.site

/** The look-up tables of one version of the configuration. */
public class RouteTable(public val configuration: SiteConfiguration) {
    private val routesByHost: Map<String, Map<String, Route>> =
        configuration.routes.groupBy {
            it.host.lowercase()
        }.mapValues { (_, routes) -> routes.associateBy { it.prefix } }
    private val teamsByKey: Map<String, Team> =
        configuration.teams.flatMap { team -> team.keys.map { it to team } }.toMap()
    private val teamsByName: Map<String, Team> = configuration.teams.associateBy { it.name }

    /** Whether routes that are not open to all need a key: true when teams are configured. */
    public val requiresKeys: Boolean = configuration.teams.isNotEmpty()

    /** Returns the route of [host] whose prefix is the longest that matches [path], or null. */
    public fun routeFor(host: String, path: String): Route? {
        val routes = routesByHost[host.lowercase()] ?: return null
        var end = path.length
        while (end > 0) {
            val slash = path.lastIndexOf('/', end - 1)
            if (slash < 0) return null
            routes[path.substring(0, slash + 1)]?.let { return it }
            end = slash
        }
        return null
    }

    /** Returns the regions that are homes of all routes of [host] with homes, or null if none of them has homes. */
    public fun homesOfHost(host: String): Set<String>? = routesByHost[host.lowercase()]?.values
        ?.map { it.homeRegions }?.filter { it.isNotEmpty() }?.takeIf { it.isNotEmpty() }
        ?.reduce(Set<String>::intersect)

    /** Returns the team that holds [key], or null. */
    public fun teamFor(key: String): Team? = teamsByKey[key]

    /** Returns the team called [name], or null. */
    public fun teamNamed(name: String): Team? = teamsByName[name]
}

/** Returns the service that [draw], in 0..1, selects by weight, or null when no service has weight. */
public fun Route.serviceFor(draw: Double): String? {
    val total = shares.sumOf { it.weight }
    var left = draw * total
    for (share in shares) {
        left -= share.weight
        if (left < 0) return share.service
    }
    return shares.lastOrNull { it.weight > 0 }?.service
}
