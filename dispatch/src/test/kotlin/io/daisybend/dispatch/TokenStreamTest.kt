package io.daisybend.dispatch

import io.daisybend.kernel.RequestId
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.random.Random

private const val STEP_COUNT = 600
private const val SCHEDULES = 3_000
private const val DEADLINE_MS = 10_000L
private val requestId = RequestId("request-1")
private val settings = StreamSettings(firstTokenTimeoutMs = 300L, inactivityTimeoutMs = 200L, probeTimeoutMs = 100L)

class TokenStreamTest : FunSpec({
    fun correctStream(settings: StreamSettings) = { requestId: RequestId, deadlineMs: Long, random: Random ->
        val stream = TokenStream(requestId, deadlineMs, { true }, settings, random)
        object : StreamUnderTest {
            override val isEnded get() = stream.isEnded

            override fun handle(event: StreamEvent, nowMs: Long) = stream.handle(event, nowMs)
        }
    }

    fun startedStream(custom: StreamSettings = settings, permit: RetryPermit = RetryPermit { true }) =
        TokenStream(requestId, DEADLINE_MS, permit, custom, Random(1)).also { it.handle(StreamEvent.Started, 0L) }

    fun token(index: Int, attempt: Int = 0, finishReason: String? = null) =
        StreamEvent.TokenReceived(StreamToken(requestId, attempt, index, "t$index", finishReason))

    test("callers get exactly their own tokens in order, and every response ends once") {
        var tokenCount = 0
        var finishedCount = 0
        checkAll(PropTestConfig(seed = 1L, iterations = SCHEDULES), Arb.long()) { seed ->
            val hedgedSettings = settings.copy(hedgeAfterMs = 100L, maxAttemptsWithoutProgress = 20)
            val schedule = StreamSchedule(seed, correctStream(hedgedSettings)).run(STEP_COUNT).endFaults()
            schedule.violations.shouldBeEmpty()
            tokenCount += schedule.tokenCount
            finishedCount += schedule.finishedCount
        }
        println("streams: seed 1, $SCHEDULES schedules, $tokenCount tokens, $finishedCount of ${4 * SCHEDULES} whole")
        finishedCount shouldBeGreaterThan 4 * SCHEDULES * 9 / 10
    }

    test("the checker detects wrong tokens if a stream forwards every received token") {
        countViolatingSchedules("got") { _, _, _ -> ForwardingStream() } shouldBeGreaterThan 0
    }

    test("the checker detects tokens of an earlier attempt if a stream ignores attempt numbers") {
        countViolatingSchedules("after one of") { requestId, deadlineMs, random ->
            val hedgedSettings = settings.copy(hedgeAfterMs = 100L)
            AttemptBlindStream(requestId, TokenStream(requestId, deadlineMs, { true }, hedgedSettings, random))
        } shouldBeGreaterThan 0
    }

    test("the checker detects responses that never end if a stream has no timeouts") {
        countViolatingSchedules("ended 0 times") { requestId, deadlineMs, random ->
            TimeoutFreeStream(TokenStream(requestId, deadlineMs, { true }, settings, random))
        } shouldBeGreaterThan 0
    }

    test("an inactive attempt is probed and resumed on the same engine after the last delivered token") {
        val stream = startedStream()
        stream.handle(token(0), 10L)
        stream.handle(StreamEvent.Tick, 210L) shouldBe listOf(StreamAction.Probe(0))
        stream.handle(StreamEvent.ProbeEnded(0, ProbeResult.Alive()), 215L) shouldBe listOf(StreamAction.Close(0))
        stream.handle(StreamEvent.Tick, 300L) shouldBe
            listOf(StreamAction.Open(1, StreamTarget.SameEngine(0), fromIndex = 1))
    }

    test("a stream keeps waiting for an engine that has generated no further token") {
        val stream = startedStream()
        stream.handle(token(0), 10L)
        stream.handle(StreamEvent.Tick, 210L)
        stream.handle(StreamEvent.ProbeEnded(0, ProbeResult.Alive(generatedTokens = 1)), 215L).shouldBeEmpty()
        stream.handle(token(1), 220L).size shouldBe 1
    }

    test("a stream reopens on another replica if the engine does not respond to the probe") {
        val stream = startedStream()
        stream.handle(StreamEvent.Tick, 300L)
        stream.handle(StreamEvent.Tick, 400L) shouldBe listOf(StreamAction.Close(0))
        stream.handle(StreamEvent.Tick, 500L) shouldBe
            listOf(StreamAction.Open(1, StreamTarget.OtherReplica(0), fromIndex = 0))
    }

    test("a request that no engine accepted fails as not run, and one that may have run fails as unknown") {
        val refusedStream = startedStream(permit = { false })
        val lostEvent = StreamEvent.AttemptLost(0, ExecutionStatus.NotRun)
        refusedStream.handle(lostEvent, 5L) shouldContain
            StreamAction.Fail(StreamFailure.RetryBudgetExhausted(0), ExecutionStatus.NotRun)
        val unknownStream = startedStream(permit = { false })
        unknownStream.handle(lostEvent.copy(status = ExecutionStatus.Unknown), 5L) shouldContain
            StreamAction.Fail(StreamFailure.RetryBudgetExhausted(0), ExecutionStatus.Unknown)
    }

    test("one hedge is opened before the first token, and the first token closes the other attempt") {
        val stream = startedStream(settings.copy(hedgeAfterMs = 50L))
        stream.handle(StreamEvent.Tick, 50L) shouldBe
            listOf(StreamAction.Open(1, StreamTarget.OtherReplica(0), fromIndex = 0))
        stream.handle(StreamEvent.Tick, 60L).shouldBeEmpty()
        stream.handle(token(0, attempt = 1), 70L).first() shouldBe StreamAction.Close(0)
        stream.handle(token(1, attempt = 0), 80L).shouldBeEmpty()
    }

    test("a stream fails at its deadline and emits no action afterwards") {
        val stream = startedStream()
        stream.handle(StreamEvent.Tick, DEADLINE_MS).last() shouldBe
            StreamAction.Fail(StreamFailure.DeadlineExceeded(0), ExecutionStatus.Unknown)
        stream.handle(token(0), DEADLINE_MS + 1).shouldBeEmpty()
    }
})

private suspend fun countViolatingSchedules(
    violation: String,
    newStream: (RequestId, Long, Random) -> StreamUnderTest,
): Int {
    var violatingCount = 0
    checkAll(PropTestConfig(seed = 2L, iterations = 500), Arb.long()) { seed ->
        val schedule = StreamSchedule(seed, newStream).run(STEP_COUNT).endFaults()
        if (schedule.violations.any { violation in it }) violatingCount++
    }
    println("naive stream: seed 2, $violatingCount of 500 schedules show: $violation")
    return violatingCount
}
