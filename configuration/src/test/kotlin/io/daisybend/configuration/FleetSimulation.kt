/*
 * Several followers, submitters and snapshot writers over one log in memory, driven by one seed: operators race, VMs
 * are killed, paused and cut off, the log fails, slows and loses answers, gossip is lost, doubled and delayed. After
 * every step each VM is compared with a replay of the whole log.
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

/** Which mechanism is replaced by a naive one. */
internal data class Variant(
    val followerSettings: FollowerSettings = FollowerSettings(),
    val usesPartialSnapshots: Boolean = false,
    val retriesAsNewChange: Boolean = false,
    val acceptsWithoutMajority: Boolean = false,
)

internal class BrokenInvariant(message: String) : AssertionError(message)

internal class FleetSimulation(seed: Long, private val vmCount: Int = 5, private val variant: Variant = Variant()) {
    private class Delivery(val atMs: Long, val sequence: Long, val run: () -> Unit)

    /** What an operator wants: one change that has to take effect at most once, however often it is submitted. */
    inner class Intent(val number: Int, val keyToWithdraw: KeyId?) {
        var attempt = 0
        var acceptedAtMs: Long? = null
        var acceptedRevision = -1L
        var ended = false
        val changeIds = mutableSetOf<ChangeId>()
        var change: ConfigurationChange? = null
    }

