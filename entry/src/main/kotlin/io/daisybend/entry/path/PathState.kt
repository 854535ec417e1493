/*
 * What the parts of this VM that send requests know of its paths to endpoints.
 */
package io.daisybend.entry.path

import io.daisybend.platform.SocketAddress
import io.daisybend.serving.endpoint.Endpoint

/** The direct paths of this VM to endpoints. */
internal interface PathState {
    /** Whether this VM is cut off from all endpoints. */
    val isCutOff: Boolean

    /** Returns whether the endpoint at [address] is up but can't be reached directly. */
    fun isDown(address: SocketAddress): Boolean

    /** Returns whether peers can't reach the endpoint at [address] either. */
    fun isDownForAll(address: SocketAddress): Boolean

    /** Returns whether this VM reaches an endpoint other than that at [address] directly, or knows no other. */
    suspend fun reachesOther(address: SocketAddress): Boolean

    /** Records whether a peer [reached] the endpoint at [address], or none of those that were asked did. */
    fun onPeer(address: SocketAddress, reached: Boolean)
}

/** The address of the endpoint. */
internal val Endpoint.address: SocketAddress get() = SocketAddress(entry.host, entry.port)

/** Returns whether [endpoint] is up but can't be reached directly, so that lost connections say nothing of it. */
internal fun PathState.isDown(endpoint: Endpoint): Boolean =
    isDown(endpoint.address) && !isDownForAll(endpoint.address)
