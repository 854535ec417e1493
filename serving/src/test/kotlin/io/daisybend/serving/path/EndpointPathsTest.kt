package io.daisybend.serving.path

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf

private fun pathsTo(vararg endpoints: String) =
    EndpointPaths<String>().apply { setListed(endpoints.toSet()) }

private fun EndpointPaths<String>.lose(endpoint: String, nowMs: Long): PathChange? {
    onDirect(endpoint, worked = false, nowMs)?.let { return it }
    return onPeer(endpoint, reached = true, nowMs)
}

private fun cutOffPaths() = pathsTo("a", "b", "c").apply {
    lose("a", 100)
    lose("b", 110)
    isCutOff shouldBe true
}

class EndpointPathsTest : FunSpec({
    test("a VM that loses several endpoints that a peer reaches is cut off since the first failure") {
        val paths = pathsTo("a", "b", "c")
        paths.lose("a", 100) shouldBe null
        paths.lose("b", 130) shouldBe PathChange.CutOff(100, setOf("a", "b"))
        paths.isDown("c", 130) shouldBe true
    }

    test("a VM that loses its only endpoint is cut off if a peer reaches it") {
        pathsTo("a").lose("a", 100).shouldNotBeNull()
    }

    test("endpoints that are down for the peers too are no cut") {
        val paths = pathsTo("a", "b")
        listOf("a", "b").forEach {
            paths.onDirect(it, worked = false, 100)
            paths.onPeer(it, reached = false, 101)
        }
        paths.isCutOff shouldBe false
        paths.isDown("a", 102) shouldBe false
        paths.isDownForAll("a", 102) shouldBe true
        paths.isDownForAll("a", 1_000) shouldBe false
    }

    test("one endpoint whose path is lost is no cut, and peers are tried first for it alone") {
        val paths = pathsTo("a", "b")
        repeat(20) { paths.lose("a", 100L + it) shouldBe null }
        paths.isDown("a", 120) shouldBe true
        paths.isDown("b", 120) shouldBe false
        paths.isDown("a", 3_000) shouldBe false
    }

    test("a connection that works between the failures rules a cut out, and the next failures count again") {
        val paths = pathsTo("a", "b", "c")
        paths.lose("a", 100)
        paths.onDirect("c", worked = true, 110)
        paths.lose("b", 120) shouldBe null
        paths.lose("a", 130) shouldBe PathChange.CutOff(120, setOf("a", "b"))
    }

    test("a cut ends only after direct connections that work over some time") {
        val paths = cutOffPaths()
        paths.onDirect("a", worked = true, 1_000) shouldBe null
        paths.onDirect("b", worked = true, 1_001) shouldBe null
        paths.onDirect("c", worked = false, 1_100) shouldBe null
        paths.onDirect("a", worked = true, 1_200) shouldBe null
        paths.onDirect("b", worked = true, 1_450) shouldBe PathChange.CutOffEnded(100)
        paths.isDown("a", 1_451) shouldBe false
    }

    test("trials of a VM that is cut off come at a bounded rate and reach all endpoints") {
        val paths = cutOffPaths()
        val trials = (1_000L..2_000L).flatMap { paths.takeTrials(it) }
        trials shouldHaveSize 5
        trials.take(3) shouldContainExactlyInAnyOrder listOf("a", "b", "c")
    }

    test("a failure makes the VM test other endpoints, a sound VM makes no trials") {
        val paths = pathsTo("a", "b", "c")
        paths.takeTrials(50) shouldBe emptyList()
        paths.onDirect("a", worked = false, 100)
        paths.takeTrials(101) shouldContainExactlyInAnyOrder listOf("b", "c")
    }

    test("endpoints that are not listed say nothing") {
        val paths = pathsTo("a", "b")
        paths.lose("store", 100) shouldBe null
        paths.lose("other", 100) shouldBe null
        paths.lose("a", 100) shouldBe null
        paths.lose("b", 100).shouldBeInstanceOf<PathChange.CutOff>()
    }
})
