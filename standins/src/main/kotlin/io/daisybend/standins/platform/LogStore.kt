/*
 * The stand-in's append-only log: streams of records with offsets, kept up to a number of records a stream.
 */
package io.daisybend.standins.platform

import kotlinx.serialization.Serializable

/** One record on the wire; [payload] is Base64. */
@Serializable
public data class WireRecord(val offset: Long, val payload: String)

/** The answer to a read. */
@Serializable
public data class WireBatch(val firstOffset: Long, val nextOffset: Long, val records: List<WireRecord>)

/** The answer to an append. */
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

    /** Returns up to [max] records from [from], or none with the kept range when [from] has expired. */
    @Synchronized
    fun read(stream: String, from: Long, max: Int): WireBatch {
        val source = streams.getOrPut(stream) { Stream() }
        val skipped = (from - source.firstOffset).coerceIn(0, source.records.size.toLong()).toInt()
        val last = (skipped.toLong() + max).coerceAtMost(source.records.size.toLong()).toInt()
        val records = if (from < source.firstOffset) emptyList() else source.records.subList(skipped, last).toList()
        return WireBatch(source.firstOffset, source.nextOffset, records)
    }
}
