package io.daisybend.entry.relay

import io.daisybend.entry.standin.withSite
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.async
import kotlinx.coroutines.delay

class RelayStopTest : FunSpec({
    test("a VM relays on its peer port, and its stop takes no new relay and waits for those that are open") {
        withSite {
            configure()
            RelayRig().use { rig ->
                val peer = rig.peerAt(peerPort)
                rig.connect(rig.target, peer) shouldBe RelayResult.PeerUnavailable("not listed")
                val connected = rig.connect(endpointAddress, peer).shouldBeInstanceOf<RelayResult.Connected>()
                val startedAtMs = nowMs()
                val stopping = scope.async { vm.stop() }
                delay(1_500)
                rig.connect(endpointAddress, peer).shouldBeInstanceOf<RelayResult.PeerUnavailable>()
                connected.connection.isReusable shouldBe false
                connected.connection.close()
                stopping.await()
                nowMs() - startedAtMs shouldBeInRange 1_500L..2_000L
            }
        }
    }
})
