/*
 * Configurations of three VMs with real connections between them.
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
import io.daisybend.daemon.request.RequestSteps
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

private object EndlessModel : ModelDispatcher {
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

private object FreeRates : RateLimiter {
    override suspend fun reserve(teamId: TeamId, tokens: Long): Result<RateReservation, RequestFailure> =
        Ok(
            object : RateReservation {
                override suspend fun settle(usedTokens: Long) = Unit
            },
        )
}

private object NoServices : ServiceDispatcher, AddressResolver {
    override suspend fun run(call: ServiceCall): Result<ServiceResponse, RequestFailure> = error("expected no call")

    override fun addressesFor(teamId: TeamId?, modelId: ModelId?) = ResolvedAddresses(emptyList(), 0, emptyList())
}

private fun serviceOn(vm: VmFake): RequestService {
    val configuration = vm.configuration
    val lifecycle = Lifecycle().apply { advanceTo(LifecyclePhase.SERVING) }
    val steps = RequestSteps(configuration, configuration, FreeRates, EndlessModel, NoServices, NoServices)
    return RequestService(steps, lifecycle, SystemMillisClock, vm.timeline)
}

private fun callWith(key: String) = CompletionCall(
    requestId = RequestId("request-1"),
    key = key,
    itemName = "orders",
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

    test("a key that is withdrawn mid-stream ends the stream on every VM, also on one cut off from the log") {
        site.vms[2].reachesLog = false
        coroutineScope {
            val streams = site.vms.map { vm ->
                val tokens = AtomicInteger()
                val service = serviceOn(vm)
                val end = async(Dispatchers.Default) {
                    service.complete(callWith(site.key.clearText)) { tokens.incrementAndGet() }
                }
                eventually { tokens.get() > 5 }
                end
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

    test("a VM cut off from the log follows and serves through its peers") {
        site.vms[2].reachesLog = false
        val rates = ConfigurationChange.SetRates(1, TeamId("cinema"), 77, 88)
        site.vms[0].submission.submit(ChangeId("rates"), rates) shouldBe SubmissionResult.Accepted(2)
        eventually { site.vms[2].configuration.current()?.team(TeamId("cinema"))?.rateTokensPerSecond == 77L }
        site.vms[2].configuration.authenticate(site.key.clearText).map { it.teamId } shouldBe Ok(TeamId("cinema"))
    }

    test("a VM cut off from the log and its peers refuses as not run") {
        site.vms[0].stop()
        site.vms[1].stop()
        site.vms[2].reachesLog = false
        eventually { site.vms[2].configuration.authenticate(site.key.clearText).getError() is RequestFailure.NotReady }
    }

    test("of operators who race through two VMs one wins, and a repeated change gets its first answer anywhere") {
        val first = ConfigurationChange.SetRates(1, TeamId("cinema"), 1, 1)
        val second = ConfigurationChange.SetRates(1, TeamId("cinema"), 2, 2)
        val results = coroutineScope {
            listOf(first, second).mapIndexed { at, change ->
                async { site.vms[at].submission.submit(ChangeId("race-$at"), change) }
            }.map { it.await() }
        }
        results.count { it is SubmissionResult.Accepted } shouldBe 1
        results.count { it is SubmissionResult.Refused } shouldBe 1
        site.vms[2].submission.submit(ChangeId("race-0"), first) shouldBe results[0]
        site.vms[2].submission.submit(ChangeId("race-1"), second) shouldBe results[1]
    }
})
