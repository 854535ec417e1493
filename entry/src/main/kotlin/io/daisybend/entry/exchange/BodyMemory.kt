/*
 * Bounds the memory that the bodies of callers' requests take together. A body is kept whole until its request is
 * answered, since a repeat sends it again.
 */
package io.daisybend.entry.exchange

import java.util.concurrent.atomic.AtomicLong

/** Memory of [limitBytes] for all bodies. */
internal class BodyMemory(private val limitBytes: Long = Runtime.getRuntime().maxMemory() / HEAP_PARTS) {
    private val usedBytes = AtomicLong()

    /** Bytes that bodies take now. */
    val used: Long get() = usedBytes.get()

    /** Returns the share of one request, empty at first. */
    fun share() = Share()

    /** What one request's body takes. */
    inner class Share {
        private var bytes = 0L

        /** Takes [more] bytes; returns false, and takes none, when the memory has no room for them. */
        fun take(more: Int): Boolean {
            if (usedBytes.addAndGet(more.toLong()) > limitBytes) {
                usedBytes.addAndGet(-more.toLong())
                return false
            }
            bytes += more
            return true
        }

        /** Gives all of the share back. */
        fun giveBack() {
            usedBytes.addAndGet(-bytes)
            bytes = 0
        }
    }

    private companion object {
        /** Bodies may take one part in this many of the heap: connections and answers need the rest. */
        const val HEAP_PARTS = 4
    }
}
