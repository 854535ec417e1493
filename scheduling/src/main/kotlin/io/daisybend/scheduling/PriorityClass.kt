/*
 * Defines the priority classes of requests, in order of precedence.
 */
package io.daisybend.scheduling

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The priority class of a request; interactive requests take precedence over batch requests but do not starve them. */
@Serializable
public enum class PriorityClass {
    @SerialName("interactive")
    INTERACTIVE,

    @SerialName("batch")
    BATCH,
}
