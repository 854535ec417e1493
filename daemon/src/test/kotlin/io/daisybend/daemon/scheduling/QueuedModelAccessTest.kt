package io.daisybend.daemon.scheduling

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrElse
import io.daisybend.configuration.EndpointKind
import io.daisybend.configuration.EndpointSpec
import io.daisybend.configuration.KeyId
import io.daisybend.daemon.request.Caller
import io.daisybend.daemon.request.ConfigurationIndex
import io.daisybend.daemon.request.ConfigurationView
import io.daisybend.daemon.request.EndpointGrant
import io.daisybend.daemon.request.ModelAccess
import io.daisybend.daemon.request.ModelRequest
import io.daisybend.daemon.request.Priority
import io.daisybend.daemon.request.RequestFailure
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.FailureDomainId
import io.daisybend.kernel.MillisClock
import io.daisybend.kernel.ModelId
import io.daisybend.kernel.RequestId
import io.daisybend.kernel.TeamId
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.yield

private val engine = EndpointSpec(
    endpointId = EndpointId("engine-1"),
    kind = EndpointKind.ENGINE,
    address = "127.0.0.1:1",
    failureDomainId = FailureDomainId("d"),
    maxConcurrentRequests = 1,
)

private fun request(id: String, team: String = "large", priority: Priority = Priority.INTERACTIVE, deadlineMs: Long) =
    ModelRequest(
        requestId = RequestId(id),
        caller = Caller(TeamId(team), KeyId("k")),
        modelId = ModelId("m"),
        adapterId = null,
        prompt = "p",
        promptTokens = 500,
        maxOutputTokens = 500,
        priority = priority,
        deadlineMs = deadlineMs,
    )

private object NoConfiguration : ConfigurationView {
    override fun current(): ConfigurationIndex? = null
}

/** Grants [engine] immediately and counts the grants that have not been released. */
private class SingleEngineAccess : ModelAccess {
    var openGrants = 0

    override suspend fun acquire(request: ModelRequest): Result<EndpointGrant, RequestFailure> {
        openGrants++
        return Ok(
            object : EndpointGrant {
                override val endpoint = engine

                override suspend fun release() {
                    openGrants--
                }
            },
        )
    }
}

class QueuedModelAccessTest : FunSpec({
    val clock = MillisClock { 0L }

    fun access(engineAccess: ModelAccess) = QueuedModelAccess(engineAccess, EndpointQueues(NoConfiguration, clock))

    suspend fun QueuedModelAccess.grant(request: ModelRequest) = acquire(request).getOrElse { error(it.message) }

    test("a small team's interactive request gets the next slot ahead of a batch backlog") {
        val access = access(SingleEngineAccess())
        val running = access.grant(request("r-0", priority = Priority.BATCH, deadlineMs = 1_000_000))
        val batch = List(5) {
            async(start = CoroutineStart.UNDISPATCHED) {
                access.grant(request("b-$it", priority = Priority.BATCH, deadlineMs = 1_000_000))
            }
        }
        val interactive = async(start = CoroutineStart.UNDISPATCHED) {
            access.grant(request("u", team = "small", deadlineMs = 1_000_000))
        }
        running.release()
        interactive.await().release()
        batch.forEach { it.await().release() }
    }

    test("a request that cannot start before its deadline is refused and its endpoint grant is released") {
        val engineAccess = SingleEngineAccess()
        val access = access(engineAccess)
        val running = access.grant(request("r-0", deadlineMs = 1_000_000))
        val refused = access.acquire(request("late", deadlineMs = 1_000))
        refused.getError().shouldBeInstanceOf<RequestFailure.Overloaded>()
        running.release()
        engineAccess.openGrants shouldBe 0
    }

    test("a queued request whose caller disconnects releases its place in the queue") {
        val engineAccess = SingleEngineAccess()
        val access = access(engineAccess)
        val running = access.grant(request("r-0", deadlineMs = 1_000_000))
        val cancelled = async(start = CoroutineStart.UNDISPATCHED) {
            access.grant(request("gone", deadlineMs = 1_000_000))
        }
        yield()
        cancelled.cancelAndJoin()
        running.release()
        access.grant(request("next", deadlineMs = 1_000_000)).release()
        engineAccess.openGrants shouldBe 0
    }
})
