/*
 * Tests followed configurations on three VMs that are connected by real sockets.
 */
package io.daisybend.daemon.configuration

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.map
import io.daisybend.configuration.ChangeId
import io.daisybend.configuration.ConfigurationChange
import io.daisybend.configuration.KeyId
import io.daisybend.configuration.SubmissionResult
import io.daisybend.daemon.lifecycle.Lifecycle
import io.daisybend.daemon.lifecycle.LifecyclePhase
import io.daisybend.daemon.request.AddressResolver
import io.daisybend.daemon.request.Completion
import io.daisybend.daemon.request.CompletionCall
import io.daisybend.daemon.request.ModelDispatcher
import io.daisybend.daemon.request.ModelRequest
import io.daisybend.daemon.request.OutputToken
import io.daisybend.daemon.request.Priority
import io.daisybend.daemon.request.RateLimiter
import io.daisybend.daemon.request.RateReservation
import io.daisybend.daemon.request.RequestFailure
import io.daisybend.daemon.request.RequestService
import io.daisybend.daemon.request.RequestServiceDependencies
import io.daisybend.daemon.request.ResolvedAddresses
import io.daisybend.daemon.request.ServiceCall
import io.daisybend.daemon.request.ServiceDispatcher
import io.daisybend.daemon.request.ServiceResponse
import io.daisybend.kernel.ModelId
import io.daisybend.kernel.RequestId
import io.daisybend.kernel.SystemMillisClock
import io.daisybend.kernel.TeamId
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import java.util.concurrent.atomic.AtomicInteger

private object EndlessModelDispatcher : ModelDispatcher {
    override suspend fun run(
        request: ModelRequest,
        onToken: suspend (OutputToken) -> Unit,
    ): Result<Completion, RequestFailure> {
        var index = 0
        while (true) {
            onToken(OutputToken(index++, "word "))
            delay(10)
        }
    }
}

private object UnlimitedRateLimiter : RateLimiter {
    override suspend fun reserve(teamId: TeamId, tokens: Long): Result<RateReservation, RequestFailure> =
        Ok(
            object : RateReservation {
                override suspend fun settle(usedTokens: Long) = Unit
            },
        )
}

private object UnusedServices : ServiceDispatcher, AddressResolver {
    override suspend fun run(call: ServiceCall): Result<ServiceResponse, RequestFailure> = error("expected no call")

    override fun addressesFor(teamId: TeamId?, modelId: ModelId?) = ResolvedAddresses(emptyList(), 0, emptyList())
}

private fun requestServiceOf(vm: VmFake): RequestService {
    val configuration = vm.configuration
    val lifecycle = Lifecycle().apply { advanceTo(LifecyclePhase.SERVING) }
    val dependencies = RequestServiceDependencies(
        configuration,
        configuration,
        UnlimitedRateLimiter,
        EndlessModelDispatcher,
        UnusedServices,
        UnusedServices,
    )
    return RequestService(dependencies, lifecycle, SystemMillisClock, vm.timeline)
}

private fun completionCall(key: String) = CompletionCall(
    requestId = RequestId("request-1"),
    key = key,
    modelOrAdapterName = "orders",
    prompt = "Draft the order.",
    maxOutputTokens = null,
    priority = Priority.INTERACTIVE,
    timeoutMs = 60_000,
)

private val withdrawal = ConfigurationChange.WithdrawKey(KeyId("front-desk"))

class FollowedConfigurationTest : FunSpec({
    lateinit var site: SiteFake
    beforeTest { site = SiteFake(3).also { it.start() } }
    afterTest { site.stop() }

    test("withdrawing a key cancels its streams on all VMs, including one that cannot reach the log") {
        site.vms[2].isLogReachable = false
        coroutineScope {
            val streams = site.vms.map { vm ->
                val tokens = AtomicInteger()
                val service = requestServiceOf(vm)
                val completion = async(Dispatchers.Default) {
                    service.complete(completionCall(site.key.clearText)) { tokens.incrementAndGet() }
                }
                eventually { tokens.get() > 5 }
                completion
            }
            site.vms[0].submission.submit(ChangeId("withdraw"), withdrawal) shouldBe SubmissionResult.Accepted(2)
            eventually { streams.all { it.isCompleted } }
            streams.forEach { it.await().getError().shouldBeInstanceOf<RequestFailure.KeyWithdrawn>() }
        }
        site.vms.forEach { vm ->
            vm.configuration.authenticate(site.key.clearText).getError()
                .shouldBeInstanceOf<RequestFailure.Unauthenticated>()
        }
    }

    test("a VM that cannot reach the log stays up to date through its peers and serves") {
        site.vms[2].isLogReachable = false
        val rates = ConfigurationChange.SetRates(1, TeamId("cinema"), 77, 88)
        site.vms[0].submission.submit(ChangeId("rates"), rates) shouldBe SubmissionResult.Accepted(2)
        eventually { site.vms[2].configuration.current()?.team(TeamId("cinema"))?.rateTokensPerSecond == 77L }
        site.vms[2].configuration.authenticate(site.key.clearText).map { it.teamId } shouldBe Ok(TeamId("cinema"))
    }

    test("a VM that can reach neither the log nor its peers refuses requests as not ready") {
        site.vms[0].stop()
        site.vms[1].stop()
        site.vms[2].isLogReachable = false
        eventually { site.vms[2].configuration.authenticate(site.key.clearText).getError() is RequestFailure.NotReady }
    }

    test("one of two concurrent changes is accepted, and resubmitting a change on any VM returns its first result") {
        val first = ConfigurationChange.SetRates(1, TeamId("cinema"), 1, 1)
        val second = ConfigurationChange.SetRates(1, TeamId("cinema"), 2, 2)
        val results = coroutineScope {
            listOf(first, second).mapIndexed { vmIndex, change ->
                async { site.vms[vmIndex].submission.submit(ChangeId("race-$vmIndex"), change) }
            }.map { it.await() }
        }
        results.count { it is SubmissionResult.Accepted } shouldBe 1
        results.count { it is SubmissionResult.Refused } shouldBe 1
        site.vms[2].submission.submit(ChangeId("race-0"), first) shouldBe results[0]
        site.vms[2].submission.submit(ChangeId("race-1"), second) shouldBe results[1]
    }
})
