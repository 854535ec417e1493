/*
 * Ports for stand-ins and for the processes that are tried against them.
 */
package io.daisybend.standins

import java.net.InetAddress
import java.net.ServerSocket
import kotlin.random.Random

/** Below the range from which connections take their ports, which could be taken before a listener starts. */
private val LISTENER_PORTS = 12_000..32_000

/** Returns a port of the loopback address that nobody listens at. */
public fun freePort(): Int = generateSequence { Random.nextInt(LISTENER_PORTS.first, LISTENER_PORTS.last) }
    .first { port -> runCatching { ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close() }.isSuccess }

/** Returns [count] such ports, all different. */
public fun freePorts(count: Int): List<Int> = generateSequence { freePort() }.distinct().take(count).toList()
