/*
 * What the rate and the capacity of the weight store leave for one planning round.
 */
package io.daisybend.serving.residency

/** The loads from the weight store that may start now and that may be under way together. */
public data class StoreLoadAllowance(val starts: Int, val concurrent: Int)
