/*
 * Tests the submission of changes: success only after reading back, lost answers resolved by reading the log, and the
 * same outcome through another VM.
 */
package io.daisybend.configuration

import io.daisybend.kernel.LogFailure
import io.daisybend.kernel.TeamId
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

private class FakeView(
    override var state: ConfigurationState?,
    override var confirmedUntilMs: Long? = null,
    var hasMajority: Boolean = true,
) : FollowerView {
    override fun isReplayedByMajority(nextOffset: Long, nowMs: Long): Boolean = hasMajority
}

private val changeId = ChangeId("change")
private val records = encodeChange(changeId, ConfigurationChange.SetRates(1, TeamId("team-0"), 7, 8))
private val initialState = replayAll(encodeChange(ChangeId("first"), applyAll(smallManifest())))
private val lostAnswer = SubmitterEvent.AppendFailed(LogFailure.OutcomeUnknown("expected an answer, got none"))

private fun submitter(view: FollowerView) = ChangeSubmitter(changeId, records, view, deadlineMs = 5_000)

private fun List<SubmitterAction>.result() = single().shouldBeInstanceOf<SubmitterAction.Finish>().result

class ChangeSubmitterTest : FunSpec({
    test("success is reported only after the record was read back and most VMs have replayed it") {
        val view = FakeView(initialState, hasMajority = false)
        val submitter = submitter(view)
        submitter.handle(SubmitterEvent.Start, 0).single().shouldBeInstanceOf<SubmitterAction.Append>()
        submitter.handle(SubmitterEvent.Appended(1), 10) shouldBe listOf(SubmitterAction.RefreshFollower)
        view.state = replayAll(records, initialState)
        submitter.handle(SubmitterEvent.Tick, 20) shouldBe listOf(SubmitterAction.RefreshFollower)
        view.hasMajority = true
        submitter.handle(SubmitterEvent.Tick, 30).result() shouldBe SubmissionResult.Accepted(2)
    }

    test("a change that most VMs do not confirm before the deadline is reported as recorded only") {
        val view = FakeView(replayAll(records, initialState), hasMajority = false)
        val submitter = submitter(view)
        submitter.handle(SubmitterEvent.Start, 0) shouldBe listOf(SubmitterAction.RefreshFollower)
        submitter.handle(SubmitterEvent.Tick, 5_000).result() shouldBe SubmissionResult.RecordedOnly(2)
    }

    test("after a lost answer nothing is appended before the log has been read to its end") {
        val view = FakeView(initialState, confirmedUntilMs = 90)
        val submitter = submitter(view)
        submitter.handle(SubmitterEvent.Start, 0)
        submitter.handle(lostAnswer, 100) shouldBe listOf(SubmitterAction.RefreshFollower)
        submitter.handle(SubmitterEvent.Tick, 200) shouldBe listOf(SubmitterAction.RefreshFollower)
        view.confirmedUntilMs = 150
        submitter.handle(SubmitterEvent.Tick, 300).single().shouldBeInstanceOf<SubmitterAction.Append>()
    }

    test("if the record of a lost answer is read back, the change succeeds without a second append") {
        val view = FakeView(initialState)
        val submitter = submitter(view)
        submitter.handle(SubmitterEvent.Start, 0)
        submitter.handle(lostAnswer, 100)
        view.state = replayAll(records, initialState)
        submitter.handle(SubmitterEvent.Tick, 200).result() shouldBe SubmissionResult.Accepted(2)
        submitter.handle(SubmitterEvent.Tick, 300).shouldBeEmpty()
    }

    test("a change that is submitted again through another VM gets its outcome without an append") {
        submitter(FakeView(replayAll(records, initialState))).handle(SubmitterEvent.Start, 0).result() shouldBe
            SubmissionResult.Accepted(2)
    }

    test("a log that did not append the record is distinguished from one that may have appended it") {
        val logDown = submitter(FakeView(initialState))
        logDown.handle(SubmitterEvent.Start, 0)
        logDown.handle(
            SubmitterEvent.AppendFailed(LogFailure.Unavailable("expected the log, got none")),
            1,
        ).shouldBeEmpty()
        logDown.handle(SubmitterEvent.Tick, 5_000).result().shouldBeInstanceOf<SubmissionResult.Failed>()
            .failure.shouldBeInstanceOf<SubmissionFailure.LogUnavailable>()
        val answerLost = submitter(FakeView(initialState))
        answerLost.handle(SubmitterEvent.Start, 0)
        answerLost.handle(lostAnswer, 1)
        answerLost.handle(SubmitterEvent.Tick, 5_000).result() shouldBe
            SubmissionResult.Failed(SubmissionFailure.OutcomeUnknown(changeId))
    }

    test("every chunk of a large manifest is appended before the change that commits it") {
        val payloads = encodeChange(changeId, applyAll(sizedManifest(models = 100, adapters = 20_000)))
        val submitter = ChangeSubmitter(changeId, payloads, FakeView(ConfigurationState.INITIAL), deadlineMs = 5_000)
        var actions = submitter.handle(SubmitterEvent.Start, 0)
        payloads.forEachIndexed { offset, payload ->
            actions.single().shouldBeInstanceOf<SubmitterAction.Append>().payload shouldBe payload
            actions = submitter.handle(SubmitterEvent.Appended(offset.toLong()), 1)
        }
        actions shouldBe listOf(SubmitterAction.RefreshFollower)
    }
})
