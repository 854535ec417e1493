/*
 * Tests bearer keys: a lookup computes one hash, unknown, changed and withdrawn keys are refused, and no clear text is
 * stored.
 */
package io.daisybend.configuration

import com.github.michaelbull.result.getError
import io.daisybend.kernel.TeamId
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldNotContain
import java.security.SecureRandom

class KeyIndexTest : FunSpec({
    val key = newKey(KeyId("k-7"), TeamId("team-0")) { size -> ByteArray(size).also { SecureRandom().nextBytes(it) } }
    val issue = ConfigurationRecord.Change(ChangeId("issue"), ConfigurationChange.IssueKey(key.spec))
    val issued = replayAll(encodeChange(ChangeId("first"), applyAll(smallManifest())) + encodeRecord(issue))

    test("a key in force returns its team") {
        KeyIndex(issued).find(key.clearText).expectOk().teamId shouldBe TeamId("team-0")
    }

    test("another secret, another identifier and other texts are refused with a typed failure") {
        val index = KeyIndex(issued)
        index.find(key.clearText.dropLast(1) + "x").getError() shouldBe KeyFailure.Unknown
        index.find(key.clearText.replace("k-7", "k-8")).getError() shouldBe KeyFailure.Unknown
        listOf("", "db_", "db__x", "sk-1", "db_" + "x".repeat(300)).forEach {
            index.find(it).getError() shouldBe KeyFailure.Malformed
        }
    }

    test("a withdrawn key is refused as withdrawn and invalidated") {
        val withdraw = ConfigurationRecord.Change(ChangeId("w"), ConfigurationChange.WithdrawKey(KeyId("k-7")))
        val stateAfter = replayAll(listOf(encodeRecord(withdraw)), issued)
        KeyIndex(stateAfter).find(key.clearText).getError() shouldBe KeyFailure.Withdrawn(KeyId("k-7"))
        invalidatedKeyIds(issued, stateAfter) shouldBe setOf(KeyId("k-7"))
    }

    test("records and snapshots do not contain the key in clear text") {
        val secret = key.clearText.substringAfterLast('_')
        val stored = listOf(encodeRecord(issue)) + snapshotChunks(issued).map { decompress(it.content).expectOk() }
        stored.forEach { String(it, Charsets.ISO_8859_1) shouldNotContain secret }
        issued.toString() shouldNotContain secret
    }
})
