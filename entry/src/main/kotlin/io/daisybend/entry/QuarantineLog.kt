/*
 * Shows operators the quarantines in force: one log line when a quarantine begins or ends, and a gauge for each.
 */
package io.daisybend.entry

import io.daisybend.serving.quarantine.Quarantine

/** Writes changes of the quarantines to [log] and shows those in force in [metrics]. */
internal class QuarantineLog(private val log: EventLog, metrics: Metrics, private val steadyMs: () -> Long) {
    @Volatile
    private var inForce: Map<String, Quarantine> = emptyMap()

    init {
        metrics.addGauges(
            "daisybend_quarantined_prompt_parts",
            "Engines that ended under the quarantined prompt parts",
            label = "parts",
        ) { endCounts { !it.isOfRequest } }
        metrics.addGauges(
            "daisybend_quarantined_requests",
            "Engines that ended under the quarantined request",
            label = "request",
        ) { endCounts { it.isOfRequest } }
    }

    private fun endCounts(isShown: (Quarantine) -> Boolean) =
        inForce.filterValues(isShown).mapValues { it.value.endedAtMs.size.toDouble() }

    /** Logs the differences between the quarantines in force before and [quarantines]. */
    fun onChange(quarantines: List<Quarantine>) {
        val now = steadyMs()
        val changed = quarantines.associateBy { it.key }
        changed.filter { (key, quarantine) -> inForce[key] != quarantine }.values.forEach { quarantine ->
            log.write(
                if (quarantine.isOfRequest) "request-quarantined" else "prompt-parts-quarantined",
                "parts" to quarantine.parts,
                "endedAgoMs" to quarantine.endedAtMs.entries.associate { (engine, atMs) -> engine.id to now - atMs },
                "failedTrials" to quarantine.failedTrials,
                "trialInMs" to quarantine.untilMs - now,
            )
        }
        (inForce - changed.keys).values.forEach {
            log.write(if (it.isOfRequest) "request-released" else "prompt-parts-released", "parts" to it.parts)
        }
        inForce = changed
    }
}
