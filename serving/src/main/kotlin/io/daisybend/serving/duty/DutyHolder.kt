/*
 * Identifies the holder of the order duty. Engines treat successive processes of one VM as the same holder; a VM that
 * replaces another under the same name has a different address.
 */
package io.daisybend.serving.duty

/** The process that started on [vm] at [host] when the wall clock read [startedAtMs]. */
public data class DutyHolder(val vm: String, val host: String, val startedAtMs: Long) {
    /** Returns whether [other] is a process of the same VM. */
    public fun isOnSameVm(other: DutyHolder): Boolean = vm == other.vm && host == other.host

    /** Returns the text form that [parse] reads. */
    override fun toString(): String = "$vm@$host@$startedAtMs"

    public companion object {
        private const val PARTS = 3

        /** Returns the holder in [text], or null when [text] does not have three parts and a start time. */
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
