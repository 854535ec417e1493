/*
 * Chooses the VMs that the directory names to a caller. VMs in the caller's failure domain come first if there are
 * enough of them. For a host whose routes have home regions, VMs in other regions are named only when there are none in
 * the caller's region and in the homes: the body of a request would leave its region.
 */
package io.daisybend.serving.directory

/** A VM that the directory may name, with its failure domain and its region, which is null if it is unknown. */
public data class ListedVm<out T>(val vm: T, val failureDomain: String, val region: String?)

/** A caller in [failureDomain] and [region], as far as it named them. */
public data class DirectoryCaller(val failureDomain: String?, val region: String?)

/** Where the named VMs are. */
public enum class DirectoryScope {
    /** Anywhere: the host has no routes with homes. */
    ANY,

    /** In the caller's region. */
    CALLER_REGION,

    /** In the homes of the host's routes. */
    HOME_REGIONS,

    /** Elsewhere, because there are none in these regions. */
    ELSEWHERE,
}

/** The VMs that the directory names, and where they are. */
public data class DirectoryChoice<T>(val vms: List<T>, val scope: DirectoryScope)

/** Chooses among [candidates] for [caller] of a host whose routes have [homes], or none if that is null. */
public fun <T> chooseListed(
    candidates: List<ListedVm<T>>,
    caller: DirectoryCaller,
    homes: Set<String>?,
): DirectoryChoice<T> {
    val (scope, inScope) = if (homes == null) {
        DirectoryScope.ANY to candidates
    } else {
        listOf(
            DirectoryScope.CALLER_REGION to candidates.filter { it.region != null && it.region == caller.region },
            DirectoryScope.HOME_REGIONS to candidates.filter { it.region in homes },
        ).firstOrNull { it.second.isNotEmpty() } ?: (DirectoryScope.ELSEWHERE to candidates)
    }
    val sameDomain = inScope.filter { it.failureDomain == caller.failureDomain }
    val chosen = if (sameDomain.size >= MIN_SAME_DOMAIN_VMS) sameDomain else inScope
    return DirectoryChoice(chosen.map { it.vm }, scope)
}

/** Minimum number of VMs in the caller's failure domain for an answer that names only these. */
private const val MIN_SAME_DOMAIN_VMS = 2
