package io.daisybend.serving.duty

import io.daisybend.serving.site.ClockReading
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

private val settings = DutySettings(handoverGapMs = 3_000)
private val other = DutyHolder("a", "10.0.0.1", 1)

private fun at(nowMs: Long) = ClockReading(nowMs, nowMs)

private fun heard(isHolder: Boolean) = DutyContact(isHolder, isAnyVmHeard = true, reportIntervalMs = 750)

class DutyForecastTest : FunSpec({
    val lease = DutyLease(DutyHolder("b", "10.0.0.2", 1), settings, at(0))
    lease.onPeerRecord(DutyRecord(other, epoch = 4, offset = 7), at(1_000))
    val forecast = DutyForecast(settings)
    fun outlookAt(nowMs: Long, contact: DutyContact) = forecast.outlook(lease.succession(at(nowMs)), contact)

    // At 75 VMs a frozen holder counted as alive for 3.2 s; callers were then refused after 150 ms without a time.
    test("a silent holder counts as holder until its newest record has expired, then the takeover is expected") {
        outlookAt(3_450, heard(isHolder = true)) shouldBe DutyOutlook.Held
        outlookAt(3_451, heard(isHolder = true)) shouldBe DutyOutlook.Expected(2_549 + 120)
        outlookAt(1_500, heard(isHolder = false)) shouldBe DutyOutlook.Expected(4_500 + 120)
    }

    // With the store down the takeover is never due; callers must not wait their whole patience for it.
    test("an overdue takeover is expected to take as long again") {
        outlookAt(6_000, heard(isHolder = false)) shouldBe DutyOutlook.Expected(120)
        outlookAt(6_050, heard(isHolder = false)) shouldBe DutyOutlook.Expected(120)
        outlookAt(16_000, heard(isHolder = false)) shouldBe DutyOutlook.Expected(10_000)
    }

    test("a VM without a record, or one that hears no other VM, does not know when orders are sent") {
        forecast.outlook(null, heard(isHolder = false)) shouldBe DutyOutlook.Unknown
        val alone = DutyContact(isHolderHeard = false, isAnyVmHeard = false, reportIntervalMs = 750)
        outlookAt(1_500, alone) shouldBe DutyOutlook.Unknown
    }

    // The window without loads was counted from the takeover, 3.3 s after the predecessor's last possible order.
    test("the right of a predecessor ends with the validity of its newest record, or before its VM's next process") {
        fun takeOver(vm: DutyHolder, atMs: Long): DutyPredecessor? {
            val successor = DutyLease(vm, settings, at(0))
            successor.onPeerRecord(DutyRecord(other, epoch = 4, offset = 7), at(1_000))
            successor.nextStep(at(atMs), rank = 0) shouldBe DutyStep.Append(8)
            successor.onAppendSent(8, at(atMs))
            successor.onAppended(at(atMs), 8, successor.epochFor(8)) shouldBe true
            return successor.predecessor
        }
        takeOver(DutyHolder("b", "10.0.0.2", 1), atMs = 6_000) shouldBe DutyPredecessor(other, rightEndedAtMs = 2_700)
        takeOver(DutyHolder("a", "10.0.0.1", 2), atMs = 1_100) shouldBe DutyPredecessor(other, rightEndedAtMs = 1_400)
    }

    test("the first holder of all has no predecessor, and a renewal keeps it") {
        val first = DutyLease(other, settings, at(0))
        first.onAppendSent(0, at(700))
        first.onAppended(at(700), 0, epoch = 1) shouldBe true
        first.predecessor shouldBe null
    }
})
