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

private const val STEPS = 600
private const val SCHEDULES = 3_000
private const val DEADLINE_MS = 10_000L
private val requestId = RequestId("request-1")
private val settings = StreamSettings(firstTokenTimeoutMs = 300L, inactivityTimeoutMs = 200L, probeTimeoutMs = 100L)

class TokenStreamTest : FunSpec({
    fun sound(settings: StreamSettings) = { requestId: RequestId, deadlineMs: Long, random: Random ->
        val stream = TokenStream(requestId, deadlineMs, { true }, settings, random)
        object : StreamUnderTest {
            override val isEnded get() = stream.isEnded

            override fun handle(event: StreamEvent, nowMs: Long) = stream.handle(event, nowMs)
        }
    }

    fun started(chosen: StreamSettings = settings, permit: RetryPermit = RetryPermit { true }) =
        TokenStream(requestId, DEADLINE_MS, permit, chosen, Random(1)).also { it.handle(StreamEvent.Started, 0L) }

    fun token(index: Int, attempt: Int = 0, finishReason: String? = null) =
        StreamEvent.TokenReceived(StreamToken(requestId, attempt, index, "t$index", finishReason))

    test("callers get exactly their own tokens in order, and every answer ends once") {
        var tokens = 0
        var finished = 0
        checkAll(PropTestConfig(seed = 1L, iterations = SCHEDULES), Arb.long()) { seed ->
            val hedged = settings.copy(hedgeAfterMs = 100L, maxAttemptsWithoutProgress = 20)
            val schedule = StreamSchedule(seed, sound(hedged)).run(STEPS).heal()
            schedule.violations.shouldBeEmpty()
            tokens += schedule.tokens
            finished += schedule.finished
        }
        println("streams: seed 1, $SCHEDULES schedules, $tokens tokens, $finished of ${4 * SCHEDULES} answers whole")
        finished shouldBeGreaterThan 4 * SCHEDULES * 9 / 10
    }

    test("the checker finds wrong tokens when everything that comes is forwarded") {
        violating("got") { _, _, _ -> ForwardingStream() } shouldBeGreaterThan 0
    }

    test("the checker finds tokens of an earlier attempt when attempts are not compared") {
        violating("after one of") { requestId, deadlineMs, random ->
            val hedged = settings.copy(hedgeAfterMs = 100L)
            AttemptBlindStream(requestId, TokenStream(requestId, deadlineMs, { true }, hedged, random))
        } shouldBeGreaterThan 0
    }

    test("the checker finds answers that never end when silence is not noticed") {
        violating("ended 0 times") { requestId, deadlineMs, random ->
            PatientStream(TokenStream(requestId, deadlineMs, { true }, settings, random))
        } shouldBeGreaterThan 0
    }

    test("a silent stream is probed and resumed on the same engine after the last delivered token") {
        val stream = started()
        stream.handle(token(0), 10L)
        stream.handle(StreamEvent.Tick, 210L) shouldBe listOf(StreamAction.Probe(0))
        stream.handle(StreamEvent.ProbeEnded(0, ProbeResult.Alive()), 215L) shouldBe listOf(StreamAction.Close(0))
        stream.handle(StreamEvent.Tick, 300L) shouldBe
            listOf(StreamAction.Open(1, StreamTarget.SameEngine(0), fromIndex = 1))
    }

    test("an engine that has generated nothing further is waited for") {
        val stream = started()
        stream.handle(token(0), 10L)
        stream.handle(StreamEvent.Tick, 210L)
        stream.handle(StreamEvent.ProbeEnded(0, ProbeResult.Alive(generatedTokens = 1)), 215L).shouldBeEmpty()
        stream.handle(token(1), 220L).size shouldBe 1
    }

    test("an engine that does not answer the probe is replaced by another replica") {
        val stream = started()
        stream.handle(StreamEvent.Tick, 300L)
        stream.handle(StreamEvent.Tick, 400L) shouldBe listOf(StreamAction.Close(0))
        stream.handle(StreamEvent.Tick, 500L) shouldBe
            listOf(StreamAction.Open(1, StreamTarget.OtherReplica(0), fromIndex = 0))
    }

    test("a request that no engine took fails as not run, one that may have run does not") {
        val refused = started(permit = { false })
        val lost = StreamEvent.AttemptLost(0, ExecutionStatus.NotRun)
        refused.handle(lost, 5L) shouldContain
            StreamAction.Fail(StreamFailure.RetryBudgetExhausted(0), ExecutionStatus.NotRun)
        val unknown = started(permit = { false })
        unknown.handle(lost.copy(status = ExecutionStatus.Unknown), 5L) shouldContain
            StreamAction.Fail(StreamFailure.RetryBudgetExhausted(0), ExecutionStatus.Unknown)
    }

    test("a hedge opens once before the first token, and the first token closes the other attempt") {
        val stream = started(settings.copy(hedgeAfterMs = 50L))
        stream.handle(StreamEvent.Tick, 50L) shouldBe
            listOf(StreamAction.Open(1, StreamTarget.OtherReplica(0), fromIndex = 0))
        stream.handle(StreamEvent.Tick, 60L).shouldBeEmpty()
        stream.handle(token(0, attempt = 1), 70L).first() shouldBe StreamAction.Close(0)
        stream.handle(token(1, attempt = 0), 80L).shouldBeEmpty()
    }

    test("a stream fails at its deadline and says nothing after it") {
        val stream = started()
        stream.handle(StreamEvent.Tick, DEADLINE_MS).last() shouldBe
            StreamAction.Fail(StreamFailure.DeadlineExceeded(0), ExecutionStatus.Unknown)
        stream.handle(token(0), DEADLINE_MS + 1).shouldBeEmpty()
    }
})

private suspend fun violating(
    symptom: String,
    newStream: (RequestId, Long, Random) -> StreamUnderTest,
): Int {
    var violating = 0
    checkAll(PropTestConfig(seed = 2L, iterations = 500), Arb.long()) { seed ->
        val schedule = StreamSchedule(seed, newStream).run(STEPS).heal()
        if (schedule.violations.any { symptom in it }) violating++
    }
    println("naive stream: seed 2, $violating of 500 schedules show: $symptom")
    return violating
}
