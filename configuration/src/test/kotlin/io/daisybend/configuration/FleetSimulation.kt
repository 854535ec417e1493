/*
 * Runs several followers, submitters and snapshot writers over one in-memory log from one seed. Operators race; VMs are
 * killed, paused and partitioned; the log fails, slows down and loses answers; gossip is lost, duplicated and delayed.
 * After every step each VM is compared with a replay of the whole log.
 */
package io.daisybend.configuration

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.mapBoth
import io.daisybend.kernel.LogBatch
import io.daisybend.kernel.LogFailure
import io.daisybend.kernel.LogStream
import io.daisybend.kernel.TeamId
import io.daisybend.kernel.VmId
import java.util.PriorityQueue
import kotlin.random.Random

/** The mechanisms that are replaced by naive ones. */
internal data class Variant(
    val followerSettings: FollowerSettings = FollowerSettings(),
    val usesPartialSnapshots: Boolean = false,
    val retriesAsNewChange: Boolean = false,
    val acceptsWithoutMajority: Boolean = false,
)

internal class InvariantViolation(message: String) : AssertionError(message)

internal class FleetSimulation(seed: Long, private val vmCount: Int = 5, private val variant: Variant = Variant()) {
    private class Delivery(val atMs: Long, val sequence: Long, val run: () -> Unit)

    /** A change that an operator wants; it must take effect at most once, regardless of the number of submissions. */
    inner class Intent(val number: Int, val keyToWithdraw: KeyId?) {
        var attempt = 0
        var acceptedAtMs: Long? = null
        var acceptedRevision = -1L
        var isRefused = false
        val changeIds = mutableSetOf<ChangeId>()
        var change: ConfigurationChange? = null
    }

    inner class Vm(val vmId: VmId) {
        var pausedUntilMs = 0L
        val follower = ConfigurationFollower(variant.followerSettings, Random(random.nextLong()))
        val writer = SnapshotWriter(vmId, SnapshotSettings(6, 8_000, 1_000, chunkBytes = 700))
        val submissions = mutableListOf<Submission>()
        val runningKeyIds = mutableSetOf<KeyId>()
        var revision = 0L
        var nextOffset = 0L
        var lastCheckedState: ConfigurationState? = null
        val isPaused get() = nowMs < pausedUntilMs

        init {
            feed(FollowerEvent.PeersListed(vmIds - vmId))
        }

        fun feed(event: FollowerEvent) = follower.handle(event, nowMs).forEach { perform(it) }

        private fun perform(action: FollowerAction) {
            when (action) {
                is FollowerAction.ReadLog -> readLog(action)
                FollowerAction.ReadSnapshot -> readSnapshot()
                is FollowerAction.Send -> send(this, action.peer, action.message)
                is FollowerAction.CancelRequests -> runningKeyIds -= action.keyIds
                FollowerAction.CancelAuthenticatedRequests -> runningKeyIds.clear()
                else -> Unit
            }
        }

        private fun readLog(action: FollowerAction.ReadLog) = scheduleFor(this) {
            val result = readFrom(this, CONFIGURATION_STREAM, action.fromOffset, action.maxRecords)
            scheduleFor(this) {
                feed(
                    result.mapBoth(
                        { FollowerEvent.LogRead(action.requestedAtMs, action.fromOffset, it) },
                        { FollowerEvent.LogReadFailed(action.requestedAtMs, it) },
                    ),
                )
            }
        }

        private fun readSnapshot() = scheduleFor(this) {
            val partial = if (variant.usesPartialSnapshots) partialSnapshot() else null
            val step = partial ?: findSnapshot { from, max -> readFrom(this, SNAPSHOT_STREAM, from, max) }
            scheduleFor(this) {
                feed(
                    when (step) {
                        is SnapshotReaderStep.Found -> FollowerEvent.SnapshotRead(step.state)
                        SnapshotReaderStep.Missing -> FollowerEvent.SnapshotRead(null)
                        else -> FollowerEvent.SnapshotReadFailed
                    },
                )
            }
        }

        fun writeSnapshot(event: SnapshotWriterEvent) {
            val append = writer.handle(event, nowMs) ?: return
            append(this, append.stream, append.payload) { result ->
                writeSnapshot(
                    result.mapBoth({ SnapshotWriterEvent.Appended }, { SnapshotWriterEvent.AppendFailed(it) }),
                )
            }
        }

        fun confirmedState() = follower.state?.takeIf { follower.freshnessAt(nowMs) == Freshness.ConfirmedByLog }
    }

