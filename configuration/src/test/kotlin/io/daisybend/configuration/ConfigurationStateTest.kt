/*
 * Tests the replay of configuration records: races, duplicate records, staged manifests, snapshots and withdrawn keys.
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

private fun initialState(manifest: Manifest = smallManifest()) =
    replayAll(encodeChange(ChangeId("first"), applyAll(manifest)))

private fun setRates(expectedRevision: Long, rate: Long) =
    ConfigurationChange.SetRates(expectedRevision, TeamId("team-0"), rate, burstTokens = 5_000)

/** Returns the outcomes under last write wins, without preconditions and without known change identifiers. */
private fun naiveReplay(changes: List<ConfigurationChange.SetRates>): List<ChangeOutcome> =
    changes.mapIndexed { index, _ -> ChangeOutcome.Accepted(index + 1L) }

private fun acceptedCount(outcomes: List<ChangeOutcome?>) = outcomes.count { it is ChangeOutcome.Accepted }

class ConfigurationStateTest : FunSpec({
    test("of racing operators one is accepted and the others get a conflict, while last write wins accepts all") {
        val start = initialState()
        val racingChanges = (0L until 5).map { setRates(expectedRevision = 1, rate = 2_000 + it) }
        val end = replayAll(racingChanges.mapIndexed { index, change -> record("race-$index", change) }, start)
        val outcomes = racingChanges.indices.map { end.outcomeOf(ChangeId("race-$it")) }
        acceptedCount(outcomes) shouldBe 1
        acceptedCount(naiveReplay(racingChanges)) shouldBe 5
        outcomes[1] shouldBe ChangeOutcome.Refused(ChangeRefusal.RevisionConflict("team team-0", 1, 2))
        end.tables.teams.getValue(TeamId("team-0")).rateTokensPerSecond shouldBe 2_000
    }

    test("a duplicate record takes effect once and keeps its first outcome") {
        val refused = record("late", setRates(expectedRevision = 7, rate = 1))
        val accepted = record("twice", setRates(expectedRevision = 1, rate = 3_000))
        val end = replayAll(listOf(refused, accepted, accepted, refused), initialState())
        end.revision shouldBe 2
        end.outcomeOf(ChangeId("twice")) shouldBe ChangeOutcome.Accepted(2)
        end.outcomeOf(ChangeId("late")).shouldBeInstanceOf<ChangeOutcome.Refused>()
    }

    test("a duplicate record whose outcome was dropped is refused by its precondition") {
        val drain = ConfigurationChange.SetDraining(0, EndpointId("engine-1"), draining = true)
        val undrain = ConfigurationChange.SetDraining(2, EndpointId("engine-1"), draining = false)
        val fillers = (0 until OutcomeWindow.GENERATION_SIZE * (OutcomeWindow.MAX_GENERATIONS + 1)).map {
            record("fill-$it", ConfigurationChange.WithdrawKey(KeyId("none")))
        }
        val records = listOf(record("drain", drain), record("undrain", undrain)) + fillers + record("drain", drain)
        val end = replayAll(records, initialState())
        end.isDraining(EndpointId("engine-1")) shouldBe false
        end.revision shouldBe 3
    }

    test("a withdrawn key is not restored by a key command or an older manifest") {
        val start = initialState()
        val end = replayAll(listOf(record("withdraw", ConfigurationChange.WithdrawKey(KeyId("key-0")))), start)
        end.tryChange(ConfigurationChange.IssueKey(keySpec("key-0", "team-0"))).getError() shouldBe
            ChangeRefusal.KeyIdUsed(KeyId("key-0"), withdrawn = true)
        val olderDiff = diffManifests(end.tables, start.tables)
        val refusal = end.tryChange(ConfigurationChange.ApplyManifest(1, olderDiff)).getError()
        refusal.shouldBeInstanceOf<ChangeRefusal.InvalidResult>()
        refusal.problems.single().shouldBeInstanceOf<ManifestProblem.WithdrawnKey>()
    }

    test("a manifest without an operator-issued key keeps it, one without a key of the manifest withdraws that key") {
        val issued = record("issue", ConfigurationChange.IssueKey(keySpec("extra", "team-1")))
        val start = replayAll(listOf(issued), initialState())
        val without = smallManifest().copy(keys = emptyList())
        val diff = diffManifests(start.tables, without.toTables(), start.issuedKeyIds)
        val end = replayAll(listOf(record("apply", ConfigurationChange.ApplyManifest(1, diff))), start)
        end.tables.keys.keys shouldBe setOf(KeyId("extra"))
        end.withdrawnKeyIds shouldBe setOf(KeyId("key-0"), KeyId("key-1"))
    }

    test("a team that still has keys cannot be removed") {
        val diff = ManifestDiff(removeTeamIds = listOf(TeamId("team-1")))
        val refusal = initialState().tryChange(ConfigurationChange.ApplyManifest(1, diff)).getError()
        refusal.shouldBeInstanceOf<ChangeRefusal.InvalidResult>()
        refusal.problems.first() shouldBe ManifestProblem.UnknownReference("keys[1].teamId", "team", "team-1")
    }

    test("a staged manifest is applied with duplicate and reordered chunks and a concurrent upload") {
        val manifest = sizedManifest(models = 100, adapters = 20_000)
        val records = encodeChange(ChangeId("big"), applyAll(manifest))
        val other = encodeChange(ChangeId("other"), applyAll(sizedManifest(models = 90, adapters = 20_000)))
        val chunks = records.dropLast(1)
        (chunks.size > 1) shouldBe true
        val end = replayAll(chunks.reversed() + other.dropLast(1) + chunks.take(1) + records.last())
        end.manifest() shouldBe manifest
    }

    test("a staged manifest with a missing or wrong chunk is refused") {
        val records = encodeChange(ChangeId("big"), applyAll(sizedManifest(models = 100, adapters = 20_000)))
        val incompleteState = replayAll(records.drop(1))
        val outcome = incompleteState.outcomeOf(ChangeId("big")).shouldBeInstanceOf<ChangeOutcome.Refused>()
        outcome.refusal.shouldBeInstanceOf<ChangeRefusal.StagedContentUnusable>()
        incompleteState.revision shouldBe 0
        val firstChunk = decodeRecord(records.first()).expectOk() as ConfigurationRecord.StagedChunk
        val wrongChunk = ConfigurationRecord.StagedChunk(firstChunk.contentHash, 0, firstChunk.count, ByteArray(9))
        replayAll(listOf(encodeRecord(wrongChunk)) + records.drop(1)).revision shouldBe 0
    }

    test("a record of a newer format stops the replay instead of being skipped") {
        initialState().replay(1, byteArrayOf(2, 0)).getError() shouldBe CodecFailure.NewerFormat(2)
        initialState().replay(1, "{}".toByteArray()).expectOk().revision shouldBe 1
    }

    test("a state restored from a snapshot equals the replayed state, also after further records") {
        val staged = encodeChange(ChangeId("big"), applyAll(sizedManifest(models = 100, adapters = 20_000))).dropLast(1)
        val before = replayAll(
            listOf(record("a", setRates(1, 2_000)), record("b", setRates(1, 2_000))) + staged,
            initialState(),
        )
        val chunks = snapshotChunks(before, chunkBytes = 5_000)
        val assembly = SnapshotAssembly.startWith(chunks.last())
        chunks.forEach { assembly?.addChunk(it) }
        val restored = assembly?.toState()?.expectOk()
        restored shouldNotBe null
        val laterRecords = listOf(record("c", setRates(2, 4_000)), record("a", setRates(3, 5_000)))
        val expected = replayAll(laterRecords, before)
        val resumed = replayAll(laterRecords, restored ?: ConfigurationState.INITIAL)
        snapshotChunks(resumed).map { it.contentHash } shouldBe snapshotChunks(expected).map { it.contentHash }
    }
})
