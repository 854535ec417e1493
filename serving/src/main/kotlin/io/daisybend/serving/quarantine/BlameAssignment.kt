/*
 * Finds the prompt parts that explain why engines ended. Each end shares its blame among the requests that it struck;
 * answers that had begun are blamed before requests that still waited. A part that engines have answered before is
 * blamed only if all parts of its request were, and never for an end before the newest answer. Ends that a found group
 * of parts explains count for no other part.
 */
package io.daisybend.serving.quarantine

import io.daisybend.serving.endpoint.Incarnation

/** The end of [engine] at [atMs], in milliseconds of the monotonic clock, under [requests]. */
internal class RecordedEnd(val engine: Incarnation, val atMs: Long, val requests: Collection<SuspectRequest>)

/** Parts that occur in the same ends; requests that contain all of them are to blame for [ends]. */
internal data class BlamedParts(val parts: Set<String>, val ends: List<RecordedEnd>)

private class StruckRequest(val parts: Set<String>, val suspects: Set<String>)

private class EndToExplain(val end: RecordedEnd, val requests: List<StruckRequest>, val blame: Double)

/** Returns the groups of parts that [ends] show to end engines; [provenAtMs] is the newest answer to a part or null. */
internal fun assignBlame(
    ends: Collection<RecordedEnd>,
    settings: QuarantineSettings,
    provenAtMs: (String) -> Long?,
): List<BlamedParts> {
    var unexplained = ends.mapNotNull { toExplain(it, settings, provenAtMs) }
    val found = ArrayList<BlamedParts>()
    while (unexplained.size >= settings.minEnds) {
        val group = mostBlamed(unexplained, settings) ?: break
        found.add(group)
        unexplained = unexplained.filter { end -> end.requests.none { it.parts.containsAll(group.parts) } }
    }
    return found
}

private fun toExplain(
    end: RecordedEnd,
    settings: QuarantineSettings,
    provenAtMs: (String) -> Long?,
): EndToExplain? {
    val struck = end.requests.filterNot { it.isFingerprint }
        .map { it to StruckRequest(it.parts.toSet(), suspectsOf(it, end, settings, provenAtMs)) }
        .filter { (_, request) -> request.suspects.isNotEmpty() }
    val started = struck.filter { (request, _) -> request.hasStarted }
    val requests = started.ifEmpty { struck }.map { it.second }
    val blame = if (started.isEmpty()) BLAME_WITHOUT_ANSWER else 1.0
    return EndToExplain(end, requests, blame).takeIf { requests.isNotEmpty() }
}

private fun suspectsOf(
    request: SuspectRequest,
    end: RecordedEnd,
    settings: QuarantineSettings,
    provenAtMs: (String) -> Long?,
): Set<String> {
    val parts = request.parts.toSet()
    val unproven = parts.filter { part -> provenAtMs(part)?.let { it < end.atMs - settings.proofMs } ?: true }
    return unproven.ifEmpty { parts.filter { part -> provenAtMs(part)?.let { it <= end.atMs } ?: true } }.toSet()
}

private fun mostBlamed(ends: List<EndToExplain>, settings: QuarantineSettings): BlamedParts? {
    val endsByPart = HashMap<String, MutableList<RecordedEnd>>()
    val blameByPart = HashMap<String, Double>()
    ends.forEach { end ->
        end.requests.flatMapTo(HashSet()) { it.suspects }.forEach { part ->
            val share = end.requests.count { part in it.suspects }.toDouble() / end.requests.size
            endsByPart.getOrPut(part) { ArrayList() }.add(end.end)
            blameByPart.merge(part, end.blame * share, Double::plus)
        }
    }
    val (worst, _) = blameByPart.entries
        .filter { it.value >= settings.minBlame && endsByPart.getValue(it.key).size >= settings.minEnds }
        .maxWithOrNull(compareBy({ it.value }, { it.key })) ?: return null
    val worstEnds = endsByPart.getValue(worst)
    val group = endsByPart.keys.filterTo(HashSet()) { part ->
        endsByPart.getValue(part) == worstEnds && blameByPart.getValue(part) == blameByPart.getValue(worst)
    }
    return BlamedParts(group, worstEnds)
}

/** The blame, in ends, for an end that struck no answer that had begun. */
private const val BLAME_WITHOUT_ANSWER = 0.4
