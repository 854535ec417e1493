/*
 * Reads records of topics with keys; what can't be read leaves a line in the log.
 */
package io.daisybend.entry.store

import io.daisybend.entry.EventLog
import io.daisybend.platform.KeyedRecord
import io.daisybend.platform.ReadRecords
import io.daisybend.platform.StoreTopic
import io.daisybend.platform.readKeyedRecord

/** Returns the records of [topic] that can be read, and tells [log] of the others. */
internal fun ReadRecords.keyed(topic: StoreTopic, log: EventLog): List<KeyedRecord> = records.mapNotNull { bytes ->
    val record = readKeyedRecord(bytes)
    if (record == null) log.write("store-record-unreadable", "topic" to topic.name, "bytes" to bytes.size)
    record
}
