package io.daisybend.entry.standin

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeUnique

class ListenerPortsTest : FunSpec({
    test("no port is handed out twice") {
        List(1_000) { ListenerPorts.next() }.shouldBeUnique()
    }
})
