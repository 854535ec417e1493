/*
 * What became of the most recent changes, so that a change submitted again gets its first answer. The window is kept in
 * generations: a record copies only the youngest one, and the oldest one is dropped whole.
 */
package io.daisybend.configuration

import kotlinx.serialization.Serializable

/** A change and what became of it. */
@Serializable
internal data class KeptOutcome(val changeId: ChangeId, val outcome: ChangeOutcome)

internal data class OutcomeWindow(private val generations: List<Map<ChangeId, ChangeOutcome>> = listOf(emptyMap())) {
    operator fun get(changeId: ChangeId): ChangeOutcome? = generations.firstNotNullOfOrNull { it[changeId] }

    fun with(changeId: ChangeId, outcome: ChangeOutcome): OutcomeWindow {
        val youngest = generations.last()
        val full = youngest.size >= GENERATION_SIZE
        val older = if (full) generations.takeLast(GENERATIONS - 1) else generations.dropLast(1)
        val current = if (full) mapOf(changeId to outcome) else youngest + (changeId to outcome)
        return OutcomeWindow(older + listOf(current))
    }

    fun toKept(): List<List<KeptOutcome>> =
        generations.map { generation -> generation.map { (id, outcome) -> KeptOutcome(id, outcome) } }

    companion object {
        const val GENERATION_SIZE = 512
        const val GENERATIONS = 16

        fun fromKept(kept: List<List<KeptOutcome>>): OutcomeWindow =
            OutcomeWindow(kept.map { generation -> generation.associate { it.changeId to it.outcome } })
    }
}
