/*
 * Compares what callers and engines saw, request by request, with the promises of an entry VM.
 */
package io.daisybend.entry.soak

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

/** Records attempts and runs, and checks them against the faults in [timeline]. */
internal class SoakLedger(private val timeline: SoakTimeline) {
    private val attempts = ConcurrentHashMap<String, Attempt>()
    private val runs = ConcurrentHashMap<String, ConcurrentLinkedQueue<Run>>()
    private val runCount = AtomicInteger()
    private val losses = SoakLosses(timeline)
    private val reported = ConcurrentLinkedQueue<Violation>()

    fun begin(attempt: Attempt) {
        attempts[attempt.id] = attempt
    }

    /** Records that [engine] begins to run the request [attemptId]. */
    fun run(engine: String, attemptId: String, firstEvent: Int = 1, ignoresClose: Boolean = false): Run {
        val run = Run(runCount.incrementAndGet(), engine, attemptId, timeline.nowMs, firstEvent, ignoresClose)
        runs.computeIfAbsent(attemptId) { ConcurrentLinkedQueue() }.add(run)
        return run
    }

    /** Records a violation that was seen elsewhere. */
    fun report(rule: String, text: String) {
        timeline.note("VIOLATION $rule: $text")
        reported.add(Violation(rule, text))
    }

    fun runsOf(attemptId: String): List<Run> = runs[attemptId]?.toList().orEmpty()

    fun find(attemptId: String): Attempt? = attempts[attemptId]

    /** Number of attempts with each end, for the report of a run. */
    fun summary(): String = attempts.values.groupingBy { "${it.end}${if (it.status > 0) " ${it.status}" else ""}" }
        .eachCount().toSortedMap().toString()

    /** Number of broken attempts that are not lost, by the reason for that. */
    fun excuses(): Map<LossExcuse, Int> = attempts.values
        .mapNotNull { (losses.judge(it, runsOf(it.id)) as? LossVerdict.Excused)?.excuse }
        .groupingBy { it }.eachCount().toSortedMap()

    /** Returns all violations. */
    fun check(): List<Violation> = reported + attempts.values.sortedBy { it.sentMs }.flatMap { attempt ->
        val attemptRuns = runsOf(attempt.id)
        listOfNotNull(
            lost(attempt, attemptRuns),
            twice(attempt, attemptRuns),
            refused(attempt, attemptRuns),
            mixed(attempt, attemptRuns),
            order(attempt),
            denied(attempt),
        )
    } + runs.keys.filter { !attempts.containsKey(it) }.map { Violation("UNASKED", "attempt $it was sent by no caller") }

    private fun violation(rule: String, reason: String, attempt: Attempt, attemptRuns: List<Run>) = Violation(
        rule,
        "$reason\n    $attempt" + attemptRuns.joinToString("") { "\n    $it" },
    )

    private fun lost(attempt: Attempt, attemptRuns: List<Run>): Violation? {
        val verdict = losses.judge(attempt, attemptRuns)
        if (verdict !is LossVerdict.Lost) return null
        val where = if (attemptRuns.isEmpty()) "not passed on" else "passed on"
        return violation("LOST", "no whole answer around ${verdict.cause}, $where", attempt, attemptRuns)
    }

    private fun twice(attempt: Attempt, attemptRuns: List<Run>): Violation? {
        if (attemptRuns.size < 2) return null
        if (attempt.route.isOnce) return violation("TWICE", "ran ${attemptRuns.size} times", attempt, attemptRuns)
        if (!attempt.route.isStream) return null
        val isOverlapping = attemptRuns.withIndex().any { (index, next) ->
            // The next engine goes on with the request once it makes an event; until then it has it in its queue.
            val goesOnAtMs = next.firstEventMs ?: return@any false
            attemptRuns.take(index).any { before -> isOverlapping(attempt, before, goesOnAtMs) }
        }
        return if (isOverlapping) violation("TWICE", "the engine before still worked", attempt, attemptRuns) else null
    }

    private fun isOverlapping(attempt: Attempt, before: Run, goesOnAtMs: Long): Boolean {
        val untilMs = goesOnAtMs + OVERLAP_MS
        return (before.endMs ?: Long.MAX_VALUE) > untilMs &&
            !timeline.isDisrupted(attempt.vm, goesOnAtMs, untilMs) &&
            !timeline.isDisrupted(before.engine, goesOnAtMs, untilMs)
    }

    private fun refused(attempt: Attempt, attemptRuns: List<Run>): Violation? {
        val isRefused = attempt.end == AttemptEnd.ANSWERED && attempt.status in promises
        return if (isRefused && attempt.route != SoakRoute.SAFE && attemptRuns.isNotEmpty()) {
            violation("REFUSED", "answered ${attempt.status} and has run", attempt, attemptRuns)
        } else {
            null
        }
    }

    private fun mixed(attempt: Attempt, attemptRuns: List<Run>): Violation? {
        if (attempt.status == 0) return null
        val isWhole = attempt.end == AttemptEnd.ANSWERED
        val sealer = attemptRuns.firstOrNull { it.seal == attempt.seal }
        val problem = when {
            attempt.namedId != null && attempt.namedId != attempt.id -> "answer of ${attempt.namedId}"
            attempt.seal != null && sealer == null -> "sealed by no run of it"
            attempt.status !in SUCCESS -> if (attempt.status in ownStatuses || sealer != null) null else "odd status"
            attempt.seal == null -> "a success without a seal"
            attempt.route.isStream -> null
            isWhole && sealer?.end != RunEnd.DONE -> "whole, but its run is not"
            isWhole && attempt.body != sealer?.body -> "another body than its run made"
            !isWhole && sealer?.body?.startsWith(attempt.body) == false -> "another body than its run made"
            else -> null
        }
        return problem?.let { violation("MIXED", it, attempt, attemptRuns) }
    }

    private fun order(attempt: Attempt): Violation? {
        if (!attempt.route.isStream || attempt.status !in SUCCESS || attempt.end == AttemptEnd.OPEN) return null
        val events = attempt.body.substringBeforeLast("\n\n", "").split("\n\n").filter { it.isNotEmpty() }
        val problem = events.withIndex().firstNotNullOfOrNull { (index, event) ->
            val expected = "id: ${index + 1}\ndata: ${attempt.id} ${index + 1}"
            "event ${index + 1} is $event".takeUnless { event == expected || event.startsWith("$expected ") }
        } ?: "${events.size} of ${attempt.events} events, and then the end".takeIf {
            attempt.end == AttemptEnd.ANSWERED && events.size != attempt.events
        }
        return problem?.let { violation("ORDER", it, attempt, runsOf(attempt.id)) }
    }

    private fun denied(attempt: Attempt): Violation? {
        val isDenied = attempt.end == AttemptEnd.ANSWERED && attempt.seal == null && attempt.status in denials
        return if (isDenied) violation("DENIED", "status ${attempt.status}", attempt, runsOf(attempt.id)) else null
    }

    companion object {
        /** How long two engines may work on one stream, in milliseconds. */
        private const val OVERLAP_MS = 400L
        private val SUCCESS = 200..299
        private val promises = setOf(408, 421, 429, 503)
        private val denials = setOf(400, 401, 403, 404, 413, 431)
        private val ownStatuses = promises + denials + setOf(502, 504)
    }
}
