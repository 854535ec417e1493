/*
 * Priority classes of requests. The order of the constants is the order of precedence.
 */
package io.daisybend.scheduling

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How urgent a request is; interactive work goes before batch work without starving it. */
@Serializable
public enum class PriorityClass {
    @SerialName("interactive")
    INTERACTIVE,

    @SerialName("batch")
    BATCH,
}
