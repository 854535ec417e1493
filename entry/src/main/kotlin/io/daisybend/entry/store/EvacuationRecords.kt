/*
 * Applies the operators' evacuations of failure domains, which the configuration watcher reads with the configuration,
 * and tells what changed.
 */
package io.daisybend.entry.store

import io.daisybend.entry.EventLog
import io.daisybend.platform.KeyedRecord
import io.daisybend.platform.readEvacuation
import io.daisybend.serving.endpoint.EvacuatedDomains
import io.daisybend.serving.endpoint.EvacuationFollower

/**
 * Follows the evacuations; calls [onEnded] for each one that has ended, and [onChange] after each change. All functions
 * but [current] are called by one coroutine.
 */
internal class EvacuationRecords(
    private val log: EventLog,
    private val steadyMs: () -> Long,
    private val onEnded: (failureDomain: String) -> Unit,
    private val onChange: () -> Unit,
) {
    private val follower = EvacuationFollower()

    /** The evacuated failure domains. */
    val current: EvacuatedDomains get() = follower.current

    /** Applies a snapshot of all newest [records]; the store [isRestored] if it is an older copy than the last one. */
    fun onSnapshot(records: List<KeyedRecord>, isRestored: Boolean) = tellChanges("snapshot") {
        val evacuated = records.mapNotNull(::readEvacuation).filter { it.isEvacuated }
        follower.onSnapshot(evacuated.mapTo(HashSet()) { it.failureDomain }, isRestored, steadyMs())
    }

    /** Applies [record] if it is about an evacuation. */
    fun onRecord(record: KeyedRecord) {
        val evacuation = readEvacuation(record) ?: return
        tellChanges("record") { follower.onRecord(evacuation.failureDomain, evacuation.isEvacuated) }
    }

    /** Ends evacuations that a store from an older copy lacks and that operators have not written again. */
    fun removeOverdue() = tellChanges("not confirmed after the restore of the store") {
        follower.removeOverdue(steadyMs())
    }

    private inline fun tellChanges(source: String, apply: () -> Unit) {
        val before = follower.current
        apply()
        val after = follower.current
        if (after === before) return
        (after - before).forEach { log.write("evacuation-began", "failureDomain" to it, "source" to source) }
        (before - after).forEach {
            onEnded(it)
            log.write("evacuation-ended", "failureDomain" to it, "source" to source)
        }
        onChange()
    }
}
