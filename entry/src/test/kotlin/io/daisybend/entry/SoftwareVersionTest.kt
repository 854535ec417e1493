package io.daisybend.entry

import io.daisybend.entry.peers.PeerReport
import io.daisybend.entry.peers.StreamOriginReport
import io.daisybend.entry.peers.peerReport
import io.daisybend.entry.peers.toStreamReports
import io.daisybend.entry.standin.Behaviour
import io.daisybend.entry.standin.FakeEndpoint
import io.daisybend.entry.standin.Resumption
import io.daisybend.entry.standin.Site
import io.daisybend.entry.standin.TestCaller
import io.daisybend.entry.standin.withSite
import io.daisybend.kernel.encodeCbor
import io.daisybend.serving.stream.SoftwareVersion
import io.daisybend.serving.stream.StreamOrigins
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import java.net.DatagramPacket
import java.net.DatagramSocket
import java.net.InetAddress
import kotlin.time.Duration.Companion.seconds

private fun events(from: Int, to: Int = FakeEndpoint.EVENTS) =
    (from..to).joinToString("") { "id: $it\ndata: $it\n\n" }

/** Sends a stream request that breaks off after its third event; returns its attempt id and the endpoint. */
private suspend fun Site.beginAndBreak(): Pair<String, FakeEndpoint> {
    queueForAll(Behaviour.BREAK_MID_EVENT)
    val id = TestCaller.nextId()
    val caller = connect()
    caller.send("POST", "/stream/x", "prompt", id = id)
    caller.readUntilEnd() shouldBe events(1, 3)
    val endpoint = endpoints.single { it.ran.isNotEmpty() }
    endpoints.forEach { it.behaviours.clear() }
    endpoints.forEach { it.ran.clear() }
    return id to endpoint
}

private suspend fun Site.resume(attemptId: String?) = connect().run {
    send("POST", "/stream/x", "prompt", resumes = Resumption(attemptId, "3"))
    read()
}

/** Lets a peer report that [attemptId] began at [version]. */
private fun Site.reportOrigin(attemptId: String, version: SoftwareVersion, sequence: Long) {
    val origins = StreamOrigins()
    origins.onListed(mapOf("s1" to setOf(SoftwareVersion("v1"), SoftwareVersion("v2"))), nowMs = 0)
    origins.onBegun(attemptId, "s1", version, nowMs = 0)
    send(origins.reportAll(nowMs = 0).toStreamReports(), sequence)
}

private fun Site.send(streams: List<StreamOriginReport>, sequence: Long) {
    val report = peerReport("vm-2", sequence).copy(streams = streams)
    val bytes = encodeCbor(PeerReport.serializer(), report)
    DatagramSocket().use { it.send(DatagramPacket(bytes, bytes.size, InetAddress.getLoopbackAddress(), peerPort)) }
}

class SoftwareVersionTest : FunSpec({
    test("a stream that breaks off is not resumed at an engine of another software version") {
        withSite(prepare = { endpoints[1].version = "v2" }) {
            configure()
            repeat(3) { beginAndBreak() }
        }
    }

    test("a stream that its caller takes up goes on at the version that began it") {
        withSite(prepare = { endpoints[1].version = "v2" }) {
            configure()
            repeat(4) {
                val (id, endpoint) = beginAndBreak()
                resume(id).body shouldBe events(4)
                endpoints.filter { it.ran.isNotEmpty() } shouldBe listOf(endpoint)
                endpoints.forEach { it.ran.clear() }
            }
        }
    }

    test("a stream that began at another VM goes on at the version that this VM reports") {
        withSite(prepare = { endpoints[1].version = "v2" }) {
            configure()
            repeat(4) { index ->
                val version = SoftwareVersion("v${1 + index % 2}")
                reportOrigin("elsewhere-$index", version, sequence = index + 1L)
                resume("elsewhere-$index").body shouldBe events(4)
                endpoints.single { it.ran.isNotEmpty() }.version shouldBe version.name
                endpoints.forEach { it.ran.clear() }
            }
        }
    }

    test("a stream of unknown origin is refused as not run while engines of two versions are listed") {
        withSite(prepare = { endpoints[1].version = "v2" }) {
            configure()
            listOf("elsewhere", null).forEach { attemptId ->
                val response = resume(attemptId)
                response.status shouldBe 503
                response.head.headers.map { it.name } shouldContain "Retry-After"
            }
            ran.shouldBeEmpty()
        }
    }

    test("a stream of unknown origin goes on while all engines have one version") {
        withSite {
            configure()
            eventually(5.seconds) { resume("elsewhere").body shouldBe events(4) }
        }
    }
})
