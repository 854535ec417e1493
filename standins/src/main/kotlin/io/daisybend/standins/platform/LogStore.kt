/*
 * The stand-in's append-only log. Each stream retains a limited number of its newest records.
 */
package io.daisybend.standins.platform

import kotlinx.serialization.Serializable

/** Record of a read response; [payload] is Base64. */
@Serializable
public data class WireRecord(val offset: Long, val payload: String)

/** Response to a read. */
@Serializable
public data class WireBatch(val firstOffset: Long, val nextOffset: Long, val records: List<WireRecord>)

/** Response to an append. */
@Serializable
public data class WireAppended(val offset: Long)

internal class LogStore {
    private class Stream {
        val records = ArrayDeque<WireRecord>()
        var nextOffset = 0L
        val firstOffset: Long get() = nextOffset - records.size
    }

    private val streams = HashMap<String, Stream>()

    @Synchronized
    fun append(stream: String, payload: String, retentionRecords: Int): Long {
        val target = streams.getOrPut(stream) { Stream() }
        val offset = target.nextOffset++
        target.records += WireRecord(offset, payload)
        while (target.records.size > retentionRecords) target.records.removeFirst()
        return offset
    }

    /**
     * Returns up to [max] records starting at offset [from], with the retained range of offsets. Returns no records if
     * [from] has expired.
     */
    @Synchronized
    fun read(stream: String, from: Long, max: Int): WireBatch {
        val source = streams.getOrPut(stream) { Stream() }
        val start = (from - source.firstOffset).coerceIn(0, source.records.size.toLong()).toInt()
        val end = (start.toLong() + max).coerceAtMost(source.records.size.toLong()).toInt()
        val records = if (from < source.firstOffset) emptyList() else source.records.subList(start, end).toList()
        return WireBatch(source.firstOffset, source.nextOffset, records)
    }
}
