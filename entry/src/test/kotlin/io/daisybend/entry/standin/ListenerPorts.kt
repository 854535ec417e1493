package io.daisybend.entry.standin

import java.net.DatagramSocket
import java.net.ServerSocket
import java.util.concurrent.ConcurrentHashMap

/** Ports for listeners, below the ephemeral port range, so that no connection takes one before it is bound. */
internal object ListenerPorts {
    private val range = 12_000 until 32_000
    private val handedOut = ConcurrentHashMap.newKeySet<Int>()

    /** Returns an unused port that no earlier call has returned: a site asks for all its ports before it binds one. */
    fun next(): Int = generateSequence { range.random() }.first { handedOut.add(it) && isUnused(it) }

    private fun isUnused(port: Int) = runCatching {
        ServerSocket(port).close()
        DatagramSocket(port).close()
    }.isSuccess
}