    inner class Submission(val intent: Intent, val vm: Vm, changeId: ChangeId, change: ConfigurationChange) {
        private val view = if (variant.acceptsWithoutMajority) AlwaysMajorityView(vm.follower) else vm.follower
        private val submitter = ChangeSubmitter(changeId, encodeChange(changeId, change), view, nowMs + SUBMIT_LIMIT_MS)
        var result: SubmissionResult? = null

        fun feed(event: SubmitterEvent): Unit = submitter.handle(event, nowMs).forEach { action ->
            when (action) {
                is SubmitterAction.Append -> append(vm, CONFIGURATION_STREAM, action.payload) { result ->
                    feed(result.mapBoth({ SubmitterEvent.Appended(it) }, { SubmitterEvent.AppendFailed(it) }))
                }
                SubmitterAction.RefreshFollower -> vm.feed(FollowerEvent.Refresh)
                is SubmitterAction.Finish -> {
                    result = action.result
                    handleResult(intent, action.result)
                }
            }
        }
    }

    private class AlwaysMajorityView(private val follower: FollowerView) : FollowerView by follower {
        override fun isReplayedByMajority(nextOffset: Long, nowMs: Long) = true
    }

    private val random = Random(seed)
    private val log = FakeLog()
    private val deliveries = PriorityQueue<Delivery>(compareBy({ it.atMs }, { it.sequence }))
    private val vmIds = List(vmCount) { VmId("vm-$it") }
    private val intents = mutableListOf<Intent>()
    private val reference = mutableListOf(ConfigurationState.INITIAL)
    private var referenceOffset = 0L
    private var sequence = 0L
    private var nowMs = 100_000L
    private var isLogUp = true
    private var isLogSlow = false
    private var lossProbability = 0.0
    private val withoutLog = mutableSetOf<VmId>()
    private val isolated = mutableSetOf<VmId>()
    private val vms = LinkedHashMap<VmId, Vm>()

    /** Runs [steps] random steps, ends all faults and checks that all VMs agree; fails with [InvariantViolation]. */
    fun run(steps: Int) {
        log.append(CONFIGURATION_STREAM, encodeChange(ChangeId("first"), applyAll(smallManifest())).single(), nowMs)
        vmIds.forEach { vms[it] = Vm(it) }
        repeat(SETTLE_STEPS) { step() }
        repeat(steps) {
            injectFault()
            step()
        }
        endFaults()
        repeat(RECOVERY_STEPS) { step() }
        val endOffset = log.nextOffset(CONFIGURATION_STREAM)
        repeat(FINAL_STEPS) { step() }
        checkConverged(endOffset)
    }

    private fun injectFault() {
        when (random.nextInt(24)) {
            0 -> isLogUp = !isLogUp
            1 -> isLogSlow = !isLogSlow
            2 -> togglePartition(withoutLog)
            3 -> togglePartition(isolated)
            4 -> kill(vms.values.random(random))
            5 -> vms.values.random(random).pausedUntilMs = nowMs + random.nextLong(12_000)
            6 -> lossProbability = if (lossProbability > 0) 0.0 else 0.4
            7, 8, 9 -> submitNewIntent()
            10, 11 -> resubmitIntent()
            12 -> log.append(CONFIGURATION_STREAM, random.nextBytes(random.nextInt(1, 60)).also { it[0] = 1 }, nowMs)
            13 -> if (random.nextInt(8) == 0) vms.values.toList().forEach { kill(it) }
        }
    }

    /** Replaces [vm] by an empty VM unless it is the only one with records that may have expired from the log. */
    private fun kill(vm: Vm) {
        val isReplicated = vms.values.any { it !== vm && it.nextOffset >= vm.nextOffset }
        if (isReplicated) vms[vm.vmId] = Vm(vm.vmId)
    }

    private fun togglePartition(partitioned: MutableSet<VmId>) {
        val vmId = vmIds.random(random)
        if (!partitioned.remove(vmId)) partitioned += vmId
    }

    private fun submitNewIntent() {
        val vm = vms.values.filter { !it.isPaused && it.follower.state != null }.randomOrNull(random) ?: return
        val state = vm.follower.state ?: return
        val keyId = state.tables.keys.keys.randomOrNull(random)?.takeIf { random.nextInt(3) == 0 }
        val intent = Intent(intents.size, keyId)
        intents += intent
        intent.change = changeFor(intent, state)
        submit(intent, vm)
    }

    private fun changeFor(intent: Intent, state: ConfigurationState): ConfigurationChange {
        val teamId = TeamId("team-${intent.number % 2}")
        return when {
            intent.keyToWithdraw != null -> ConfigurationChange.WithdrawKey(intent.keyToWithdraw)
            random.nextInt(3) == 0 -> ConfigurationChange.IssueKey(keySpec("issued-${intent.number}", teamId.value))
            else -> incrementRate(state, teamId)
        }
    }

