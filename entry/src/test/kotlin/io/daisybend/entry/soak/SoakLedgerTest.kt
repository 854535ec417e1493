package io.daisybend.entry.soak

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly

/** A ledger with a clock that the tests set. */
private class HandMade {
    var nowMs = 0L
    val timeline = SoakTimeline(clockMs = { nowMs })
    val ledger = SoakLedger(timeline)
    val rules get() = ledger.check().map { it.rule }

    fun at(ms: Long, action: () -> Unit) {
        nowMs = ms
        action()
    }

    fun attempt(
        route: SoakRoute,
        sentMs: Long,
        endMs: Long,
        end: AttemptEnd,
        status: Int = 0,
        edit: Attempt.() -> Unit = {},
    ) = Attempt("a1", route, "vm-0", sentMs, events = 3).also {
        it.writtenMs = sentMs
        it.endMs = endMs
        it.end = end
        it.status = status
        it.edit()
        ledger.begin(it)
    }

    /** A run of the attempt from [fromMs] to [toMs], or without an end. */
    fun run(fromMs: Long, toMs: Long?, how: RunEnd = RunEnd.DONE, engine: String = "e-1", made: String = ""): Run {
        nowMs = fromMs
        val run = ledger.run(engine, "a1")
        run.body = made
        toMs?.let { run.finish(how, it) }
        return run
    }

    fun stopAt(ms: Long) = timeline.plan(PlannedWork.Stop("vm-0", ms))

    fun disrupt(subject: String, fromMs: Long, toMs: Long) {
        at(fromMs) { timeline.begin(subject, "fault") }
        at(toMs) { timeline.end(timeline.disruptions.last()) }
    }
}

private fun events(count: Int) = (1..count).joinToString("") { "id: $it\ndata: a1 $it x\n\n" }

