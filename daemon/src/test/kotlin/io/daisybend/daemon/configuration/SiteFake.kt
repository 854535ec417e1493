/*
 * Runs followed configurations of several VMs in one process, with real sockets between them and an in-memory log.
 * Access to the log can be disabled for each VM.
 */
package io.daisybend.daemon.configuration

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.daisybend.configuration.ChangeId
import io.daisybend.configuration.ConfigurationChange
import io.daisybend.configuration.KeyId
import io.daisybend.configuration.Manifest
import io.daisybend.configuration.ManifestTables
import io.daisybend.configuration.ModelSpec
import io.daisybend.configuration.SubmissionResult
import io.daisybend.configuration.TeamSpec
import io.daisybend.configuration.diffManifests
import io.daisybend.configuration.newKey
import io.daisybend.configuration.toTables
import io.daisybend.daemon.TestSite
import io.daisybend.kernel.LogBatch
import io.daisybend.kernel.LogFailure
import io.daisybend.kernel.LogRecord
import io.daisybend.kernel.LogStream
import io.daisybend.kernel.ModelId
import io.daisybend.kernel.PlatformLog
import io.daisybend.kernel.SystemMillisClock
import io.daisybend.kernel.TeamId
import io.daisybend.kernel.Timeline
import io.daisybend.kernel.VmId
import io.daisybend.kernel.settings.HostAndPort
import io.daisybend.transport.PeerNetwork
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeout
import java.security.SecureRandom

internal class SharedLogFake {
    private val streams = HashMap<LogStream, MutableList<ByteArray>>()

    @Synchronized
    fun append(stream: LogStream, payload: ByteArray): Long {
        val records = streams.getOrPut(stream) { mutableListOf() }
        records += payload
        return records.lastIndex.toLong()
    }

    @Synchronized
    fun read(stream: LogStream, fromOffset: Long, maxRecords: Int): LogBatch {
        val all = streams[stream].orEmpty()
        val records = all.withIndex().drop(fromOffset.toInt()).take(maxRecords)
        return LogBatch(records.map { LogRecord(it.index.toLong(), it.value) }, 0, all.size.toLong())
    }
}

internal class VmFake(val vmId: VmId, site: SiteFake, private val port: Int) : PlatformLog {
    private val sharedLog = site.log
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val peers = PeerNetwork(vmId, "secret".toByteArray(), site::addressOf)
    val timeline = Timeline(vmId, SystemMillisClock)
    val configuration = FollowedConfiguration(
        ConfigurationPorts(this, peers, { site.vmIds - vmId }, SystemMillisClock, timeline),
        scope,
    )
    val submission = ChangeSubmission(this, configuration, SystemMillisClock)

    @Volatile
    var isLogReachable = true

    suspend fun start() {
        peers.listen(HostAndPort("127.0.0.1", port))
        configuration.start()
    }

    fun stop() {
        scope.cancel()
        peers.close()
    }

    override suspend fun append(stream: LogStream, payload: ByteArray): Result<Long, LogFailure> =
        if (isLogReachable) Ok(sharedLog.append(stream, payload)) else Err(logUnavailable)

    override suspend fun read(stream: LogStream, fromOffset: Long, maxRecords: Int): Result<LogBatch, LogFailure> =
        if (isLogReachable) Ok(sharedLog.read(stream, fromOffset, maxRecords)) else Err(logUnavailable)

    private companion object {
        val logUnavailable = LogFailure.Unavailable("expected a reachable log, this VM is disconnected from it")
    }
}

internal class SiteFake(size: Int) {
    val log = SharedLogFake()
    val vmIds = List(size) { VmId("vm-$it") }
    private val ports = freePorts(size)
    val vms = vmIds.mapIndexed { index, vmId -> VmFake(vmId, this, ports[index]) }
    val key = newKey(KeyId("front-desk"), TeamId("cinema")) { count ->
        ByteArray(count).also { SecureRandom().nextBytes(it) }
    }
    val manifest = Manifest(
        models = listOf(ModelSpec(ModelId("orders"), "1", weightsBytes = 1_000)),
        teams = listOf(TeamSpec(TeamId("cinema"), 1_000, 10_000, modelIds = listOf(ModelId("orders")))),
        keys = listOf(key.spec),
    )

    fun addressOf(vmId: VmId): HostAndPort = HostAndPort("127.0.0.1", ports[vmIds.indexOf(vmId)])

    suspend fun start() {
        vms.forEach { it.start() }
        vms.forEach { vm -> eventually { vm.configuration.state != null } }
        val diff = diffManifests(ManifestTables(), manifest.toTables())
        val result = vms[0].submission.submit(ChangeId("first"), ConfigurationChange.ApplyManifest(0, diff))
        check(result is SubmissionResult.Accepted) { "expected an accepted manifest, got $result" }
        vms.forEach { vm -> eventually { vm.configuration.state?.revision == 1L } }
    }

    fun stop() = vms.forEach { it.stop() }
}

/** Waits until [condition] is true; fails after the maximum time for a change to be in force on all VMs. */
internal suspend fun eventually(condition: () -> Boolean) = withTimeout(PROPAGATION_TIMEOUT_MS) {
    while (!condition()) delay(POLL_INTERVAL_MS)
}

private const val PROPAGATION_TIMEOUT_MS = 10_000L
private const val POLL_INTERVAL_MS = 20L

/** Returns [count] different free ports; see [TestSite.freePort]. */
internal fun freePorts(count: Int): List<Int> = List(count) { TestSite.freePort() }
