/*
 * The fleet as the holder of the order duty needs it.
 */
package io.daisybend.entry.orders

import io.daisybend.entry.peers.EndpointUse
import io.daisybend.entry.peers.WantReport

/** What the order duty needs to know of the fleet. */
internal interface DutyView {
    /** Uses of all VMs, this one among them, by endpoint. */
    fun allUses(): Map<String, List<EndpointUse>>

    /** What requests of all VMs wait for. */
    fun allWants(): List<WantReport>

    /** Requests for models and adapters of all VMs since their starts, by VM and start. */
    fun allRequestCounts(): Map<String, Map<String, Int>>

    /** Tells the peers at once what engines have come to hold. */
    fun announceSoon()
}