    inner class Vm(val vmId: VmId) {
        var pausedUntilMs = 0L
        val follower = ConfigurationFollower(variant.followerSettings, Random(random.nextLong()))
        val writer = SnapshotWriter(vmId, SnapshotSettings(6, 8_000, 1_000, chunkBytes = 700))
        val submissions = mutableListOf<Submission>()
        val requests = mutableSetOf<KeyId>()
        var revision = 0L
        var nextOffset = 0L
        var checked: ConfigurationState? = null
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
                is FollowerAction.CancelRequests -> requests -= action.keyIds
                FollowerAction.CancelAuthenticatedRequests -> requests.clear()
                else -> Unit
            }
        }

        private fun readLog(action: FollowerAction.ReadLog) = laterFor(this) {
            val result = readFrom(this, CONFIGURATION_STREAM, action.fromOffset, action.maxRecords)
            laterFor(this) {
                feed(
                    result.mapBoth(
                        { FollowerEvent.LogRead(action.requestedAtMs, action.fromOffset, it) },
                        { FollowerEvent.LogReadFailed(action.requestedAtMs, it) },
                    ),
                )
            }
        }

        private fun readSnapshot() = laterFor(this) {
            val naive = if (variant.usesPartialSnapshots) partialSnapshot() else null
            val step = naive ?: findSnapshot { from, max -> readFrom(this, SNAPSHOT_STREAM, from, max) }
            laterFor(this) {
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
        private val view = if (variant.acceptsWithoutMajority) EagerView(vm.follower) else vm.follower
        private val submitter = ChangeSubmitter(changeId, encodeChange(changeId, change), view, nowMs + SUBMIT_MS)
        var result: SubmissionResult? = null

        fun feed(event: SubmitterEvent): Unit = submitter.handle(event, nowMs).forEach { action ->
            when (action) {
                is SubmitterAction.Append -> append(vm, CONFIGURATION_STREAM, action.payload) { result ->
                    feed(result.mapBoth({ SubmitterEvent.Appended(it) }, { SubmitterEvent.AppendFailed(it) }))
                }
                SubmitterAction.RefreshFollower -> vm.feed(FollowerEvent.Refresh)
                is SubmitterAction.Finish -> {
                    result = action.result
                    finished(intent, action.result)
                }
            }
        }
    }

    private class EagerView(private val follower: FollowerView) : FollowerView by follower {
        override fun isReplayedByMajority(nextOffset: Long, nowMs: Long) = true
    }

    private val random = Random(seed)
    private val log = LogFake()
    private val deliveries = PriorityQueue<Delivery>(compareBy({ it.atMs }, { it.sequence }))
    private val vmIds = List(vmCount) { VmId("vm-$it") }
    private val intents = mutableListOf<Intent>()
    private val reference = mutableListOf(ConfigurationState.INITIAL)
    private var referenceOffset = 0L
    private var sequence = 0L
    private var nowMs = 100_000L
    private var logUp = true
    private var logSlow = false
    private var lossShare = 0.0
    private val cutFromLog = mutableSetOf<VmId>()
    private val cutFromPeers = mutableSetOf<VmId>()
    private val vms = LinkedHashMap<VmId, Vm>()

    /** Runs [steps] random steps, then heals everything and expects all VMs to agree; fails with [BrokenInvariant]. */
    fun run(steps: Int) {
        log.append(CONFIGURATION_STREAM, encodeChange(ChangeId("first"), applyAll(smallManifest())).single(), nowMs)
        vmIds.forEach { vms[it] = Vm(it) }
        repeat(SETTLE_STEPS) { step() }
        repeat(steps) {
            disturb()
            step()
        }
        heal()
        repeat(HEALED_STEPS) { step() }
        val endOffset = log.nextOffset(CONFIGURATION_STREAM)
        repeat(LAST_STEPS) { step() }
        checkHealed(endOffset)
    }

    private fun disturb() {
        when (random.nextInt(24)) {
            0 -> logUp = !logUp
            1 -> logSlow = !logSlow
            2 -> toggle(cutFromLog)
            3 -> toggle(cutFromPeers)
            4 -> kill(vms.values.random(random))
            5 -> vms.values.random(random).pausedUntilMs = nowMs + random.nextLong(12_000)
            6 -> lossShare = if (lossShare > 0) 0.0 else 0.4
            7, 8, 9 -> submitNew()
            10, 11 -> resubmit()
            12 -> log.append(CONFIGURATION_STREAM, random.nextBytes(random.nextInt(1, 60)).also { it[0] = 1 }, nowMs)
            13 -> if (random.nextInt(8) == 0) vms.values.toList().forEach { kill(it) }
        }
    }

    /** Replaces [vm] by an empty one, unless it alone holds what the log may already have forgotten. */
    private fun kill(vm: Vm) {
        val isHeld = vms.values.any { it !== vm && it.nextOffset >= vm.nextOffset }
        if (isHeld) vms[vm.vmId] = Vm(vm.vmId)
    }

    private fun toggle(cut: MutableSet<VmId>) {
        val vmId = vmIds.random(random)
        if (!cut.remove(vmId)) cut += vmId
    }

    private fun submitNew() {
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
            else -> oneMore(state, teamId)
        }
    }

    /** Adds one to the team's rate: taking effect twice shows. */
    private fun oneMore(state: ConfigurationState, teamId: TeamId): ConfigurationChange {
        val rate = state.tables.teams.getValue(teamId).rateTokensPerSecond + 1
        return ConfigurationChange.SetRates(state.revisionOf(teamId), teamId, rate, burstTokens = 10_000)
    }

    private fun resubmit() {
        val open = intents.filter { !it.ended && it.acceptedAtMs == null }.randomOrNull(random) ?: return
        val vm = vms.values.filter { !it.isPaused && it.follower.state != null }.randomOrNull(random) ?: return
        val state = vm.follower.state ?: return
        if (variant.retriesAsNewChange) {
            open.attempt += 1
            (open.change as? ConfigurationChange.SetRates)?.let { open.change = oneMore(state, it.teamId) }
        }
        submit(open, vm)
    }

    private fun submit(intent: Intent, vm: Vm) {
        val changeId = ChangeId("change-${intent.number}-${intent.attempt}")
        intent.changeIds += changeId
        val submission = Submission(intent, vm, changeId, intent.change ?: return)
        vm.submissions += submission
        submission.feed(SubmitterEvent.Start)
    }

    private fun finished(intent: Intent, result: SubmissionResult) {
        when (result) {
            is SubmissionResult.Accepted -> {
                intent.acceptedAtMs = intent.acceptedAtMs ?: nowMs
                intent.acceptedRevision = result.revision
            }
            is SubmissionResult.Refused -> {
                intent.ended = true
                val tookEffect = referenceNow().let { now ->
                    intent.changeIds.any { now.outcomeOf(it) is ChangeOutcome.Accepted }
                }
                check(!tookEffect) { "told refused, took effect: intent ${intent.number}" }
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
            if (isServing(vm)) vm.follower.state?.tables?.keys?.keys?.let { vm.requests += it }
        }
        checkAll()
    }

    private fun isServing(vm: Vm) = !vm.isPaused && vm.follower.freshnessAt(nowMs) !is Freshness.Unconfirmed

    private fun laterFor(vm: Vm, run: () -> Unit) {
        val delayMs = random.nextLong(if (logSlow) 4_000 else 300)
        deliveries += Delivery(nowMs + delayMs, sequence++) { runOn(vm, run) }
    }

    /** Runs on [vm] unless it was killed; waits while it is paused. */
    private fun runOn(vm: Vm, run: () -> Unit) {
        if (vms[vm.vmId] !== vm) return
        if (!vm.isPaused) return run()
        deliveries += Delivery(maxOf(vm.pausedUntilMs, nowMs + 1), sequence++) { runOn(vm, run) }
    }

    private fun readFrom(vm: Vm, stream: LogStream, from: Long, max: Int): Result<LogBatch, LogFailure> =
        if (reachesLog(vm)) log.read(stream, from, max) else Err(LogFailure.Unavailable("expected the log, it is down"))

    private fun reachesLog(vm: Vm) = logUp && vm.vmId !in cutFromLog

    /** Appends, now or late; the answer may be lost, also after the VM was told so. */
    private fun append(vm: Vm, stream: LogStream, payload: ByteArray, answer: (Result<Long, LogFailure>) -> Unit) {
        val unavailable = Err(LogFailure.Unavailable("expected the log, it is down"))
        val unknown = Err(LogFailure.OutcomeUnknown("expected an answer, none came"))
        if (!reachesLog(vm)) return laterFor(vm) { answer(unavailable) }
        val lost = random.nextDouble() < lossShare
        val late = lost && random.nextBoolean()
        if (late) {
            deliveries += Delivery(nowMs + random.nextLong(9_000), sequence++) { log.append(stream, payload, nowMs) }
            return laterFor(vm) { answer(unknown) }
        }
        val offset = log.append(stream, payload, nowMs)
        laterFor(vm) { answer(if (lost) unknown else Ok(offset)) }
    }

    private fun send(from: Vm, to: VmId, message: GossipMessage) {
        if (from.vmId in cutFromPeers || to in cutFromPeers || random.nextDouble() < lossShare) return
        val received = if (random.nextInt(16) == 0) decodeGossip(encodeGossip(message)).expectOk() else message
        repeat(if (random.nextDouble() < lossShare) 2 else 1) {
            deliveries += Delivery(nowMs + random.nextLong(if (lossShare > 0) 2_000 else 100), sequence++) {
                val receiver = vms.getValue(to)
                runOn(receiver) { receiver.feed(FollowerEvent.PeerMessage(from.vmId, received)) }
            }
        }
    }

    private fun partialSnapshot(): SnapshotReaderStep? {
        val next = log.nextOffset(SNAPSHOT_STREAM)
        val last = (next - 1 downTo 0).firstNotNullOfOrNull { log.read(SNAPSHOT_STREAM, it, 1).get()?.records?.first() }
        val chunk = last?.let { decodeChunk(it.payload).expectOk() } ?: return null
        return SnapshotReaderStep.Found(ConfigurationState.INITIAL.copy(nextOffset = chunk.nextOffset))
    }

    private fun referenceNow(): ConfigurationState {
        while (referenceOffset < log.nextOffset(CONFIGURATION_STREAM)) {
            val record = log.read(CONFIGURATION_STREAM, referenceOffset, 1).expectOk().records.single()
            reference += reference.last().replay(record.offset, record.payload).expectOk()
            referenceOffset += 1
        }
        return reference.last()
    }

    private fun checkAll() {
        val end = referenceNow()
        vms.values.forEach { checkVm(it) }
        intents.forEach { checkIntent(it, end) }
    }

    private fun checkVm(vm: Vm) {
        val state = vm.follower.state ?: return
        if (state === vm.checked) return
        vm.checked = state
        check(state.revision >= vm.revision && state.nextOffset >= vm.nextOffset) { "${vm.vmId} went back" }
        vm.revision = state.revision
        vm.nextOffset = state.nextOffset
        val expected = reference[state.nextOffset.toInt()]
        val agrees = state.revision == expected.revision &&
            state.tables == expected.tables &&
            state.withdrawnKeyIds == expected.withdrawnKeyIds &&
            state.outcomes == expected.outcomes
        check(agrees) { "${vm.vmId} at ${state.nextOffset} differs from a replay of the log" }
    }

    private fun checkIntent(intent: Intent, end: ConfigurationState) {
        val effects = intent.changeIds.mapNotNull { end.outcomeOf(it) as? ChangeOutcome.Accepted }
        check(effects.size <= 1) { "intent ${intent.number} took effect ${effects.size} times" }
        val acceptedAtMs = intent.acceptedAtMs ?: return
        check(effects.singleOrNull()?.revision == intent.acceptedRevision) {
            "accepted intent ${intent.number} is lost"
        }
        if (nowMs < acceptedAtMs + IN_FORCE_MS) return
        vms.values.filter { isServing(it) }.forEach { vm ->
            check(vm.revision >= intent.acceptedRevision) { "${vm.vmId} serves without accepted ${intent.number}" }
        }
        val keyId = intent.keyToWithdraw ?: return
        vms.values.filter { nowMs >= it.pausedUntilMs + AFTER_PAUSE_MS }.forEach { vm ->
            check(keyId !in vm.requests) { "${vm.vmId} still runs a request of withdrawn $keyId" }
        }
    }

    private fun heal() {
        logUp = true
        logSlow = false
        lossShare = 0.0
        cutFromLog.clear()
        cutFromPeers.clear()
        vms.values.forEach { it.pausedUntilMs = minOf(it.pausedUntilMs, nowMs) }
    }

    private fun checkHealed(endOffset: Long) {
        vms.values.forEach { vm ->
            val nextOffset = vm.follower.state?.nextOffset ?: -1
            check(nextOffset >= endOffset) { "${vm.vmId} did not catch up: it is at $nextOffset of $endOffset" }
            check(isServing(vm)) { "${vm.vmId} does not serve" }
        }
    }

    private fun check(holds: Boolean, message: () -> String) {
        if (!holds) throw BrokenInvariant("at $nowMs: ${message()}")
    }

    private companion object {
        const val STEP_MS = 250L
        const val SETTLE_STEPS = 24
        const val HEALED_STEPS = 100
        const val LAST_STEPS = 12
        const val RETENTION_MS = 40_000L
        const val SUBMIT_MS = 8_000L
        const val IN_FORCE_MS = 10_000L
        const val AFTER_PAUSE_MS = 2_000L
    }
}
