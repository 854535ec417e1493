/*
 * Names who holds the order duty. Two processes of one machine, one after the other, are one holder to engines; a
 * machine that takes another's place has another address.
 */
package io.daisybend.serving.duty

/** The process that started at [startedAtMs] of the wall clock on the machine [vm] at [host]. */
public data class DutyHolder(val vm: String, val host: String, val startedAtMs: Long) {
    /** Whether [other] runs or ran on the same machine. */
    public fun isOnSameVm(other: DutyHolder): Boolean = vm == other.vm && host == other.host

    /** The form that [parse] reads. */
    override fun toString(): String = "$vm@$host@$startedAtMs"

    public companion object {
        private const val PARTS = 3

        /** Returns the holder that [text] names, or null when it names none. */
        public fun parse(text: String): DutyHolder? {
            val parts = text.split('@')
            val startedAtMs = parts.getOrNull(PARTS - 1)?.toLongOrNull()
            return if (parts.size == PARTS && startedAtMs != null) {
                DutyHolder(parts[0], parts[1], startedAtMs)
            } else {
                null
            }
        }
    }
}