class SoakLedgerTest : FunSpec({
    fun rulesOf(prepare: HandMade.() -> Unit) = HandMade().apply(prepare).rules

    test("a request that was passed on and is cut around a stop is lost") {
        rulesOf {
            stopAt(5_000)
            attempt(SoakRoute.STREAM, 6_000, 6_300, AttemptEnd.BROKEN)
            run(6_010, 6_300, RunEnd.DROPPED)
        }.shouldContainExactly("LOST")
    }

    test("a request that was not passed on is lost if the connection ends later than the slack") {
        fun cutAfter(ms: Long) = rulesOf {
            stopAt(5_000)
            attempt(SoakRoute.ONCE, 6_000, 6_000 + ms, AttemptEnd.BROKEN)
        }
        cutAfter(201).shouldContainExactly("LOST")
        cutAfter(200).shouldBeEmpty()
    }

    test("a cut is excused by a fault of its VM, and by one of the store only where the store matters") {
        fun cutBeside(route: SoakRoute, subject: String) = rulesOf {
            stopAt(5_000)
            disrupt(subject, 3_000, 3_500)
            attempt(route, 6_000, 6_300, AttemptEnd.BROKEN)
            run(6_010, 6_300, RunEnd.DROPPED)
        }
        cutBeside(SoakRoute.ONCE, "vm-0").shouldBeEmpty()
        cutBeside(SoakRoute.ONCE, "vm-1").shouldContainExactly("LOST")
        cutBeside(SoakRoute.ONCE, SoakTimeline.STORE).shouldContainExactly("LOST")
        cutBeside(SoakRoute.STREAM, SoakTimeline.STORE).shouldBeEmpty()
    }

    test("a cut is excused if the engine broke off, or still worked in the last sixth of the grace period") {
        rulesOf {
            stopAt(5_000)
            attempt(SoakRoute.STREAM, 6_000, 6_300, AttemptEnd.BROKEN)
            run(6_010, 6_290, RunEnd.BROKEN_OFF)
        }.shouldBeEmpty()
        fun cutAtTheEnd(sentMs: Long) = rulesOf {
            stopAt(5_000)
            attempt(SoakRoute.STREAM, sentMs, 12_500, AttemptEnd.BROKEN)
            run(sentMs + 10, 12_500, RunEnd.DROPPED)
        }
        cutAtTheEnd(sentMs = 8_000).shouldBeEmpty()
        cutAtTheEnd(sentMs = 8_001).shouldContainExactly("LOST")
    }

    test("cuts after the settings were read again and beside a configuration are lost, others are not") {
        rulesOf {
            timeline.plan(PlannedWork.ReadSettings("vm-0", 5_000))
            attempt(SoakRoute.SAFE, 7_000, 7_500, AttemptEnd.BROKEN)
            run(7_010, 7_500, RunEnd.DROPPED)
        }.shouldContainExactly("LOST")
        rulesOf {
            timeline.plan(PlannedWork.Configure(5_000, 5_010))
            attempt(SoakRoute.SAFE, 7_000, 7_500, AttemptEnd.BROKEN)
            run(7_010, 7_500, RunEnd.DROPPED)
        }.shouldContainExactly("LOST")
        rulesOf {
            attempt(SoakRoute.SAFE, 7_000, 7_500, AttemptEnd.BROKEN)
            run(7_010, 7_500, RunEnd.DROPPED)
        }.shouldBeEmpty()
    }

    test("each excuse of a broken attempt is counted, and a lost one counts for none") {
        fun excusesOf(prepare: HandMade.() -> Unit) = HandMade().apply(prepare).ledger.excuses().keys
        fun cut(before: HandMade.() -> Unit, endMs: Long = 6_300, how: RunEnd? = RunEnd.DROPPED) = excusesOf {
            before()
            attempt(SoakRoute.KEYED, 6_000, endMs, AttemptEnd.BROKEN)
            how?.let { run(6_010, endMs, it) }
        }
        cut({ stopAt(5_000) }).shouldBeEmpty()
        cut({ }).shouldContainExactly(LossExcuse.NO_PLANNED_WORK)
        cut({ disrupt("vm-0", 3_000, 3_500) }).shouldContainExactly(LossExcuse.VM_DISRUPTED)
        cut({ disrupt("e-1", 3_000, 3_500) }).shouldContainExactly(LossExcuse.ENGINE_LINK_DISRUPTED)
        cut({ disrupt(SoakTimeline.STORE, 3_000, 3_500) }).shouldContainExactly(LossExcuse.STORE_DISRUPTED)
        cut({ stopAt(5_000) }, how = RunEnd.BROKEN_OFF).shouldContainExactly(LossExcuse.ENGINE_BROKE_OFF)
        cut({ stopAt(5_000) }, endMs = 9_000).shouldContainExactly(LossExcuse.TIME_WAS_UP)
        cut({ stopAt(5_000) }, endMs = 6_200, how = null).shouldContainExactly(LossExcuse.WITHIN_SLACK)
        excusesOf {
            stopAt(5_000)
            attempt(SoakRoute.STREAM, 6_000, 12_500, AttemptEnd.BROKEN)
            run(6_010, 12_500, RunEnd.DROPPED)
        }.shouldContainExactly(LossExcuse.LAST_SIXTH_OF_GRACE)
    }

    test("a second run of a request that may run once is found, and one of a safe request is not") {
        fun ranTwice(route: SoakRoute) = rulesOf {
            attempt(route, 1_000, 1_100, AttemptEnd.ANSWERED, 502)
            run(1_010, 1_020, RunEnd.DROPPED)
            run(1_030, 1_100, engine = "e-2")
        }
        ranTwice(SoakRoute.ONCE).shouldContainExactly("TWICE")
        ranTwice(SoakRoute.STREAM).shouldContainExactly("TWICE")
        ranTwice(SoakRoute.SAFE).shouldBeEmpty()
    }

    test("a stream that goes on elsewhere while its first engine works is found after 400 ms") {
        fun overlapsFor(ms: Long?) = rulesOf {
            attempt(SoakRoute.RESUME, 1_000, 3_000, AttemptEnd.GIVEN_UP)
            run(1_010, ms?.let { 2_000 + it }, RunEnd.DROPPED)
            run(1_500, 3_000, RunEnd.DROPPED, "e-2").onEvent(2_000)
        }
        overlapsFor(400).shouldBeEmpty()
        overlapsFor(401).shouldContainExactly("TWICE")
        overlapsFor(null).shouldContainExactly("TWICE")
    }

    test("a stream that goes on at a third engine while its first one works is found, one that waits there is not") {
        fun overlaps(goesOn: Boolean) = rulesOf {
            attempt(SoakRoute.RESUME, 1_000, 3_000, AttemptEnd.GIVEN_UP)
            run(1_010, 3_000, RunEnd.DROPPED)
            run(1_500, 1_600, RunEnd.DROPPED, "e-2")
            val third = run(2_000, 3_000, RunEnd.DROPPED, "e-3")
            if (goesOn) third.onEvent(2_100)
        }
        overlaps(goesOn = true).shouldContainExactly("TWICE")
        overlaps(goesOn = false).shouldBeEmpty()
    }

    test("a refusal of a request that has run is found") {
        fun refused(status: Int, route: SoakRoute) = rulesOf {
            attempt(route, 1_000, 1_100, AttemptEnd.ANSWERED, status)
            run(1_010, null)
        }
        refused(503, SoakRoute.ONCE).shouldContainExactly("REFUSED")
        refused(429, SoakRoute.STREAM).shouldContainExactly("REFUSED")
        refused(503, SoakRoute.RESUME).shouldContainExactly("REFUSED")
        refused(503, SoakRoute.SAFE).shouldBeEmpty()
        refused(502, SoakRoute.ONCE).shouldBeEmpty()
    }

    test("a success without a seal, of another request, or with another body is mixed") {
        fun answered(made: String, edit: Attempt.(Run) -> Unit) = rulesOf {
            val run = run(1_010, 1_050, made = made)
            attempt(SoakRoute.SAFE, 1_000, 1_100, AttemptEnd.ANSWERED, 200) {
                body = "whole"
                seal = run.seal
                edit(run)
            }
        }
        answered("whole") {}.shouldBeEmpty()
        answered("whole") { seal = null }.shouldContainExactly("MIXED")
        answered("whole") { seal = "seal-9" }.shouldContainExactly("MIXED")
        answered("whole") { namedId = "a2" }.shouldContainExactly("MIXED")
        answered("whole and more") {}.shouldContainExactly("MIXED")
    }

    test("missing, repeated and foreign events, and an early end of a stream, are out of order") {
        fun streamed(received: String, how: AttemptEnd = AttemptEnd.ANSWERED) = rulesOf {
            val run = run(1_010, 1_050)
            attempt(SoakRoute.RESUME, 1_000, 1_100, how, 200) {
                body = received
                seal = run.seal
            }
        }
        streamed(events(3)).shouldBeEmpty()
        streamed(events(2) + "id: 3\nda", AttemptEnd.BROKEN).shouldBeEmpty()
        streamed(events(2)).shouldContainExactly("ORDER")
        streamed(events(3).replace("id: 2\ndata: a1 2 x\n\n", "")).shouldContainExactly("ORDER")
        streamed(events(2) + events(3)).shouldContainExactly("ORDER")
        streamed(events(3).replace("a1 2", "a2 2")).shouldContainExactly("ORDER")
    }

    test("a proper request that is denied, and a run that no caller asked for, are found") {
        rulesOf { attempt(SoakRoute.SAFE, 1_000, 1_100, AttemptEnd.ANSWERED, 404) }.shouldContainExactly("DENIED")
        rulesOf { run(1_010, 1_020) }.shouldContainExactly("UNASKED")
    }
})
