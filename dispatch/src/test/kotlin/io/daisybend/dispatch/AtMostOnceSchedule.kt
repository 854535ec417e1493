/*
 * Simulates gateways, coordinators, a log, a network and one service under random schedules with faults. After every
 * step it checks that no request ran twice and that every result sent to a caller was true.
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
    val assumedLogRetentionMs: Long = 0L,
    val maxPauseMs: Long = 4_000L,
)

internal class AtMostOnceSchedule(
    seed: Long,
    private val limits: ScheduleLimits = ScheduleLimits(),
    private val newGateway: (GatewayIncarnation, Random) -> Gateway,
) {
    private class Vm(val incarnation: GatewayIncarnation, val gateway: Gateway, val coordinator: IntentCoordinator) {
        var isPaused = false
    }

    private class Request(val key: RequestKey, val firstCallAtMs: Long) {
        val runs = mutableListOf<RequestFingerprint>()
        var lastResult: CallResult? = null
    }

    private class Exchange(
        val vm: Vm,
        val attemptId: AttemptId,
        val call: NonIdempotentCall,
        val attempt: DispatchAttempt,
    ) {
        var serviceStatusCode: Int? = null
        var serviceResponse: StoredResponse? = null
    }

    /** A pending operation. It waits while [owner] is paused; if [isLossy], it may be lost or run twice. */
    private class Operation(val owner: Vm?, val isLossy: Boolean = false, val run: () -> Unit)

    private val random = Random(seed)
    private val vms = Array(VM_COUNT) { newVm(it) }
    private val operations = mutableListOf<Operation>()
    private val logRecords = mutableListOf<LogRecord>()
    private val appendTimes = mutableListOf<Long>()
    private val requests = mutableListOf<Request>()
    private val requestOfCall = mutableMapOf<RequestId, Request>()
    private val callsThatRan = mutableSetOf<RequestId>()
    private val callsReportedNotRun = mutableSetOf<RequestId>()
    private var nextStartId = 0L
    private var nextCallNumber = 0
    private var nowMs = 1_000_000L
    private var isLogDown = false
    private var faultsEnded = false
    val violations = mutableListOf<String>()
    var resultCount = 0
        private set
    var runCount = 0
        private set

    fun run(steps: Int): AtMostOnceSchedule {
        repeat(steps) {
            if (violations.isEmpty()) step()
        }
        return this
    }

    /** Ends all faults and checks that every key within the retry window gets a final result. */
    fun endFaults(): AtMostOnceSchedule {
        if (violations.isNotEmpty()) return this
        faultsEnded = true
        isLogDown = false
        vms.forEach { it.isPaused = false }
        runUntil { false }
        for (request in requests.filter { nowMs - it.firstCallAtMs < limits.retryWindowMs }) {
            if (callAfterFaults(request) is CallResult.StillRunning) {
                runUntil { false }
                callAfterFaults(request)
            }
            if (!isFinal(request.lastResult)) violations += "got ${request.lastResult} after all faults ended"
        }
        checkInvariants()
        return this
    }

    private fun isFinal(result: CallResult?): Boolean =
        when (result) {
            null, CallResult.StillRunning -> false
            is CallResult.Refused -> result.refusal is CallRefusal.KeyConflict
            else -> true
        }

    /** A repeated call may find an attempt that its gateway lost and cause its abandonment; the next call then runs. */
    private fun callAfterFaults(request: Request): CallResult? {
        request.lastResult = null
        call(request, vms.random(random))
        runUntil { request.lastResult != null }
        return request.lastResult
    }

    private fun runUntil(isDone: () -> Boolean) {
        repeat(MAX_FAULT_FREE_ROUNDS) {
            if (operations.isEmpty() && isDone()) return
            val ready = operations.toList()
            operations.clear()
            ready.forEach { it.run() }
            nowMs += FAULT_FREE_ROUND_MS
            vms.forEach { tick(it) }
        }
    }

    private fun step() {
        nowMs += if (random.nextInt(40) == 0) random.nextLong(limits.maxPauseMs) else random.nextLong(12L)
        expireLog()
        when (random.nextInt(100)) {
            in 0..5 -> call(newOrRepeatedRequest(), vms.random(random))
            in 6..6 -> restart(random.nextInt(VM_COUNT))
            in 7..8 -> vms.random(random).let { it.isPaused = !it.isPaused }
            in 9..9 -> isLogDown = random.nextInt(3) == 0
            10 -> disconnectCaller(vms.random(random))
            in 11..30 -> tick(vms.random(random))
            else -> runOperation()
        }
        checkInvariants()
    }

    private fun runOperation() {
        val ready = operations.filter { it.owner?.isPaused != true }
        if (ready.isEmpty()) return
        val operation = ready.random(random)
        val faultChoice = if (operation.isLossy) random.nextInt(20) else NO_FAULT
        if (faultChoice == 0 || faultChoice != 1) operations.remove(operation)
        if (faultChoice != 0) operation.run()
    }

    private fun newOrRepeatedRequest(): Request {
        val repeatable = requests.filter { nowMs - it.firstCallAtMs < limits.retryWindowMs }
        if (repeatable.isNotEmpty() && random.nextInt(3) > 0) return repeatable.random(random)
        val index = requests.size.toLong()
        return Request(RequestKey(index, index), nowMs).also { requests += it }
    }

    private fun call(request: Request, vm: Vm) {
        val requestId = RequestId("call-${nextCallNumber++}")
        requestOfCall[requestId] = request
        val isConflicting = !faultsEnded && random.nextInt(15) == 0
        val fingerprint = RequestFingerprint(if (isConflicting) 1L else 0L, 0L)
        val call = NonIdempotentCall(requestId, request.key, fingerprint, deadlineMs = nowMs + CALL_TIMEOUT_MS)
        schedule(vm, isLossy = false) { vm.feed(ExecutorEvent.CallArrived(call)) }
    }

    private fun disconnectCaller(vm: Vm) {
        val requestId = requestOfCall.keys.randomOrNull(random) ?: return
        schedule(vm, isLossy = false) { vm.feed(ExecutorEvent.CallerDisconnected(requestId)) }
    }

    private fun restart(index: Int) {
        operations.removeAll { it.owner === vms[index] }
        vms[index] = newVm(index)
    }

    private fun newVm(index: Int): Vm {
        val incarnation = GatewayIncarnation(VmId("vm-$index"), startId = nextStartId++)
        val settings = CoordinatorSettings(
            checkpointIntervalMs = limits.checkpointIntervalMs,
            checkpointEntriesPerPart = 3,
            retention = IntentRetention(limits.keyRetentionMs, limits.assumedLogRetentionMs),
        )
        val coordinator = IntentCoordinator(incarnation, settings, Random(random.nextLong()))
        return Vm(incarnation, newGateway(incarnation, Random(random.nextLong())), coordinator)
    }

    private fun tick(vm: Vm) {
        if (vm.isPaused) return
        vm.feed(ExecutorEvent.Tick)
        vm.feed(CoordinatorEvent.Tick)
    }

    private fun Vm.feed(event: ExecutorEvent) = gateway.handle(event, nowMs).forEach { perform(this, it) }

    private fun Vm.feed(event: CoordinatorEvent) = coordinator.handle(event, nowMs).forEach { perform(this, it) }

    private fun schedule(to: Vm?, isLossy: Boolean = !faultsEnded, run: () -> Unit) {
        operations += Operation(to, isLossy, run)
    }

    /** Sends a message to the process that now runs on the VM of [incarnation], which may be a later incarnation. */
    private fun send(incarnation: GatewayIncarnation, run: (Vm) -> Unit) {
        val index = vms.indexOfFirst { it.incarnation.vmId == incarnation.vmId }
        schedule(vms[index]) { if (!vms[index].isPaused) run(vms[index]) }
    }

    private fun perform(vm: Vm, action: ExecutorAction) {
        when (action) {
            is ExecutorAction.SubmitRecord -> submitRecord(action)
            is ExecutorAction.Dispatch -> dispatch(vm, action)
            is ExecutorAction.RespondToCaller -> onResult(action.requestId, action.result)
            is ExecutorAction.QueryAttempt -> send(action.attemptId.executor) {
                it.feed(ExecutorEvent.Queried(action.querierId, action.key, action.attemptId))
            }
            is ExecutorAction.AnswerQuery -> send(action.querierId.executor) {
                it.feed(ExecutorEvent.QueryAnswered(action.querierId, action.state))
            }
        }
    }

    private fun submitRecord(action: ExecutorAction.SubmitRecord) {
        val vmIndex = if (random.nextInt(4) == 0) random.nextInt(VM_COUNT) else action.rank % VM_COUNT
        schedule(vms[vmIndex]) { vms[vmIndex].feed(CoordinatorEvent.WriteRequested(action.record)) }
    }

    private fun perform(vm: Vm, action: CoordinatorAction) {
        when (action) {
            is CoordinatorAction.Append -> append(vm, encodeIntentBatch(action.batch))
            is CoordinatorAction.Read -> schedule(vm, isLossy = false) { vm.feed(readLog(action.fromOffset)) }
            is CoordinatorAction.Reply -> send(action.attemptId.executor) {
                it.feed(ExecutorEvent.CoordinatorAnswered(action.attemptId, action.answer))
            }
        }
    }

    /** Applies an append and reports its result separately; either may come first, and the report may be lost. */
    private fun append(vm: Vm, payload: ByteArray) {
        var offset: Long? = null
        var isRefused = false
        schedule(null, isLossy = false) {
            if (isLogDown && offset == null) isRefused = true
            if (!isRefused) offset = appendNow(payload)
        }
        schedule(vm, isLossy = false) {
            val isReportLost = !faultsEnded && random.nextInt(8) == 0
            val knownOffset = offset
            val event = when {
                isRefused -> CoordinatorEvent.AppendFailed(LogFailure.Unavailable("down"))
                knownOffset == null || isReportLost -> CoordinatorEvent.AppendFailed(LogFailure.OutcomeUnknown("lost"))
                else -> CoordinatorEvent.Appended(knownOffset)
            }
            vm.feed(event)
        }
    }

    private fun appendNow(payload: ByteArray): Long {
        val offset = logRecords.size.toLong()
        logRecords += LogRecord(offset, payload)
        appendTimes += nowMs
        return offset
    }

    private var firstOffset = 0

    private fun expireLog() {
        while (firstOffset < appendTimes.size && nowMs - appendTimes[firstOffset] > limits.logRetentionMs) firstOffset++
    }

    private fun readLog(fromOffset: Long): CoordinatorEvent =
        when {
            isLogDown -> CoordinatorEvent.ReadFailed(LogFailure.Unavailable("down"))
            fromOffset < firstOffset ->
                CoordinatorEvent.ReadFailed(LogFailure.Expired(fromOffset, firstOffset.toLong()))
            else -> {
                val records = logRecords.drop(fromOffset.toInt()).take(MAX_READ_RECORDS)
                CoordinatorEvent.RecordsRead(LogBatch(records, firstOffset.toLong(), logRecords.size.toLong()))
            }
        }

    private fun dispatch(vm: Vm, action: ExecutorAction.Dispatch) {
        val attempt = DispatchAttempt(action.call.deadlineMs)
        val exchange = Exchange(vm, action.attemptId, action.call, attempt)
        schedule(vm, isLossy = false) { exchange.feed(DispatchEvent.Started) }
    }

    private fun Exchange.feed(event: DispatchEvent) {
        when (val action = attempt.handle(event, nowMs)) {
            is DispatchAction.End -> vm.feed(ExecutorEvent.DispatchEnded(attemptId, outcome(action.status)))
            DispatchAction.Write -> {
                schedule(null, isLossy = false) { serve(this) }
                scheduleNext(DispatchEvent.RequestWritten)
            }
            DispatchAction.Connect -> scheduleNext(DispatchEvent.Connected)
            null -> continueAfter(event)
        }
    }

    private fun Exchange.continueAfter(event: DispatchEvent) {
        val statusCode = serviceStatusCode
        when {
            attempt.step == DispatchStep.ENDED -> Unit
            event is DispatchEvent.ResponseStarted -> scheduleNext(DispatchEvent.ResponseEnded)
            statusCode == null -> scheduleNext(DispatchEvent.DeadlineReached)
            attempt.step == DispatchStep.AWAITING_RESPONSE ->
                scheduleNext(DispatchEvent.ResponseStarted(statusCode, statusCode == TOO_MANY_REQUESTS))
            else -> Unit
        }
    }

    private fun Exchange.scheduleNext(event: DispatchEvent) {
        val isConnectionLost = !faultsEnded && random.nextInt(10) == 0
        schedule(vm, isLossy = false) { feed(if (isConnectionLost) DispatchEvent.ConnectionLost else event) }
    }

    private fun Exchange.outcome(status: ExecutionStatus): StoredOutcome =
        StoredOutcome(status, serviceResponse.takeIf { status == ExecutionStatus.Completed })

    /** The service receives the complete request or nothing; it may receive the request after the connection failed. */
    private fun serve(exchange: Exchange) {
        if (!faultsEnded && random.nextInt(12) == 0) return
        if (!faultsEnded && random.nextInt(8) == 0) {
            exchange.serviceStatusCode = TOO_MANY_REQUESTS
            return
        }
        val request = requestOfCall.getValue(exchange.call.requestId)
        request.runs += exchange.call.fingerprint
        callsThatRan += exchange.call.requestId
        runCount++
        exchange.serviceStatusCode = OK
        exchange.serviceResponse = responseOf(request)
    }

    private fun responseOf(request: Request) =
        StoredResponse(OK, "text/plain", "reservation ${request.key.low} run ${request.runs.size}".encodeToByteArray())

    private fun onResult(requestId: RequestId, result: CallResult) {
        val request = requestOfCall.getValue(requestId)
        resultCount++
        request.lastResult = result
        when (result) {
            is CallResult.Refused -> {
                callsReportedNotRun += requestId
                val isConflict = result.refusal is CallRefusal.KeyConflict
                val ranBefore = if (isConflict) 0 else request.runs.size
                if (result.earlierCalls == EarlierCalls.NONE &&
                    ranBefore > 0
                ) {
                    violations += "false 'no earlier call ran' for $requestId"
                }
            }
            is CallResult.Ended -> checkOutcome(request, result.outcome)
            is CallResult.Replayed -> checkOutcome(request, result.outcome)
            CallResult.StillRunning, CallResult.OutcomeUnknown -> Unit
        }
    }

    private fun checkOutcome(request: Request, outcome: StoredOutcome) {
        if (outcome.status != ExecutionStatus.Completed) return
        if (outcome.response != responseOf(request)) violations += "${outcome.response} is not the response sent"
    }

    private fun checkInvariants() {
        for (request in requests) {
            if (request.runs.size > 1) violations += "${request.key} ran ${request.runs.size} times"
        }
        for (requestId in callsReportedNotRun.intersect(callsThatRan)) violations += "false 'not run' for $requestId"
    }

    private companion object {
        const val VM_COUNT = 4
        const val OK = 200
        const val TOO_MANY_REQUESTS = 429
        const val NO_FAULT = -1
        const val MAX_READ_RECORDS = 5
        const val CALL_TIMEOUT_MS = 5_000L
        const val MAX_FAULT_FREE_ROUNDS = 150
        const val FAULT_FREE_ROUND_MS = 100L
    }
}
