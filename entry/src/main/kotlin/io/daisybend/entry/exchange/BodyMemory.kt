/*
 * Bounds the memory that the bodies of callers' requests take together. A body is kept whole until its request is
 * answered, since a repeat sends it again.
 */
package io.daisybend.entry.exchange

import java.util.concurrent.atomic.AtomicLong

/** Memory of [limitBytes] for all bodies. */
internal class BodyMemory(private val limitBytes: Long = Runtime.getRuntime().maxMemory() / HEAP_DIVISOR) {
    private val usedBytes = AtomicLong()

    /** Bytes that bodies take now. */
    val bytesInUse: Long get() = usedBytes.get()

    /** Returns the share of one request, empty at first. */
    fun newAllocation() = Allocation()

    /** What one request's body takes. */
    inner class Allocation {
        private var reservedBytes = 0L

        /** Takes [more] bytes; returns false, and takes none, when the memory has no room for them. */
        fun tryReserve(byteCount: Int): Boolean {
            if (usedBytes.addAndGet(byteCount.toLong()) > limitBytes) {
                usedBytes.addAndGet(-byteCount.toLong())
                return false
            }
            reservedBytes += byteCount
            return true
        }

        /** Gives all of the share back. */
        fun release() {
            usedBytes.addAndGet(-reservedBytes)
            reservedBytes = 0
        }
    }

    private companion object {
        /** Bodies may take one part in this many of the heap: connections and answers need the rest. */
        const val HEAP_DIVISOR = 4
    }
}
