/*
 * Measures what a call between two daemons costs: bytes on the connection in both directions, processor time of both
 * ends together, and heap for each idle connection, at several payload sizes and numbers of connections.
 */
package io.daisybend.bench.slopes

import com.github.michaelbull.result.getOrElse
import com.sun.management.OperatingSystemMXBean
import io.daisybend.kernel.VmId
import io.daisybend.kernel.settings.HostAndPort
import io.daisybend.transport.PeerNetwork
import kotlinx.coroutines.runBlocking
import java.io.InputStream
import java.io.OutputStream
import java.lang.management.ManagementFactory
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

private const val WARM_UP_CALLS = 5_000
private const val MEASURED_CALLS = 20_000
private const val TIMEOUT_MS = 10_000L
private const val CHANNEL = "slopes"
private val listenerId = VmId("vm-000")
private val secret = "secret".toByteArray()
private val payloadSizesBytes = listOf(100, 400, 1_600)
private val connectionCounts = listOf(8, 16, 32)

/** Prints the table of costs. */
public fun main() {
    runBlocking {
        println("payload bytes | bytes a call, both directions | processor us a call, both ends")
        payloadSizesBytes.forEach { println("$it | ${callCost(it)}") }
        println("idle connections | heap bytes a connection, both ends")
        connectionCounts.forEach { println("$it | ${connectionBytes(it)}") }
    }
}

private suspend fun callCost(payloadBytes: Int): String {
    val listenAt = freeAddress()
    val listener = listenerAt(listenAt)
    val relay = CountingRelay(listenAt)
    val opener = PeerNetwork(VmId("vm-001"), secret, { relay.address })
    repeat(WARM_UP_CALLS) { opener.echo(payloadBytes) }
    val bytesBefore = relay.bytes.get()
    repeat(MEASURED_CALLS) { opener.echo(payloadBytes) }
    val bytesPerCall = (relay.bytes.get() - bytesBefore) / MEASURED_CALLS
    opener.close()
    relay.close()
    val direct = PeerNetwork(VmId("vm-002"), secret, { listenAt })
    repeat(WARM_UP_CALLS) { direct.echo(payloadBytes) }
    val cpuBeforeNanos = processCpuNanos()
    repeat(MEASURED_CALLS) { direct.echo(payloadBytes) }
    val microsPerCall = (processCpuNanos() - cpuBeforeNanos) / MEASURED_CALLS / NANOS_PER_MICRO
    direct.close()
    listener.close()
    return "$bytesPerCall | $microsPerCall"
}

private suspend fun connectionBytes(count: Int): Long {
    val listenAt = freeAddress()
    val listener = listenerAt(listenAt)
    val openers = List(count) { PeerNetwork(VmId("vm-${it + 1}"), secret, { listenAt }) }
    val before = usedHeapBytes()
    openers.forEach { it.echo(1) }
    val bytes = (usedHeapBytes() - before) / count
    openers.forEach { it.close() }
    listener.close()
    return bytes
}

private suspend fun listenerAt(address: HostAndPort): PeerNetwork {
    val listener = PeerNetwork(listenerId, secret, { null })
    listener.registerHandler(CHANNEL) { _, payload -> payload }
    listener.listen(address)
    return listener
}

private suspend fun PeerNetwork.echo(payloadBytes: Int) {
    call(listenerId, CHANNEL, ByteArray(payloadBytes), TIMEOUT_MS).getOrElse { error(it.message) }
}

private fun freeAddress() =
    ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { HostAndPort("127.0.0.1", it.localPort) }

private const val NANOS_PER_MICRO = 1_000L

private fun processCpuNanos(): Long =
    (ManagementFactory.getOperatingSystemMXBean() as OperatingSystemMXBean).processCpuTime

private fun usedHeapBytes(): Long {
    repeat(3) { System.gc() }
    return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
}

/** Passes one connection on to [target] and counts its bytes. */
private class CountingRelay(private val target: HostAndPort) {
    private val server = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
    val bytes = AtomicLong()
    val address = HostAndPort("127.0.0.1", server.localPort)

    init {
        thread(isDaemon = true) {
            val near = server.accept()
            val far = Socket(target.host, target.port)
            near.tcpNoDelay = true
            far.tcpNoDelay = true
            thread(isDaemon = true) { copy(near.getInputStream(), far.getOutputStream()) }
            copy(far.getInputStream(), near.getOutputStream())
        }
    }

    fun close() = server.close()

    private fun copy(from: InputStream, to: OutputStream) {
        val buffer = ByteArray(BUFFER_BYTES)
        try {
            var count = from.read(buffer)
            while (count > 0) {
                bytes.addAndGet(count.toLong())
                to.write(buffer, 0, count)
                count = from.read(buffer)
            }
        } catch (_: SocketException) {
            // The measurement has closed its connection.
        }
    }

    private companion object {
        const val BUFFER_BYTES = 65_536
    }
}
