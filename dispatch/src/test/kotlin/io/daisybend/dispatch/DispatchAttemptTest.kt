package io.daisybend.dispatch

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

class DispatchAttemptTest : FunSpec({
    val steps = listOf(
        DispatchEvent.Started,
        DispatchEvent.Connected,
        DispatchEvent.RequestWritten,
        DispatchEvent.ResponseStarted(200),
        DispatchEvent.ResponseEnded,
    )

    fun attemptAfter(events: List<DispatchEvent>) = DispatchAttempt(deadlineMs = 100L).also { attempt ->
        events.forEach { attempt.handle(it, nowMs = 0L) }
    }

    test("a lost connection means not run before the first write, and unknown from then on") {
        val statuses = steps.indices.map { count ->
            attemptAfter(steps.take(count)).handle(DispatchEvent.ConnectionLost, nowMs = 0L)
        }
        statuses shouldBe listOf(
            DispatchAction.End(ExecutionStatus.NotRun),
            DispatchAction.End(ExecutionStatus.NotRun),
            DispatchAction.End(ExecutionStatus.Unknown),
            DispatchAction.End(ExecutionStatus.Unknown),
            DispatchAction.End(ExecutionStatus.Unknown),
        )
    }

    test("the status line alone marks a call as not run if the endpoint refuses it before running") {
        val refused = attemptAfter(steps.take(3) + DispatchEvent.ResponseStarted(429, reportsNotRun = true))
        refused.handle(DispatchEvent.ConnectionLost, nowMs = 0L) shouldBe DispatchAction.End(ExecutionStatus.NotRun)
    }

    test("a server error means failed, and any other complete response means completed") {
        val failed = attemptAfter(steps.take(3) + DispatchEvent.ResponseStarted(503))
        failed.handle(DispatchEvent.ResponseEnded, nowMs = 0L) shouldBe DispatchAction.End(ExecutionStatus.Failed)
        val completed = attemptAfter(steps.take(3) + DispatchEvent.ResponseStarted(404))
        completed.handle(DispatchEvent.ResponseEnded, nowMs = 0L) shouldBe DispatchAction.End(ExecutionStatus.Completed)
    }

    test("an attempt that was suspended past its deadline writes nothing") {
        val attempt = attemptAfter(steps.take(1))
        attempt.handle(DispatchEvent.Connected, nowMs = 100L) shouldBe DispatchAction.End(ExecutionStatus.NotRun)
    }

    test("an attempt ends once") {
        val attempt = attemptAfter(steps)
        attempt.step shouldBe DispatchStep.ENDED
        attempt.handle(DispatchEvent.ConnectionLost, nowMs = 0L) shouldBe null
    }
})
