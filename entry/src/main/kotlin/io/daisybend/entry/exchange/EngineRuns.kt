/*
 * What engines say of the requests that they work on. The requests of an engine that falls silent ask at about the same
 * moment, so they share its reports.
 */
package io.daisybend.entry.exchange

import com.github.michaelbull.result.getOrElse
import io.daisybend.entry.EventLog
import io.daisybend.platform.EngineClient
import io.daisybend.platform.EngineRun
import io.daisybend.serving.endpoint.EndpointEntry
import io.daisybend.serving.endpoint.Incarnation
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import java.util.concurrent.ConcurrentHashMap

/** Asks engines through [client]. */
internal class EngineRuns(
    private val client: EngineClient,
    private val log: EventLog,
    private val steadyMs: () -> Long,
) {
    private class Question(val askedAtMs: Long, val runs: Deferred<List<EngineRun>>)

    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val questions = ConcurrentHashMap<Incarnation, Question>()

    /** Returns [attemptId] as the report of [engine] lists it; null if it does not, or if no report arrives in time. */
    suspend fun find(engine: EndpointEntry, attemptId: String): EngineRun? {
        val nowMs = steadyMs()
        questions.values.removeIf { nowMs - it.askedAtMs > SHARED_MS }
        val question = questions.computeIfAbsent(engine.incarnation) { ask(engine, nowMs) }
        question.runs.start()
        return question.runs.await().firstOrNull { it.attemptId == attemptId }
    }

    private fun ask(engine: EndpointEntry, nowMs: Long) = Question(
        nowMs,
        scope.async(start = CoroutineStart.LAZY) {
            client.runs(engine, REPORT_TIMEOUT_MS).getOrElse { failure ->
                log.write(
                    "engine-runs-unknown",
                    "endpoint" to engine.incarnation.id,
                    "bornMs" to engine.incarnation.bornMs,
                    "reason" to failure.message,
                )
                emptyList()
            }
        },
    )

    private companion object {
        /** Timeout for a report, in milliseconds: a new connection and a few round trips. */
        const val REPORT_TIMEOUT_MS = 300L

        /**
         * Age up to which a question is shared, in milliseconds: shorter than a pause of this VM that matters, so that
         * no answer is older than the pauses that its user knows of.
         */
        const val SHARED_MS = 50L
    }
}
