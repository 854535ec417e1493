/*
 * Submission: success only after reading back, lost answers settled by reading, the same answer through another VM.
 */
package io.daisybend.configuration

import io.daisybend.kernel.LogFailure
import io.daisybend.kernel.TeamId
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

private class ViewFake(
    override var state: ConfigurationState?,
    override var confirmedUntilMs: Long? = null,
    var majority: Boolean = true,
) : FollowerView {
    override fun isReplayedByMajority(nextOffset: Long, nowMs: Long): Boolean = majority
}

private val changeId = ChangeId("change")
private val records = encodeChange(changeId, ConfigurationChange.SetRates(1, TeamId("team-0"), 7, 8))
private val start = replayAll(encodeChange(ChangeId("first"), applyAll(smallManifest())))
private val lostAnswer = SubmitterEvent.AppendFailed(LogFailure.OutcomeUnknown("expected an answer, none came"))

private fun submitter(view: FollowerView) = ChangeSubmitter(changeId, records, view, deadlineMs = 5_000)

private fun List<SubmitterAction>.result() = single().shouldBeInstanceOf<SubmitterAction.Finish>().result

class ChangeSubmitterTest : FunSpec({
    test("success is told only after the record was read back and most VMs have replayed it") {
        val view = ViewFake(start, majority = false)
        val submitter = submitter(view)
        submitter.handle(SubmitterEvent.Start, 0).single().shouldBeInstanceOf<SubmitterAction.Append>()
        submitter.handle(SubmitterEvent.Appended(1), 10) shouldBe listOf(SubmitterAction.RefreshFollower)
        view.state = replayAll(records, start)
        submitter.handle(SubmitterEvent.Tick, 20) shouldBe listOf(SubmitterAction.RefreshFollower)
        view.majority = true
        submitter.handle(SubmitterEvent.Tick, 30).result() shouldBe SubmissionResult.Accepted(2)
    }

    test("without most VMs in time the change is told as recorded only") {
        val view = ViewFake(replayAll(records, start), majority = false)
        val submitter = submitter(view)
        submitter.handle(SubmitterEvent.Start, 0) shouldBe listOf(SubmitterAction.RefreshFollower)
        submitter.handle(SubmitterEvent.Tick, 5_000).result() shouldBe SubmissionResult.RecordedOnly(2)
    }

    test("after a lost answer nothing is appended before the log was read to its end") {
        val view = ViewFake(start, confirmedUntilMs = 90)
        val submitter = submitter(view)
        submitter.handle(SubmitterEvent.Start, 0)
        submitter.handle(lostAnswer, 100) shouldBe listOf(SubmitterAction.RefreshFollower)
        submitter.handle(SubmitterEvent.Tick, 200) shouldBe listOf(SubmitterAction.RefreshFollower)
        view.confirmedUntilMs = 150
        submitter.handle(SubmitterEvent.Tick, 300).single().shouldBeInstanceOf<SubmitterAction.Append>()
    }

    test("a lost answer whose record is read is a success without a second append") {
        val view = ViewFake(start)
        val submitter = submitter(view)
        submitter.handle(SubmitterEvent.Start, 0)
        submitter.handle(lostAnswer, 100)
        view.state = replayAll(records, start)
        submitter.handle(SubmitterEvent.Tick, 200).result() shouldBe SubmissionResult.Accepted(2)
        submitter.handle(SubmitterEvent.Tick, 300).shouldBeEmpty()
    }

    test("a change submitted again through another VM gets its outcome without an append") {
        submitter(ViewFake(replayAll(records, start))).handle(SubmitterEvent.Start, 0).result() shouldBe
            SubmissionResult.Accepted(2)
    }

    test("a log that never took the record is told apart from one that may have") {
        val down = submitter(ViewFake(start))
        down.handle(SubmitterEvent.Start, 0)
        down.handle(
            SubmitterEvent.AppendFailed(LogFailure.Unavailable("expected the log, it is down")),
            1,
        ).shouldBeEmpty()
        down.handle(SubmitterEvent.Tick, 5_000).result().shouldBeInstanceOf<SubmissionResult.Failed>()
            .failure.shouldBeInstanceOf<SubmissionFailure.LogUnavailable>()
        val lost = submitter(ViewFake(start))
        lost.handle(SubmitterEvent.Start, 0)
        lost.handle(lostAnswer, 1)
        lost.handle(SubmitterEvent.Tick, 5_000).result() shouldBe
            SubmissionResult.Failed(SubmissionFailure.OutcomeUnknown(changeId))
    }

    test("every part of a large manifest is appended before its commit") {
        val large = encodeChange(changeId, applyAll(sizedManifest(models = 100, adapters = 20_000)))
        val submitter = ChangeSubmitter(changeId, large, ViewFake(ConfigurationState.INITIAL), deadlineMs = 5_000)
        var actions = submitter.handle(SubmitterEvent.Start, 0)
        large.forEachIndexed { offset, payload ->
            actions.single().shouldBeInstanceOf<SubmitterAction.Append>().payload shouldBe payload
            actions = submitter.handle(SubmitterEvent.Appended(offset.toLong()), 1)
        }
        actions shouldBe listOf(SubmitterAction.RefreshFollower)
    }
})
