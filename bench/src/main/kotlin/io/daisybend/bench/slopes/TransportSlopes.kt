/*
 * Measures the cost of a call between two daemons: bytes sent in both directions, processor time of both ends together,
 * and heap memory per idle connection, at several payload sizes and numbers of connections.
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
private val sharedSecret = "secret".toByteArray()
private val payloadSizesBytes = listOf(100, 400, 1_600)
private val connectionCounts = listOf(8, 16, 32)

/** Prints the costs of the transport module. */
public fun main() {
    runBlocking {
        println("payload bytes | bytes a call, both directions | processor us a call, both ends")
        payloadSizesBytes.forEach { println("$it | ${measureCall(it)}") }
        println("idle connections | heap bytes a connection, both ends")
        connectionCounts.forEach { println("$it | ${measureConnectionBytes(it)}") }
    }
}

private suspend fun measureCall(payloadBytes: Int): String {
    val listenAddress = findFreeAddress()
    val listener = startListener(listenAddress)
    val relay = CountingRelay(listenAddress)
    val client = PeerNetwork(VmId("vm-001"), sharedSecret, { relay.address })
    repeat(WARM_UP_CALLS) { client.echo(payloadBytes) }
    val bytesBefore = relay.bytes.get()
    repeat(MEASURED_CALLS) { client.echo(payloadBytes) }
    val bytesPerCall = (relay.bytes.get() - bytesBefore) / MEASURED_CALLS
    client.close()
    relay.close()
    val direct = PeerNetwork(VmId("vm-002"), sharedSecret, { listenAddress })
    repeat(WARM_UP_CALLS) { direct.echo(payloadBytes) }
    val cpuBeforeNanos = processCpuNanos()
    repeat(MEASURED_CALLS) { direct.echo(payloadBytes) }
    val microsPerCall = (processCpuNanos() - cpuBeforeNanos) / MEASURED_CALLS / NANOS_PER_MICRO
    direct.close()
    listener.close()
    return "$bytesPerCall | $microsPerCall"
}

private suspend fun measureConnectionBytes(count: Int): Long {
    val listenAddress = findFreeAddress()
    val listener = startListener(listenAddress)
    val clients = List(count) { PeerNetwork(VmId("vm-${it + 1}"), sharedSecret, { listenAddress }) }
    val heapBytesBefore = usedHeapBytes()
    clients.forEach { it.echo(1) }
    val bytes = (usedHeapBytes() - heapBytesBefore) / count
    clients.forEach { it.close() }
    listener.close()
    return bytes
}

private suspend fun startListener(address: HostAndPort): PeerNetwork {
    val listener = PeerNetwork(listenerId, sharedSecret, { null })
    listener.registerHandler(CHANNEL) { _, payload -> payload }
    listener.listen(address)
    return listener
}

private suspend fun PeerNetwork.echo(payloadBytes: Int) {
    call(listenerId, CHANNEL, ByteArray(payloadBytes), TIMEOUT_MS).getOrElse { error(it.message) }
}

private fun findFreeAddress() =
    ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { HostAndPort("127.0.0.1", it.localPort) }

private const val NANOS_PER_MICRO = 1_000L

private fun processCpuNanos(): Long =
    (ManagementFactory.getOperatingSystemMXBean() as OperatingSystemMXBean).processCpuTime

private fun usedHeapBytes(): Long {
    repeat(3) { System.gc() }
    return Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() }
}

/** Relays one connection to [target] and counts its bytes in both directions. */
private class CountingRelay(private val target: HostAndPort) {
    private val server = ServerSocket(0, 1, InetAddress.getLoopbackAddress())
    val bytes = AtomicLong()
    val address = HostAndPort("127.0.0.1", server.localPort)

    init {
        thread(isDaemon = true) {
            val clientSocket = server.accept()
            val targetSocket = Socket(target.host, target.port)
            clientSocket.tcpNoDelay = true
            targetSocket.tcpNoDelay = true
            thread(isDaemon = true) { copy(clientSocket.getInputStream(), targetSocket.getOutputStream()) }
            copy(targetSocket.getInputStream(), clientSocket.getOutputStream())
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
            // The measurement closed its connection.
        }
    }

    private companion object {
        const val BUFFER_BYTES = 65_536
    }
}
