/*
 * Reading a manifest: where a malformed one breaks, and every problem of a well-formed one.
 */
package io.daisybend.configuration

import com.github.michaelbull.result.getError
import io.daisybend.kernel.AdapterId
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.ModelId
import io.daisybend.kernel.TeamId
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlin.random.Random

private fun malformed(text: String) = readManifest(text).getError().shouldBeInstanceOf<ManifestFailure.Malformed>()

class ManifestReaderTest : FunSpec({
    test("a manifest that was written is read back") {
        readManifest(writeManifest(smallManifest())).expectOk() shouldBe smallManifest()
    }

    test("malformed JSON is refused with its line and column") {
        val failure = malformed("{\n  \"models\": [\n    {\"modelId\" 7}\n  ]\n}")
        failure.line shouldBe 3
        (failure.column in 5..20) shouldBe true
    }

    test("an unknown field, such as one with another unit, is refused by its name") {
        malformed("""{"models":[{"modelId":"a","version":"1","weightsMegabytes":7}]}""").detail shouldContain
            "weightsMegabytes"
    }

    test("a missing field, a wrong type, an overflowing number and trailing text are refused") {
        malformed("""{"models":[{"modelId":"a","version":"1"}]}""").detail shouldContain "weightsBytes"
        malformed("""{"models":[{"modelId":"a","version":"1","weightsBytes":"many"}]}""")
        malformed("""{"models":[{"modelId":"a","version":"1","weightsBytes":99999999999999999999}]}""")
        malformed("""{} {}""")
    }

    test("every problem is listed with its path") {
        val base = smallManifest()
        val broken = base.copy(
            models = base.models + base.models[0].copy(weightsBytes = -1),
            adapters = listOf(base.adapters[0].copy(modelId = ModelId("gone"))),
            teams = listOf(base.teams[0].copy(burstTokens = 0, adapterIds = listOf(AdapterId("lost"))), base.teams[1]),
            keys = listOf(base.keys[0].copy(hashHex = "ABC"), base.keys[1].copy(teamId = TeamId("nobody"))),
            endpoints = listOf(
                base.endpoints[0],
                base.endpoints[1].copy(address = "10.0.0.1", kvCacheBytes = Long.MAX_VALUE),
            ),
            routes = listOf(RouteSpec("r", listOf(EndpointId("engine-1")))),
        )
        val failure = readManifest(writeManifest(broken), setOf(KeyId("key-1"))).getError()
        val problems = failure.shouldBeInstanceOf<ManifestFailure.Invalid>().problems
        problems.map { it.path } shouldContainExactlyInAnyOrder listOf(
            "models[2].modelId", "models[2].weightsBytes", "adapters[0].modelId", "teams[0].burstTokens",
            "teams[0].adapterIds[0]", "teams[1].adapterIds[0]", "keys[0].hashHex", "keys[1].teamId", "keys[1].keyId",
            "endpoints[1].address", "endpoints[1].kvCacheBytes", "routes[0].endpointIds[0]",
        )
        problems.first { it.path == "models[2].weightsBytes" }.message shouldBe
            "models[2].weightsBytes: expected 1 to 16000000000000, came -1"
    }

    test("changed, cut and random documents give a typed failure or a valid manifest") {
        val text = writeManifest(smallManifest())
        checkAll(PropTestConfig(seed = 1L, iterations = 2_000), Arb.long()) { seed ->
            val random = Random(seed)
            val changed = StringBuilder(text)
            repeat(random.nextInt(1, 6)) { changed[random.nextInt(changed.length)] = Char(random.nextInt(1, 256)) }
            readManifest(changed.substring(0, random.nextInt(changed.length)))
            readManifest(changed.toString())
        }
    }
})
