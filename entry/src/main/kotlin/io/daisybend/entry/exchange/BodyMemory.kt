/*
 * Limits the total memory of request bodies. A body is kept until its request is answered, because a retry sends it
 * again.
 */
package io.daisybend.entry.exchange

import java.util.concurrent.atomic.AtomicLong

/** A memory budget of [limitBytes] for all request bodies. */
internal class BodyMemory(private val limitBytes: Long = Runtime.getRuntime().maxMemory() / HEAP_DIVISOR) {
    private val usedBytes = AtomicLong()

    /** Memory in use by request bodies, in bytes. */
    val bytesInUse: Long get() = usedBytes.get()

    /** Returns an empty allocation for one request. */
    fun newAllocation() = Allocation()

    /** Memory reserved for the body of one request. */
    inner class Allocation {
        private var reservedBytes = 0L

        /** Reserves [byteCount] bytes; returns false and reserves nothing if the budget is exhausted. */
        fun tryReserve(byteCount: Int): Boolean {
            if (usedBytes.addAndGet(byteCount.toLong()) > limitBytes) {
                usedBytes.addAndGet(-byteCount.toLong())
                return false
            }
            reservedBytes += byteCount
            return true
        }

        /** Releases all memory of this allocation. */
        fun release() {
            usedBytes.addAndGet(-reservedBytes)
            reservedBytes = 0
        }
    }

    private companion object {
        /** Bodies may use the heap size divided by this; connections and responses need the rest. */
        const val HEAP_DIVISOR = 4
    }
}
