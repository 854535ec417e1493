/*
 * The outcomes of the most recent changes, so that a change that is submitted again gets its first outcome. The window
 * consists of generations: a new outcome copies only the newest generation, and the oldest generation is dropped as a
 * whole.
 */
package io.daisybend.configuration

import kotlinx.serialization.Serializable

/** A change and its outcome. */
@Serializable
internal data class KeptOutcome(val changeId: ChangeId, val outcome: ChangeOutcome)

internal data class OutcomeWindow(private val generations: List<Map<ChangeId, ChangeOutcome>> = listOf(emptyMap())) {
    operator fun get(changeId: ChangeId): ChangeOutcome? = generations.firstNotNullOfOrNull { it[changeId] }

    fun withOutcome(changeId: ChangeId, outcome: ChangeOutcome): OutcomeWindow {
        val newestGeneration = generations.last()
        val isFull = newestGeneration.size >= GENERATION_SIZE
        val keptGenerations = if (isFull) generations.takeLast(MAX_GENERATIONS - 1) else generations.dropLast(1)
        val updatedGeneration = if (isFull) mapOf(changeId to outcome) else newestGeneration + (changeId to outcome)
        return OutcomeWindow(keptGenerations + listOf(updatedGeneration))
    }

    fun toKeptOutcomes(): List<List<KeptOutcome>> =
        generations.map { generation -> generation.map { (id, outcome) -> KeptOutcome(id, outcome) } }

    companion object {
        const val GENERATION_SIZE = 512
        const val MAX_GENERATIONS = 16

        fun fromKeptOutcomes(kept: List<List<KeptOutcome>>): OutcomeWindow =
            OutcomeWindow(kept.map { generation -> generation.associate { it.changeId to it.outcome } })
    }
}
