/*
 * The fold: races, repeated records, staged manifests and what a withdrawn key leaves behind.
 */
package io.daisybend.configuration

import com.github.michaelbull.result.getError
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.TeamId
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeInstanceOf

private fun record(id: String, change: ConfigurationChange) =
    encodeRecord(ConfigurationRecord.Change(ChangeId(id), change))

private fun started(manifest: Manifest = smallManifest()) =
    replayAll(encodeChange(ChangeId("first"), applyAll(manifest)))

private fun rates(expectedRevision: Long, rate: Long) =
    ConfigurationChange.SetRates(expectedRevision, TeamId("team-0"), rate, burstTokens = 5_000)

/** Last write wins: no precondition, no memory of change identifiers. */
private fun naiveReplay(rates: List<ConfigurationChange.SetRates>): List<ChangeOutcome> =
    rates.mapIndexed { index, _ -> ChangeOutcome.Accepted(index + 1L) }

private fun winners(outcomes: List<ChangeOutcome?>) = outcomes.count { it is ChangeOutcome.Accepted }

class ConfigurationStateTest : FunSpec({
    test("of operators who race one wins and the others get a conflict, where last write wins has many winners") {
        val start = started()
        val race = (0L until 5).map { rates(expectedRevision = 1, rate = 2_000 + it) }
        val end = replayAll(race.mapIndexed { at, change -> record("race-$at", change) }, start)
        val outcomes = race.indices.map { end.outcomeOf(ChangeId("race-$it")) }
        winners(outcomes) shouldBe 1
        winners(naiveReplay(race)) shouldBe 5
        outcomes[1] shouldBe ChangeOutcome.Refused(ChangeRefusal.RevisionConflict("team team-0", 1, 2))
        end.tables.teams.getValue(TeamId("team-0")).rateTokensPerSecond shouldBe 2_000
    }

    test("a record that stands twice takes effect once and keeps its first outcome") {
        val refused = record("late", rates(expectedRevision = 7, rate = 1))
        val accepted = record("twice", rates(expectedRevision = 1, rate = 3_000))
        val end = replayAll(listOf(refused, accepted, accepted, refused), started())
        end.revision shouldBe 2
        end.outcomeOf(ChangeId("twice")) shouldBe ChangeOutcome.Accepted(2)
        end.outcomeOf(ChangeId("late")).shouldBeInstanceOf<ChangeOutcome.Refused>()
    }

    test("a record that stands again after its outcome is forgotten is refused by its precondition") {
        val drain = ConfigurationChange.SetDraining(0, EndpointId("engine-1"), draining = true)
        val undrain = ConfigurationChange.SetDraining(2, EndpointId("engine-1"), draining = false)
        val fill = (0 until OutcomeWindow.GENERATION_SIZE * (OutcomeWindow.GENERATIONS + 1)).map {
            record("fill-$it", ConfigurationChange.WithdrawKey(KeyId("none")))
        }
        val records = listOf(record("drain", drain), record("undrain", undrain)) + fill + record("drain", drain)
        val end = replayAll(records, started())
        end.isDraining(EndpointId("engine-1")) shouldBe false
        end.revision shouldBe 3
    }

    test("a withdrawn key does not come back by a key command or an older manifest") {
        val start = started()
        val end = replayAll(listOf(record("withdraw", ConfigurationChange.WithdrawKey(KeyId("key-0")))), start)
        end.tryChange(ConfigurationChange.IssueKey(keySpec("key-0", "team-0"))).getError() shouldBe
            ChangeRefusal.KeyIdUsed(KeyId("key-0"), withdrawn = true)
        val older = diffManifests(end.tables, start.tables)
        val refusal = end.tryChange(ConfigurationChange.ApplyManifest(1, older)).getError()
        refusal.shouldBeInstanceOf<ChangeRefusal.InvalidResult>()
        refusal.problems.single().shouldBeInstanceOf<ManifestProblem.WithdrawnKey>()
    }

    test("a key that an operator issued outlives a manifest that does not list it, a listed one is withdrawn") {
        val issued = record("issue", ConfigurationChange.IssueKey(keySpec("extra", "team-1")))
        val start = replayAll(listOf(issued), started())
        val without = smallManifest().copy(keys = emptyList())
        val diff = diffManifests(start.tables, without.toTables(), start.issuedKeyIds)
        val end = replayAll(listOf(record("apply", ConfigurationChange.ApplyManifest(1, diff))), start)
        end.tables.keys.keys shouldBe setOf(KeyId("extra"))
        end.withdrawnKeyIds shouldBe setOf(KeyId("key-0"), KeyId("key-1"))
    }

    test("a team that still has keys is not removed") {
        val diff = ManifestDiff(removeTeamIds = listOf(TeamId("team-1")))
        val refusal = started().tryChange(ConfigurationChange.ApplyManifest(1, diff)).getError()
        refusal.shouldBeInstanceOf<ChangeRefusal.InvalidResult>()
        refusal.problems.first() shouldBe ManifestProblem.UnknownReference("keys[1].teamId", "team", "team-1")
    }

    test("a staged manifest applies whole, also with parts doubled, crossed and mixed with another upload") {
        val manifest = sizedManifest(models = 100, adapters = 20_000)
        val records = encodeChange(ChangeId("big"), applyAll(manifest))
        val other = encodeChange(ChangeId("other"), applyAll(sizedManifest(models = 90, adapters = 20_000)))
        val parts = records.dropLast(1)
        (parts.size > 1) shouldBe true
        val end = replayAll(parts.reversed() + other.dropLast(1) + parts.take(1) + records.last())
        end.manifest() shouldBe manifest
    }

    test("a staged manifest with a missing or wrong part is refused") {
        val records = encodeChange(ChangeId("big"), applyAll(sizedManifest(models = 100, adapters = 20_000)))
        val incomplete = replayAll(records.drop(1))
        val outcome = incomplete.outcomeOf(ChangeId("big")).shouldBeInstanceOf<ChangeOutcome.Refused>()
        outcome.refusal.shouldBeInstanceOf<ChangeRefusal.StagedContentUnusable>()
        incomplete.revision shouldBe 0
        val first = decodeRecord(records.first()).expectOk() as ConfigurationRecord.StagedChunk
        val wrong = ConfigurationRecord.StagedChunk(first.contentHash, 0, first.count, ByteArray(9))
        replayAll(listOf(encodeRecord(wrong)) + records.drop(1)).revision shouldBe 0
    }

    test("a record of a newer version stops the replay instead of being skipped") {
        started().replay(1, byteArrayOf(2, 0)).getError() shouldBe CodecFailure.NewerFormat(2)
        started().replay(1, "{}".toByteArray()).expectOk().revision shouldBe 1
    }

    test("a snapshot gives back the whole state and goes on like a replay") {
        val parts = encodeChange(ChangeId("big"), applyAll(sizedManifest(models = 100, adapters = 20_000))).dropLast(1)
        val before = replayAll(listOf(record("a", rates(1, 2_000)), record("b", rates(1, 2_000))) + parts, started())
        val chunks = snapshotChunks(before, chunkBytes = 5_000)
        val assembly = SnapshotAssembly.startedWith(chunks.last())
        chunks.forEach { assembly?.take(it) }
        val restored = assembly?.state()?.expectOk()
        restored shouldNotBe null
        val rest = listOf(record("c", rates(2, 4_000)), record("a", rates(3, 5_000)))
        val left = replayAll(rest, before)
        val right = replayAll(rest, restored ?: ConfigurationState.INITIAL)
        snapshotChunks(right).map { it.contentHash } shouldBe snapshotChunks(left).map { it.contentHash }
    }
})
