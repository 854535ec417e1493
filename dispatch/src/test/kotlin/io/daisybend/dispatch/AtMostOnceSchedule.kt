/*
 * Runs random schedules of gateways, coordinators, a log, a network and one plain service, and checks after every step
 * that no request ran twice and that every answer to a caller was true.
 */
package io.daisybend.dispatch

import com.github.michaelbull.result.get
import io.daisybend.kernel.LogBatch
import io.daisybend.kernel.LogFailure
import io.daisybend.kernel.LogRecord
import io.daisybend.kernel.RequestId
import io.daisybend.kernel.VmId
import kotlin.random.Random

internal fun interface Gateway {
    fun handle(event: ExecutorEvent, nowMs: Long): List<ExecutorAction>
}

internal class ScheduleLimits(
    val keyRetentionMs: Long = 660_000L,
    val logRetentionMs: Long = Long.MAX_VALUE,
    val checkpointIntervalMs: Long = 200_000L,
    val retryWindowMs: Long = 600_000L,
    val statedLogRetentionMs: Long = 0L,
    val maxPauseMs: Long = 4_000L,
)

internal class AtMostOnceSchedule(
    seed: Long,
    private val limits: ScheduleLimits = ScheduleLimits(),
    private val newGateway: (GatewayIncarnation, Random) -> Gateway,
) {
    private class Vm(val incarnation: GatewayIncarnation, val gateway: Gateway, val coordinator: IntentCoordinator) {
        var frozen = false
    }

    private class Request(val key: RequestKey, val firstCallAtMs: Long) {
        val runs = mutableListOf<RequestFingerprint>()
        var lastAnswer: CallResult? = null
    }

    private class Exchange(
        val vm: Vm,
        val attemptId: AttemptId,
        val call: NonIdempotentCall,
        val attempt: DispatchAttempt,
    ) {
        var serviceStatusCode: Int? = null
        var serviceAnswer: StoredResponse? = null
    }

    /** An operation that is under way somewhere; [owner] must be running for it, [lossy] ones may be lost or doubled. */
    private class Operation(val owner: Vm?, val lossy: Boolean = false, val run: () -> Unit)

    private val random = Random(seed)
    private val vms = Array(VMS) { newVm(it) }
    private val operations = mutableListOf<Operation>()
    private val logPayloads = mutableListOf<LogRecord>()
    private val logTimes = mutableListOf<Long>()
    private val requests = mutableListOf<Request>()
    private val requestOfCall = mutableMapOf<RequestId, Request>()
    private val callsThatRan = mutableSetOf<RequestId>()
    private val callsSaidNotRun = mutableSetOf<RequestId>()
    private var starts = 0L
    private var nextCall = 0
    private var nowMs = 1_000_000L
    private var logDown = false
    private var healed = false
    val violations = mutableListOf<String>()
    var answers = 0
        private set
    var runs = 0
        private set

    fun run(steps: Int): AtMostOnceSchedule {
        repeat(steps) {
            if (violations.isEmpty()) step()
        }
        return this
    }

    /** Ends all failures and checks that every key gets a final answer and that nothing stays open. */
    fun heal(): AtMostOnceSchedule {
        if (violations.isNotEmpty()) return this
        healed = true
        logDown = false
        vms.forEach { it.frozen = false }
        settle { false }
        for (request in requests.filter { nowMs - it.firstCallAtMs < limits.retryWindowMs }) {
            if (callAfterHealing(request) is CallResult.StillRunning) {
                settle { false }
                callAfterHealing(request)
            }
            if (!isFinal(request.lastAnswer)) violations += "got ${request.lastAnswer} after all failures ended"
        }
        check()
        return this
    }

    private fun isFinal(answer: CallResult?): Boolean =
        when (answer) {
            null, CallResult.StillRunning -> false
            is CallResult.Refused -> answer.refusal is CallRefusal.KeyConflict
            else -> true
        }

    /** A repeated call may find an attempt that its gateway has forgotten; it settles that one, the next call runs. */
    private fun callAfterHealing(request: Request): CallResult? {
        request.lastAnswer = null
        call(request, vms.random(random))
        settle { request.lastAnswer != null }
        return request.lastAnswer
    }

    private fun settle(isDone: () -> Boolean) {
        repeat(MAX_QUIET_ROUNDS) {
            if (operations.isEmpty() && isDone()) return
            val ready = operations.toList()
            operations.clear()
            ready.forEach { it.run() }
            nowMs += QUIET_ROUND_MS
            vms.forEach { tick(it) }
        }
    }

    private fun step() {
        nowMs += if (random.nextInt(40) == 0) random.nextLong(limits.maxPauseMs) else random.nextLong(12L)
        expireLog()
        when (random.nextInt(100)) {
            in 0..5 -> call(newOrOldRequest(), vms.random(random))
            in 6..6 -> restart(random.nextInt(VMS))
            in 7..8 -> vms.random(random).let { it.frozen = !it.frozen }
            in 9..9 -> logDown = random.nextInt(3) == 0
            10 -> leave(vms.random(random))
            in 11..30 -> tick(vms.random(random))
            else -> runOperation()
        }
        check()
    }

    private fun runOperation() {
        val ready = operations.filter { it.owner?.frozen != true }
        if (ready.isEmpty()) return
        val operation = ready.random(random)
        val fate = if (operation.lossy) random.nextInt(20) else LOSSLESS
        if (fate == 0 || fate != 1) operations.remove(operation)
        if (fate != 0) operation.run()
    }

    private fun newOrOldRequest(): Request {
        val old = requests.filter { nowMs - it.firstCallAtMs < limits.retryWindowMs }
        if (old.isNotEmpty() && random.nextInt(3) > 0) return old.random(random)
        val index = requests.size.toLong()
        return Request(RequestKey(index, index), nowMs).also { requests += it }
    }

    private fun call(request: Request, vm: Vm) {
        val requestId = RequestId("call-${nextCall++}")
        requestOfCall[requestId] = request
        val otherFingerprint = !healed && random.nextInt(15) == 0
        val fingerprint = RequestFingerprint(if (otherFingerprint) 1L else 0L, 0L)
        val call = NonIdempotentCall(requestId, request.key, fingerprint, deadlineMs = nowMs + CALL_TIMEOUT_MS)
        deliver(vm, lossy = false) { vm.feed(ExecutorEvent.CallArrived(call)) }
    }

    private fun leave(vm: Vm) {
        val requestId = requestOfCall.keys.randomOrNull(random) ?: return
        deliver(vm, lossy = false) { vm.feed(ExecutorEvent.CallerDisconnected(requestId)) }
    }

    private fun restart(index: Int) {
        operations.removeAll { it.owner === vms[index] }
        vms[index] = newVm(index)
    }

    private fun newVm(index: Int): Vm {
        val incarnation = GatewayIncarnation(VmId("vm-$index"), startId = starts++)
        val settings = CoordinatorSettings(
            checkpointIntervalMs = limits.checkpointIntervalMs,
            checkpointEntriesPerPart = 3,
            retention = IntentRetention(limits.keyRetentionMs, limits.statedLogRetentionMs),
        )
        val coordinator = IntentCoordinator(incarnation, settings, Random(random.nextLong()))
        return Vm(incarnation, newGateway(incarnation, Random(random.nextLong())), coordinator)
    }

    private fun tick(vm: Vm) {
        if (vm.frozen) return
        vm.feed(ExecutorEvent.Tick)
        vm.feed(CoordinatorEvent.Tick)
    }

    private fun Vm.feed(event: ExecutorEvent) = gateway.handle(event, nowMs).forEach { perform(this, it) }

    private fun Vm.feed(event: CoordinatorEvent) = coordinator.handle(event, nowMs).forEach { perform(this, it) }

    private fun deliver(to: Vm?, lossy: Boolean = !healed, run: () -> Unit) {
        operations += Operation(to, lossy, run)
    }

    /** Delivers to whatever process runs on the VM of [incarnation] when the message comes. */
    private fun send(incarnation: GatewayIncarnation, run: (Vm) -> Unit) {
        val index = vms.indexOfFirst { it.incarnation.vmId == incarnation.vmId }
        deliver(vms[index]) { if (!vms[index].frozen) run(vms[index]) }
    }

    private fun perform(vm: Vm, action: ExecutorAction) {
        when (action) {
            is ExecutorAction.SubmitRecord -> ask(action)
            is ExecutorAction.Dispatch -> dispatch(vm, action)
            is ExecutorAction.RespondToCaller -> answered(action.requestId, action.result)
            is ExecutorAction.QueryAttempt -> send(action.attemptId.executor) {
                it.feed(ExecutorEvent.Queried(action.querierId, action.key, action.attemptId))
            }
            is ExecutorAction.AnswerQuery -> send(action.querierId.executor) {
                it.feed(ExecutorEvent.QueryAnswered(action.querierId, action.state))
            }
        }
    }

    private fun ask(action: ExecutorAction.SubmitRecord) {
        val chosen = if (random.nextInt(4) == 0) random.nextInt(VMS) else action.rank % VMS
        deliver(vms[chosen]) { vms[chosen].feed(CoordinatorEvent.WriteRequested(action.record)) }
    }

    private fun perform(vm: Vm, action: CoordinatorAction) {
        when (action) {
            is CoordinatorAction.Append -> append(vm, encodeIntentBatch(action.batch))
            is CoordinatorAction.Read -> deliver(vm, lossy = false) { vm.feed(readLog(action.fromOffset)) }
            is CoordinatorAction.Reply -> send(action.attemptId.executor) {
                it.feed(ExecutorEvent.CoordinatorAnswered(action.attemptId, action.answer))
            }
        }
    }

    /** The effect of an append happens on its own, before its answer, after it, or without one. */
    private fun append(vm: Vm, payload: ByteArray) {
        var offset: Long? = null
        var refused = false
        deliver(null, lossy = false) {
            if (logDown && offset == null) refused = true
            if (!refused) offset = appendNow(payload)
        }
        deliver(vm, lossy = false) {
            val answerLost = !healed && random.nextInt(8) == 0
            val known = offset
            val event = when {
                refused -> CoordinatorEvent.AppendFailed(LogFailure.Unavailable("down"))
                known == null || answerLost -> CoordinatorEvent.AppendFailed(LogFailure.OutcomeUnknown("lost"))
                else -> CoordinatorEvent.Appended(known)
            }
            vm.feed(event)
        }
    }

    private fun appendNow(payload: ByteArray): Long {
        val offset = logPayloads.size.toLong()
        logPayloads += LogRecord(offset, payload)
        logTimes += nowMs
        return offset
    }

    private var firstKept = 0

    private fun expireLog() {
        while (firstKept < logTimes.size && nowMs - logTimes[firstKept] > limits.logRetentionMs) firstKept++
    }

    private fun readLog(fromOffset: Long): CoordinatorEvent =
        when {
            logDown -> CoordinatorEvent.ReadFailed(LogFailure.Unavailable("down"))
            fromOffset < firstKept -> CoordinatorEvent.ReadFailed(LogFailure.Expired(fromOffset, firstKept.toLong()))
            else -> {
                val records = logPayloads.drop(fromOffset.toInt()).take(READ_RECORDS)
                CoordinatorEvent.RecordsRead(LogBatch(records, firstKept.toLong(), logPayloads.size.toLong()))
            }
        }

    private fun dispatch(vm: Vm, action: ExecutorAction.Dispatch) {
        val attempt = DispatchAttempt(action.call.deadlineMs)
        val exchange = Exchange(vm, action.attemptId, action.call, attempt)
        deliver(vm, lossy = false) { exchange.feed(DispatchEvent.Started) }
    }

    private fun Exchange.feed(event: DispatchEvent) {
        when (val action = attempt.handle(event, nowMs)) {
            is DispatchAction.End -> vm.feed(ExecutorEvent.DispatchEnded(attemptId, outcome(action.status)))
            DispatchAction.Write -> {
                deliver(null, lossy = false) { serve(this) }
                proceed(DispatchEvent.RequestWritten)
            }
            DispatchAction.Connect -> proceed(DispatchEvent.Connected)
            null -> follow(event)
        }
    }

    private fun Exchange.follow(event: DispatchEvent) {
        val code = serviceStatusCode
        when {
            attempt.step == DispatchStep.ENDED -> Unit
            event is DispatchEvent.ResponseStarted -> proceed(DispatchEvent.ResponseEnded)
            code == null -> proceed(DispatchEvent.DeadlineReached)
            attempt.step == DispatchStep.AWAITING_RESPONSE ->
                proceed(DispatchEvent.ResponseStarted(code, code == REFUSED))
            else -> Unit
        }
    }

    private fun Exchange.proceed(event: DispatchEvent) {
        val cut = !healed && random.nextInt(10) == 0
        deliver(vm, lossy = false) { feed(if (cut) DispatchEvent.ConnectionLost else event) }
    }

    private fun Exchange.outcome(status: ExecutionStatus): StoredOutcome =
        StoredOutcome(status, serviceAnswer.takeIf { status == ExecutionStatus.Completed })

    /** The service gets the request whole, not at all, or whole after the connection broke. */
    private fun serve(exchange: Exchange) {
        if (!healed && random.nextInt(12) == 0) return
        if (!healed && random.nextInt(8) == 0) {
            exchange.serviceStatusCode = REFUSED
            return
        }
        val request = requestOfCall.getValue(exchange.call.requestId)
        request.runs += exchange.call.fingerprint
        callsThatRan += exchange.call.requestId
        runs++
        exchange.serviceStatusCode = OK
        exchange.serviceAnswer = answerOf(request)
    }

    private fun answerOf(request: Request) =
        StoredResponse(OK, "text/plain", "reservation ${request.key.low} run ${request.runs.size}".encodeToByteArray())

    private fun answered(requestId: RequestId, answer: CallResult) {
        val request = requestOfCall.getValue(requestId)
        answers++
        request.lastAnswer = answer
        when (answer) {
            is CallResult.Refused -> {
                callsSaidNotRun += requestId
                val isConflict = answer.refusal is CallRefusal.KeyConflict
                val ranBefore = if (isConflict) 0 else request.runs.size
                if (answer.earlierCalls == EarlierCalls.NONE &&
                    ranBefore > 0
                ) {
                    violations += "untrue 'none ran' $requestId"
                }
            }
            is CallResult.Ended -> checkOutcome(request, answer.outcome)
            is CallResult.Replayed -> checkOutcome(request, answer.outcome)
            CallResult.StillRunning, CallResult.OutcomeUnknown -> Unit
        }
    }

    private fun checkOutcome(request: Request, outcome: StoredOutcome) {
        if (outcome.status != ExecutionStatus.Completed) return
        if (outcome.response != answerOf(request)) violations += "answer ${outcome.response} is not the service's"
    }

    private fun check() {
        for (request in requests) {
            if (request.runs.size > 1) violations += "${request.key} ran ${request.runs.size} times"
        }
        for (requestId in callsSaidNotRun.intersect(callsThatRan)) violations += "untrue 'not run' for $requestId"
    }

    private companion object {
        const val VMS = 4
        const val OK = 200
        const val REFUSED = 429
        const val LOSSLESS = -1
        const val READ_RECORDS = 5
        const val CALL_TIMEOUT_MS = 5_000L
        const val MAX_QUIET_ROUNDS = 150
        const val QUIET_ROUND_MS = 100L
    }
}