    /** Returns a change that adds one to the team's rate, so that a second effect is visible. */
    private fun incrementRate(state: ConfigurationState, teamId: TeamId): ConfigurationChange {
        val rate = state.tables.teams.getValue(teamId).rateTokensPerSecond + 1
        return ConfigurationChange.SetRates(state.revisionOf(teamId), teamId, rate, burstTokens = 10_000)
    }

    private fun resubmitIntent() {
        val intent = intents.filter { !it.isRefused && it.acceptedAtMs == null }.randomOrNull(random) ?: return
        val vm = vms.values.filter { !it.isPaused && it.follower.state != null }.randomOrNull(random) ?: return
        val state = vm.follower.state ?: return
        if (variant.retriesAsNewChange) {
            intent.attempt += 1
            (intent.change as? ConfigurationChange.SetRates)?.let { intent.change = incrementRate(state, it.teamId) }
        }
        submit(intent, vm)
    }

    private fun submit(intent: Intent, vm: Vm) {
        val changeId = ChangeId("change-${intent.number}-${intent.attempt}")
        intent.changeIds += changeId
        val submission = Submission(intent, vm, changeId, intent.change ?: return)
        vm.submissions += submission
        submission.feed(SubmitterEvent.Start)
    }

    private fun handleResult(intent: Intent, result: SubmissionResult) {
        when (result) {
            is SubmissionResult.Accepted -> {
                intent.acceptedAtMs = intent.acceptedAtMs ?: nowMs
                intent.acceptedRevision = result.revision
            }
            is SubmissionResult.Refused -> {
                intent.isRefused = true
                val tookEffect = currentReference().let { now ->
                    intent.changeIds.any { now.outcomeOf(it) is ChangeOutcome.Accepted }
                }
                verify(!tookEffect) { "intent ${intent.number} was refused but took effect" }
            }
            else -> Unit
        }
    }

    private fun step() {
        nowMs += STEP_MS
        log.expire(nowMs - RETENTION_MS, vms.values.maxOf { it.nextOffset })
        while (deliveries.isNotEmpty() && deliveries.peek().atMs <= nowMs) deliveries.poll().run()
        vms.values.toList().filter { !it.isPaused }.forEach { vm ->
            vm.feed(FollowerEvent.Tick)
            vm.submissions.toList().filter { it.result == null }.forEach { it.feed(SubmitterEvent.Tick) }
            vm.writeSnapshot(SnapshotWriterEvent.Tick(vm.confirmedState(), vmIds))
            if (isServing(vm)) vm.follower.state?.tables?.keys?.keys?.let { vm.runningKeyIds += it }
        }
        checkAll()
    }

    private fun isServing(vm: Vm) = !vm.isPaused && vm.follower.freshnessAt(nowMs) !is Freshness.Unconfirmed

    private fun scheduleFor(vm: Vm, run: () -> Unit) {
        val delayMs = random.nextLong(if (isLogSlow) 4_000 else 300)
        deliveries += Delivery(nowMs + delayMs, sequence++) { runOn(vm, run) }
    }

    /** Calls [run] on [vm] unless it was killed; waits while it is paused. */
    private fun runOn(vm: Vm, run: () -> Unit) {
        if (vms[vm.vmId] !== vm) return
        if (!vm.isPaused) return run()
        deliveries += Delivery(maxOf(vm.pausedUntilMs, nowMs + 1), sequence++) { runOn(vm, run) }
    }

    private fun readFrom(vm: Vm, stream: LogStream, from: Long, max: Int): Result<LogBatch, LogFailure> =
        if (canReachLog(vm)) log.read(stream, from, max) else Err(LogFailure.Unavailable("expected the log, got none"))

    private fun canReachLog(vm: Vm) = isLogUp && vm.vmId !in withoutLog

    /** Appends [payload] now or later; a lost answer is reported as an unknown outcome although the append happens. */
    private fun append(vm: Vm, stream: LogStream, payload: ByteArray, answer: (Result<Long, LogFailure>) -> Unit) {
        val unavailable = Err(LogFailure.Unavailable("expected the log, got none"))
        val unknown = Err(LogFailure.OutcomeUnknown("expected an answer, got none"))
        if (!canReachLog(vm)) return scheduleFor(vm) { answer(unavailable) }
        val isAnswerLost = random.nextDouble() < lossProbability
        val isLate = isAnswerLost && random.nextBoolean()
        if (isLate) {
            deliveries += Delivery(nowMs + random.nextLong(9_000), sequence++) { log.append(stream, payload, nowMs) }
            return scheduleFor(vm) { answer(unknown) }
        }
        val offset = log.append(stream, payload, nowMs)
        scheduleFor(vm) { answer(if (isAnswerLost) unknown else Ok(offset)) }
    }

