package io.daisybend.entry

import io.daisybend.entry.standin.Behaviour
import io.daisybend.entry.standin.withSite
import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.launch
import kotlin.time.Duration.Companion.seconds

private const val CALLERS = 50
private const val CALLS_EACH = 40
private const val TIMEOUT_MS = 250L

class ConnectionLeakTest : FunSpec({
    // The connection of a response that arrived as the wait for it ended was neither closed nor kept for reuse.
    test("no connection to an endpoint is left open by responses that arrive at the deadline") {
        withSite {
            configure(timeoutMs = TIMEOUT_MS)
            endpoints.forEach { endpoint ->
                repeat(CALLERS * CALLS_EACH * 2) { endpoint.behaviours.add(Behaviour.AT_DEADLINE) }
            }
            val callers = List(CALLERS) {
                scope.launch(Dispatchers.IO) {
                    repeat(CALLS_EACH) {
                        val caller = connect()
                        runCatching { caller.call("POST", "/once/x", "1") }
                        caller.close()
                    }
                }
            }
            callers.forEach { it.join() }
            eventually(5.seconds) { endpoints.sumOf { it.connectionCount() } shouldBe 0 }
        }
    }
})
