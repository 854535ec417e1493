/*
 * Records of the lease of the order duty. The store may come back from an older copy; it is then in a new era and gives
 * offsets out again. Epochs contain the number of eras before, so that they increase over all eras.
 */
package io.daisybend.serving.duty

/** The era of a store that never came back from an older copy. */
public const val FIRST_STORE_ERA: Long = 1

/** A record of the lease at [offset] of the log; [epoch] increases with each change of the holder. */
public data class DutyRecord(val holder: DutyHolder, val epoch: Long, val offset: Long) {
    /** The era of the store in which the holder took the duty. */
    public val era: Long get() = FIRST_STORE_ERA + (epoch shr OFFSET_BITS)

    public companion object {
        /** Bits of an epoch that hold an offset. */
        private const val OFFSET_BITS = 32

        /** Returns the epoch of a holder that takes the duty with the record at [offset] in [era]. */
        public fun epochAt(era: Long, offset: Long): Long = ((era - FIRST_STORE_ERA) shl OFFSET_BITS) + offset + 1
    }
}
