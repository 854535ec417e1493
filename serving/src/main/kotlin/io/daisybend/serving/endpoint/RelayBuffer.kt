/*
 * The newest records of the list of endpoints that a reader passes on, in pieces that fit into datagrams.
 */
package io.daisybend.serving.endpoint

/** Keeps the records that were applied last, whoever read them; not thread-safe. */
public class RelayBuffer {
    /** A piece of the log in [era] from offset [from]. */
    public data class Piece(val era: Long, val from: Long, val records: List<RelayedRecord>)

    private var era = Long.MIN_VALUE
    private var from = 0L
    private val records = ArrayDeque<RelayedRecord>()

    /** The offset before which all records were in pieces that were taken. */
    private var takenTo = 0L

    /** Adds [added], which led to [position]; what is kept does not fit if other records lie between. */
    public fun add(added: List<RelayedRecord>, position: ListPosition) {
        val addedFrom = position.nextOffset - added.size
        if (position.era != era || addedFrom != from + records.size) {
            era = position.era
            from = addedFrom
            takenTo = addedFrom
            records.clear()
        }
        records.addAll(added)
        // A record that fits into no datagram leaves a gap, so that the others read the list themselves.
        val tooLarge = records.indexOfLast { it.size > MAX_RECORD_BYTES }
        drop(maxOf(tooLarge + 1, records.size - MAX_RECORDS))
    }

    /** Counts all records as taken, while this VM does not read for others. */
    public fun skip() {
        takenTo = from + records.size
    }

    /**
     * Returns all records since the last call, in pieces of at most [maxBytes] unless one record is larger. A single
     * piece that is smaller than [minBytes] begins with records that were taken before, up to that size: others may
     * have missed them.
     */
    public fun take(maxBytes: Int, minBytes: Int): List<Piece> {
        val pieces = ArrayList<Piece>()
        var index = (takenTo - from).toInt().coerceAtLeast(0)
        var bytes = 0
        var start = index
        while (index < records.size) {
            val size = records[index].size
            if (index > start && bytes + size > maxBytes) {
                pieces.add(pieceOf(start, index))
                start = index
                bytes = 0
            }
            bytes += size
            index++
        }
        if (pieces.isEmpty()) {
            while (start > 0 && bytes + records[start - 1].size <= minBytes) bytes += records[--start].size
        }
        pieces.add(pieceOf(start, index))
        skip()
        return pieces
    }

    private fun pieceOf(start: Int, end: Int) = Piece(era, from + start, records.subList(start, end).toList())

    private fun drop(count: Int) = repeat(count) {
        records.removeFirst()
        from++
    }

    private val RelayedRecord.size: Int get() = RECORD_BYTES + key.length + (value?.length ?: 0)

    private companion object {
        /** Bytes of a record beside its key and value: the names of the fields. */
        const val RECORD_BYTES = 24
        const val MAX_RECORDS = 2_000
        const val MAX_RECORD_BYTES = 32_768
    }
}
