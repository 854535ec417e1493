/*
 * Keeps requests away from engines if they end each engine that runs them: by a part of their prompts, which other
 * requests may share, or by themselves, when the same request comes again. Every VM derives the same quarantines from
 * the evidence of all VMs. A quarantine ends when an engine has answered its parts: after some time one VM, the first
 * in an order that all VMs know, sends one request as a trial.
 */
package io.daisybend.serving.quarantine

import io.daisybend.serving.endpoint.Incarnation

/**
 * The quarantine of one VM; thread-safe. [rankOf] returns the place of this VM, 0 first, in the order of the VMs for a
 * key. Calls [requestEarlyReport] when the peers should learn of evidence without delay, and [onChange] with the
 * quarantines in force when they have changed.
 */
public class CrashQuarantine(
    private val settings: QuarantineSettings = QuarantineSettings(),
    private val rankOf: (String) -> Int = { 0 },
    private val requestEarlyReport: () -> Unit = {},
    private val onChange: (List<Quarantine>) -> Unit = {},
) {
    private class Evidence(val atMs: Long, val isOwn: Boolean) {
        val requests = LinkedHashSet<SuspectRequest>()
        var reportsLeft = 0
    }

    private class Answer(val sentAtMs: Long, val endedAtMs: Long)

    private val lock = Any()
    private val ends = LinkedHashMap<Incarnation, Evidence>()
    private val provenAtMs = ProofTimes(settings.maxProofs)
    private val answers = LeastRecentlyUsed<Incarnation, Answer>(settings.maxProofs)
    private val provenReportsLeft = HashMap<String, Int>()
    private val answerReportsLeft = HashMap<Incarnation, Int>()
    private val trialAtMs = HashMap<String, Long>()
    private val refusedAtMs = HashMap<String, Long>()

    /** The result of the function with this name, or null once the ends have changed. */
    private var lastEndAtMs: Map<String, Long>? = null

    /** The ends that no quarantined prompt parts explain. */
    private var unexplained: List<RecordedEnd> = emptyList()

    @Volatile
    private var quarantines: List<Quarantine> = emptyList()

    /** The quarantines in force. */
    public val current: List<Quarantine> get() = quarantines

    /** Whether the evidence contains fingerprints; only then the fingerprints of further requests matter. */
    @Volatile
    public var hasFingerprints: Boolean = false
        private set

    /** Decides at [nowMs] whether a request with [parts] may be sent. */
    public fun check(parts: List<String>, nowMs: Long): QuarantineVerdict {
        if (quarantines.isEmpty()) return QuarantineVerdict.Allowed
        return synchronized(lock) {
            val quarantine = quarantines.ofRequest(parts).firstOrNull { !mayTry(it, nowMs) }
                ?: return QuarantineVerdict.Allowed
            refusedAtMs[quarantine.key] = nowMs
            val retryAfterMs = (quarantine.untilMs - nowMs).coerceAtLeast(quarantine.trialTurnMs)
            QuarantineVerdict.Refused(quarantine, retryAfterMs)
        }
    }

    /**
     * Records that a request with [parts] that [check] allowed is sent at [nowMs], which may be a trial; returns false
     * if another request has become the trial since.
     */
    public fun onSent(parts: List<String>, nowMs: Long): Boolean {
        if (quarantines.isEmpty()) return true
        return synchronized(lock) {
            val tried = quarantines.ofRequest(parts)
            if (tried.any { !mayTry(it, nowMs) }) return false
            tried.forEach { trialAtMs[it.key] = nowMs }
            true
        }
    }

    /** Returns how many independent ends of engines the request with [fingerprint] may have caused. */
    public fun endsUnder(fingerprint: RequestFingerprint): Int {
        if (!hasFingerprints) return 0
        return synchronized(lock) { countEnds(fingerprint.part, unexplained, settings) { provenAtMs[it] } }
    }

    /** Whether a request with [parts] that was sent must be taken back; a trial must not. */
    public fun isQuarantined(parts: List<String>): Boolean {
        val quarantine = quarantines.firstOrNull { parts.containsAll(it.parts) } ?: return false
        return synchronized(lock) { quarantine.key !in trialAtMs }
    }

    private fun mayTry(quarantine: Quarantine, nowMs: Long): Boolean {
        if (quarantine.failedTrials >= settings.maxTrials) return false
        val turnAtMs = quarantine.untilMs + rankOf(quarantine.key) * quarantine.trialTurnMs
        val lastTrialAtMs = trialAtMs[quarantine.key] ?: return nowMs >= turnAtMs
        return nowMs >= maxOf(turnAtMs, lastTrialAtMs + quarantine.trialTurnMs)
    }

    /** Records that an answer to a request with [parts] went on past its beginning at [nowMs]. */
    public fun onAnswerProven(parts: List<String>, nowMs: Long): Unit = synchronized(lock) {
        val newProofs = parts.filter { isNewProof(it, nowMs) }
        parts.forEach { provenAtMs.record(it, nowMs) }
        newProofs.forEach { provenReportsLeft[it] = REPORTS_OF_A_CHANGE }
        if (newProofs.isNotEmpty() && evaluate(nowMs)) requestEarlyReport()
    }

    /** Records that [engine] completed at [nowMs] the answer to a request sent at [sentAtMs], so it had not ended. */
    public fun onAnswerCompleted(engine: Incarnation, sentAtMs: Long, nowMs: Long): Unit = synchronized(lock) {
        answers[engine] = Answer(sentAtMs, nowMs)
        if (!isRefuted(engine)) return
        answerReportsLeft[engine] = REPORTS_OF_A_CHANGE
        ends.remove(engine)
        lastEndAtMs = null
        if (evaluate(nowMs)) requestEarlyReport()
    }

    /** Whether an answer to [part] at [atMs] is the first one known, or the first one after an end under the part. */
    private fun isNewProof(part: String, atMs: Long): Boolean {
        val lastAtMs = lastEndAtMs()[part] ?: return false
        val known = provenAtMs[part]
        return known == null || lastAtMs in known until atMs
    }

    /** Returns the time of the newest end under each part. */
    private fun lastEndAtMs(): Map<String, Long> = lastEndAtMs ?: HashMap<String, Long>().also { newest ->
        ends.values.forEach { end ->
            end.requests.forEach { request -> request.parts.forEach { newest.merge(it, end.atMs, ::maxOf) } }
        }
        lastEndAtMs = newest
    }

    /** Records that this VM saw [engine] end at [atMs] under [requests]. */
    public fun onEngineEnded(engine: Incarnation, requests: List<SuspectRequest>, atMs: Long, nowMs: Long): Unit =
        synchronized(lock) {
            if (!merge(EngineEnd(engine, nowMs - atMs, requests), nowMs, isOwn = true)) return
            evaluate(nowMs)
            requestEarlyReport()
        }

    /** Applies the [evidence] of a peer, or kept evidence, received at [nowMs]. */
    public fun onEvidence(evidence: CrashEvidence, nowMs: Long): Unit = synchronized(lock) {
        val newEnds = evidence.ends.filter { merge(it, nowMs, isOwn = false) }
        newEnds.flatMap { end -> end.requests.flatMap { it.parts } }.filter { it in provenAtMs }
            .forEach { provenReportsLeft[it] = REPORTS_OF_A_CHANGE }
        val newProofs = evidence.provenAgoMs.filter { (part, agoMs) -> isNewProof(part, nowMs - agoMs) }
        evidence.provenAgoMs.forEach { (part, agoMs) -> provenAtMs.record(part, nowMs - agoMs) }
        evidence.answers.forEach { (engine, span) ->
            answers[engine] = Answer(nowMs - span.sentAgoMs, nowMs - span.endedAgoMs)
        }
        val refuted = evidence.answers.keys.filter(::isRefuted)
        ends.keys.removeAll(refuted.toSet())
        if (refuted.isNotEmpty()) lastEndAtMs = null
        if (newEnds.isNotEmpty() || newProofs.isNotEmpty() || refuted.isNotEmpty()) evaluate(nowMs)
    }

    /** Merges [end] into the evidence; returns whether that changed anything. */
    private fun merge(end: EngineEnd, nowMs: Long, isOwn: Boolean): Boolean {
        val atMs = nowMs - end.agoMs
        if (answers[end.engine]?.outlasts(atMs) == true) {
            answerReportsLeft[end.engine] = REPORTS_OF_A_CHANGE
            return false
        }
        val known = ends.getOrPut(end.engine) { Evidence(atMs, isOwn) }
        val requests = end.requests.map { it.copy(parts = it.parts.take(settings.maxPartsPerRequest)) }
        val added = requests.filter { known.add(it) }
        if (isOwn && added.isNotEmpty()) known.reportsLeft = REPORTS_OF_A_CHANGE
        if (ends.size > settings.maxEnds) removeOldest()
        lastEndAtMs = null
        return added.isNotEmpty()
    }

    /** Removes the oldest end; one of a quarantine only if all are. */
    private fun removeOldest() {
        val quarantined = quarantines.flatMapTo(HashSet()) { it.endedAtMs.keys }
        ends.remove(ends.keys.firstOrNull { it !in quarantined } ?: ends.keys.first())
    }

    /** Adds [request]; a begun answer displaces a request that waited when there are too many. */
    private fun Evidence.add(request: SuspectRequest): Boolean {
        if (request in requests) return false
        val isFingerprint = request.isFingerprint
        val alike = requests.filter { it.isFingerprint == isFingerprint }
        if (alike.size >= if (isFingerprint) settings.maxFingerprintsPerEnd else settings.maxRequestsPerEnd) {
            val displaced = alike.firstOrNull { !it.hasStarted }?.takeIf { request.hasStarted } ?: return false
            requests.remove(displaced)
        }
        return requests.add(request)
    }

    private fun isRefuted(engine: Incarnation): Boolean =
        ends[engine]?.let { answers[engine]?.outlasts(it.atMs) } ?: false

    /** Whether the answer began before and ended after the reported end of its engine at [endAtMs]. */
    private fun Answer.outlasts(endAtMs: Long) =
        sentAtMs < endAtMs && endedAtMs > endAtMs + settings.answerDelayMs

    /** Forgets evidence that is too old at [nowMs]. */
    public fun removeExpired(nowMs: Long): Unit = synchronized(lock) {
        val neededAtMs = HashMap<Incarnation, Long>()
        quarantines.forEach { quarantine ->
            // The end of a request's quarantine costs engines again as long as the request comes.
            val refused = if (quarantine.isOfRequest) refusedAtMs[quarantine.key] else null
            quarantine.endedAtMs.forEach { (engine, atMs) -> neededAtMs.merge(engine, refused ?: atMs, ::maxOf) }
        }
        val isRemoved = ends.entries.removeIf { (engine, end) ->
            neededAtMs[engine]?.let { nowMs - maxOf(it, end.atMs) > settings.quarantinedEvidenceMs }
                ?: (nowMs - end.atMs > settings.evidenceMs)
        }
        if (!isRemoved) return
        lastEndAtMs = null
        evaluate(nowMs)
    }

    /** Derives the quarantines from the evidence; returns whether they changed. */
    private fun evaluate(nowMs: Long): Boolean {
        val recorded = ends.map { (engine, end) -> RecordedEnd(engine, end.atMs, end.requests) }
        val blamedParts = assignBlame(recorded, settings) { provenAtMs[it] }
        unexplained = recorded.filter { end ->
            blamedParts.none { blamed -> end.requests.any { it.parts.containsAll(blamed.parts) } }
        }
        val blamedRequests = blameRequests(unexplained, settings) { provenAtMs[it] }
        val derived = blamedParts.map { it.toQuarantine(settings) } + blamedRequests.map { it.toQuarantine(settings) }
        hasFingerprints = lastEndAtMs().keys.any { RequestFingerprint.ofPart(it) != null }
        refusedAtMs.keys.removeIf { key -> derived.none { it.key == key } }
        trialAtMs.entries.removeIf { (key, atMs) ->
            derived.none { it.key == key && it.lastEndAtMs < atMs } || nowMs - atMs > settings.evidenceMs
        }
        provenReportsLeft.keys.retainAll(lastEndAtMs().keys)
        if (derived == quarantines) return false
        quarantines = derived
        onChange(derived)
        return true
    }

    /**
     * Returns what changed since the last reports, for all peers. Each change is returned in several successive
     * reports, since some may be lost.
     */
    public fun reportChanges(nowMs: Long): CrashEvidence = synchronized(lock) {
        CrashEvidence(
            ends = newestEnds(nowMs) { it.reportsLeft-- > 0 },
            provenAgoMs = takeReports(provenReportsLeft).agesOf(provenAtMs, nowMs),
            answers = takeReports(answerReportsLeft).mapNotNull { engine -> answers[engine]?.let { engine to it } }
                .associate { (engine, answer) ->
                    engine to AnswerSpan(nowMs - answer.sentAtMs, nowMs - answer.endedAtMs)
                },
        )
    }

    /** Returns the newest evidence, for a peer that may know none of it. */
    public fun evidence(nowMs: Long): CrashEvidence = synchronized(lock) {
        val known = newestEnds(nowMs) { true }
        val parts = known.flatMapTo(LinkedHashSet()) { end -> end.requests.flatMap { it.parts } }
        CrashEvidence(known, parts.agesOf(provenAtMs, nowMs))
    }

    private fun newestEnds(nowMs: Long, isDue: (Evidence) -> Boolean): List<EngineEnd> {
        var leftChars = settings.maxReportChars
        return ends.entries.reversed().filter {
            isDue(it.value)
        }.map { (engine, end) -> end.toEngineEnd(engine, nowMs) }
            .takeWhile { end ->
                leftChars -= end.requests.sumOf { request -> request.parts.sumOf { it.length } }
                leftChars >= 0
            }
    }

    /** Returns the ends of the quarantines in force that this VM saw itself, for the store. */
    public fun ownQuarantinedEnds(nowMs: Long): List<EngineEnd> = synchronized(lock) {
        val quarantined = quarantines.flatMapTo(HashSet()) { it.endedAtMs.keys }
        ends.filter { (engine, end) -> end.isOwn && engine in quarantined }
            .map { (engine, end) -> end.toEngineEnd(engine, nowMs) }
    }

    private fun Evidence.toEngineEnd(engine: Incarnation, nowMs: Long) =
        EngineEnd(engine, nowMs - atMs, requests.toList())

    private fun <K> takeReports(reportsLeft: MutableMap<K, Int>): List<K> {
        val due = reportsLeft.keys.toList()
        due.forEach { key -> reportsLeft.computeIfPresent(key) { _, left -> (left - 1).takeIf { it > 0 } } }
        return due
    }

    private companion object {
        /** Number of successive reports that contain a change. */
        const val REPORTS_OF_A_CHANGE = 3
    }
}

private fun List<Quarantine>.ofRequest(parts: List<String>) = filter { parts.containsAll(it.parts) }

private fun Collection<String>.agesOf(atMs: ProofTimes, nowMs: Long): Map<String, Long> =
    mapNotNull { key -> atMs[key]?.let { key to nowMs - it } }.toMap()
