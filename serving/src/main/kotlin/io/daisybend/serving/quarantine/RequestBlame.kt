/*
 * Finds the requests that explain why engines ended, among the fingerprints of the requests that each end struck. A
 * request that was struck beside others may be a bystander, so two ends convict only a request that was mostly alone
 * and that no engine has ever answered; three convict whatever they have in common. Ends that a found request explains
 * count for no other one.
 */
package io.daisybend.serving.quarantine

/**
 * A request to blame for [ends], as [part]; [count] of them are independent, and [isAmbiguous] if others explain the
 * same ends.
 */
internal data class BlamedRequest(
    val part: String,
    val ends: List<RecordedEnd>,
    val count: Int,
    val isAmbiguous: Boolean,
)

private class RequestSuspicion(
    val part: String,
    val ends: List<RecordedEnd>,
    val count: Int,
    val blame: Double,
    val wasAnswered: Boolean,
)

/** Returns the requests that [ends] show to end engines; [provenAtMs] is the newest answer to a part or null. */
internal fun blameRequests(
    ends: Collection<RecordedEnd>,
    settings: QuarantineSettings,
    provenAtMs: (String) -> Long?,
): List<BlamedRequest> {
    var unexplained = ends.sortedBy { it.atMs }
    val found = ArrayList<BlamedRequest>()
    while (true) {
        val suspicions = suspicionsOf(unexplained, settings, provenAtMs).filter { it.isSufficient(settings) }
        val worst = suspicions.maxWithOrNull(compareBy({ it.count }, { it.blame }, { it.part })) ?: return found
        val equal = suspicions.filter { it.ends == worst.ends && it.blame == worst.blame }
        equal.mapTo(found) { BlamedRequest(it.part, it.ends, it.count, isAmbiguous = equal.size > 1) }
        unexplained = unexplained - worst.ends.toSet()
    }
}

/** Returns the number of independent [ends] under [part] since its newest answer. */
internal fun countEnds(
    part: String,
    ends: Collection<RecordedEnd>,
    settings: QuarantineSettings,
    provenAtMs: (String) -> Long?,
): Int = countIndependent(
    ends.filter { end ->
        isUnproven(part, end, provenAtMs) && end.requests.any { part in it.parts }
    }.sortedBy { it.atMs },
    settings,
)

private fun suspicionsOf(
    ends: List<RecordedEnd>,
    settings: QuarantineSettings,
    provenAtMs: (String) -> Long?,
): List<RequestSuspicion> {
    val endsByPart = HashMap<String, MutableList<RecordedEnd>>()
    val blameByPart = HashMap<String, Double>()
    ends.forEach { end ->
        val suspects = end.requests.filter { it.isFingerprint }.flatMapTo(HashSet()) { it.parts }
            .filter { isUnproven(it, end, provenAtMs) }
        suspects.forEach { part ->
            endsByPart.getOrPut(part) { ArrayList() }.add(end)
            blameByPart.merge(part, 1.0 / suspects.size, Double::plus)
        }
    }
    return endsByPart.map { (part, partEnds) ->
        val count = countIndependent(partEnds, settings)
        RequestSuspicion(part, partEnds, count, blameByPart.getValue(part), provenAtMs(part) != null)
    }
}

private fun isUnproven(part: String, end: RecordedEnd, provenAtMs: (String) -> Long?) =
    provenAtMs(part)?.let { it < end.atMs } ?: true

private fun RequestSuspicion.isSufficient(settings: QuarantineSettings) =
    count >= settings.minRequestEnds || (count >= settings.minEnds && blame >= settings.minBlame && !wasAnswered)

/** Counts [ends], in order of time; engines that end together share a cause, so they count once. */
private fun countIndependent(ends: List<RecordedEnd>, settings: QuarantineSettings): Int {
    var count = 0
    var countedAtMs = Long.MIN_VALUE / 2
    ends.forEach {
        if (it.atMs - countedAtMs < settings.sharedCauseMs) return@forEach
        count++
        countedAtMs = it.atMs
    }
    return count
}