    private fun send(from: Vm, to: VmId, message: GossipMessage) {
        if (from.vmId in isolated || to in isolated || random.nextDouble() < lossProbability) return
        val deliveredMessage = if (random.nextInt(16) == 0) decodeGossip(encodeGossip(message)).expectOk() else message
        repeat(if (random.nextDouble() < lossProbability) 2 else 1) {
            deliveries += Delivery(nowMs + random.nextLong(if (lossProbability > 0) 2_000 else 100), sequence++) {
                val receiver = vms.getValue(to)
                runOn(receiver) { receiver.feed(FollowerEvent.PeerMessage(from.vmId, deliveredMessage)) }
            }
        }
    }

    private fun partialSnapshot(): SnapshotReaderStep? {
        val next = log.nextOffset(SNAPSHOT_STREAM)
        val last = (next - 1 downTo 0).firstNotNullOfOrNull { log.read(SNAPSHOT_STREAM, it, 1).get()?.records?.first() }
        val chunk = last?.let { decodeChunk(it.payload).expectOk() } ?: return null
        return SnapshotReaderStep.Found(ConfigurationState.INITIAL.copy(nextOffset = chunk.nextOffset))
    }

    private fun currentReference(): ConfigurationState {
        while (referenceOffset < log.nextOffset(CONFIGURATION_STREAM)) {
            val record = log.read(CONFIGURATION_STREAM, referenceOffset, 1).expectOk().records.single()
            reference += reference.last().replay(record.offset, record.payload).expectOk()
            referenceOffset += 1
        }
        return reference.last()
    }

    private fun checkAll() {
        val endState = currentReference()
        vms.values.forEach { checkVm(it) }
        intents.forEach { checkIntent(it, endState) }
    }

    private fun checkVm(vm: Vm) {
        val state = vm.follower.state ?: return
        if (state === vm.lastCheckedState) return
        vm.lastCheckedState = state
        verify(state.revision >= vm.revision && state.nextOffset >= vm.nextOffset) { "${vm.vmId} went back" }
        vm.revision = state.revision
        vm.nextOffset = state.nextOffset
        val expected = reference[state.nextOffset.toInt()]
        val isEqual = state.revision == expected.revision &&
            state.tables == expected.tables &&
            state.withdrawnKeyIds == expected.withdrawnKeyIds &&
            state.outcomes == expected.outcomes
        verify(isEqual) { "${vm.vmId} at ${state.nextOffset} differs from a replay of the log" }
    }

    private fun checkIntent(intent: Intent, endState: ConfigurationState) {
        val acceptedOutcomes = intent.changeIds.mapNotNull { endState.outcomeOf(it) as? ChangeOutcome.Accepted }
        verify(acceptedOutcomes.size <= 1) { "intent ${intent.number} took effect ${acceptedOutcomes.size} times" }
        val acceptedAtMs = intent.acceptedAtMs ?: return
        verify(acceptedOutcomes.singleOrNull()?.revision == intent.acceptedRevision) {
            "accepted intent ${intent.number} is lost"
        }
        if (nowMs < acceptedAtMs + MAX_PROPAGATION_MS) return
        vms.values.filter { isServing(it) }.forEach { vm ->
            verify(vm.revision >= intent.acceptedRevision) { "${vm.vmId} serves without accepted ${intent.number}" }
        }
        val keyId = intent.keyToWithdraw ?: return
        vms.values.filter { nowMs >= it.pausedUntilMs + PAUSE_RECOVERY_MS }.forEach { vm ->
            verify(keyId !in vm.runningKeyIds) { "${vm.vmId} still runs a request of withdrawn $keyId" }
        }
    }

    private fun endFaults() {
        isLogUp = true
        isLogSlow = false
        lossProbability = 0.0
        withoutLog.clear()
        isolated.clear()
        vms.values.forEach { it.pausedUntilMs = minOf(it.pausedUntilMs, nowMs) }
    }

    private fun checkConverged(endOffset: Long) {
        vms.values.forEach { vm ->
            val nextOffset = vm.follower.state?.nextOffset ?: -1
            verify(nextOffset >= endOffset) { "${vm.vmId} did not catch up to $endOffset, got $nextOffset" }
            verify(isServing(vm)) { "${vm.vmId} does not serve" }
        }
    }

    private fun verify(condition: Boolean, message: () -> String) {
        if (!condition) throw InvariantViolation("at $nowMs: ${message()}")
    }

    private companion object {
        const val STEP_MS = 250L
        const val SETTLE_STEPS = 24
        const val RECOVERY_STEPS = 100
        const val FINAL_STEPS = 12
        const val RETENTION_MS = 40_000L
        const val SUBMIT_LIMIT_MS = 8_000L
        const val MAX_PROPAGATION_MS = 10_000L
        const val PAUSE_RECOVERY_MS = 2_000L
    }
}
