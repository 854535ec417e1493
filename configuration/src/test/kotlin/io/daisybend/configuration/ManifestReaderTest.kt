/*
 * Tests reading a manifest: the position of syntax errors, and all problems of a well-formed manifest.
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
    test("a written manifest is read back unchanged") {
        readManifest(writeManifest(smallManifest())).expectOk() shouldBe smallManifest()
    }

    test("malformed JSON is refused with its line and column") {
        val failure = malformed("{\n  \"models\": [\n    {\"modelId\" 7}\n  ]\n}")
        failure.line shouldBe 3
        (failure.column in 5..20) shouldBe true
    }

    test("an unknown field, such as one with another unit, is refused and named") {
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
        val valid = smallManifest()
        val invalid = valid.copy(
            models = valid.models + valid.models[0].copy(weightsBytes = -1),
            adapters = listOf(valid.adapters[0].copy(modelId = ModelId("gone"))),
            teams = listOf(
                valid.teams[0].copy(burstTokens = 0, adapterIds = listOf(AdapterId("lost"))),
                valid.teams[1],
            ),
            keys = listOf(valid.keys[0].copy(hashHex = "ABC"), valid.keys[1].copy(teamId = TeamId("nobody"))),
            endpoints = listOf(
                valid.endpoints[0],
                valid.endpoints[1].copy(address = "10.0.0.1", kvCacheBytes = Long.MAX_VALUE),
            ),
            routes = listOf(RouteSpec("r", listOf(EndpointId("engine-1")))),
        )
        val failure = readManifest(writeManifest(invalid), setOf(KeyId("key-1"))).getError()
        val problems = failure.shouldBeInstanceOf<ManifestFailure.Invalid>().problems
        problems.map { it.path } shouldContainExactlyInAnyOrder listOf(
            "models[2].modelId", "models[2].weightsBytes", "adapters[0].modelId", "teams[0].burstTokens",
            "teams[0].adapterIds[0]", "teams[1].adapterIds[0]", "keys[0].hashHex", "keys[1].teamId", "keys[1].keyId",
            "endpoints[1].address", "endpoints[1].kvCacheBytes", "routes[0].endpointIds[0]",
        )
        problems.first { it.path == "models[2].weightsBytes" }.message shouldBe
            "models[2].weightsBytes: expected 1 to 16000000000000, got -1"
    }

    test("corrupted, truncated and random documents lead to a typed failure or a valid manifest") {
        val text = writeManifest(smallManifest())
        checkAll(PropTestConfig(seed = 1L, iterations = 2_000), Arb.long()) { seed ->
            val random = Random(seed)
            val corrupted = StringBuilder(text)
            repeat(random.nextInt(1, 6)) { corrupted[random.nextInt(corrupted.length)] = Char(random.nextInt(1, 256)) }
            readManifest(corrupted.substring(0, random.nextInt(corrupted.length)))
            readManifest(corrupted.toString())
        }
    }
})
