/*
 * A test site that runs each daemon as a separate process, so that a test can kill, freeze and resume it. The site
 * replays the platform's log and compares the engine's state with the recorded decisions.
 */
package io.daisybend.daemon.placement

import com.github.michaelbull.result.getOrElse
import io.daisybend.configuration.EndpointKind
import io.daisybend.configuration.EndpointSpec
import io.daisybend.configuration.Manifest
import io.daisybend.configuration.ModelSpec
import io.daisybend.configuration.TeamSpec
import io.daisybend.daemon.TestKey
import io.daisybend.daemon.TestSite.Companion.eventually
import io.daisybend.daemon.TestSite.Companion.freePort
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.FailureDomainId
import io.daisybend.kernel.ModelId
import io.daisybend.kernel.TeamId
import io.daisybend.kernel.VmId
import io.daisybend.placement.AppliedRecord
import io.daisybend.placement.PLACEMENT_STREAM
import io.daisybend.placement.PlacementLedger
import io.daisybend.placement.PlacementRecord
import io.daisybend.placement.decidedArtifact
import io.daisybend.placement.decodePlacementRecord
import io.daisybend.standins.EngineOptions
import io.daisybend.standins.StandIn
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.contentType
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import java.nio.file.Files
import java.nio.file.Path
import java.util.Base64

private const val TOKEN = "operators"
private const val GIB = 1L shl 30

/** A daemon that runs as a separate process. */
class DaemonProcess(
    val vmId: VmId,
    val callerAddress: String,
    val operatorAddress: String,
    private val process: Process,
) {
    val isAlive: Boolean get() = process.isAlive

    fun kill() {
        process.destroyForcibly().waitFor()
    }

    fun freeze() = signal("-STOP")

    fun resume() = signal("-CONT")

    private fun signal(name: String) {
        check(ProcessBuilder("kill", name, process.pid().toString()).start().waitFor() == 0) { "kill $name failed" }
    }
}

class ProcessSite private constructor(private val checksFencing: Boolean, private val directory: Path) {
    private val platform = StandIn.platform(freePort()).start()
    private val engine = StandIn.engine(freePort(), EngineOptions(MEMORY_BYTES, checksFencing = checksFencing)).start()
    private val client = HttpClient(CIO) {
        expectSuccess = false
        install(HttpTimeout) { requestTimeoutMillis = 40_000 }
    }
    private val teamKey = TestKey("key-a", TeamId("team-a"))
    val engineId = EndpointId("engine-0")
    val models = (1..3).map { ModelId("model-$it") }
    val daemons = ArrayList<DaemonProcess>()

    /** Prints the last lines of each daemon's log to help diagnose a failed test. */
    private fun printLogs() = daemons.forEach { daemon ->
        val log = directory.resolve("${daemon.vmId.value}.log")
        if (Files.exists(log)) {
            println(
                "log of ${daemon.vmId.value}:\n" + Files.readAllLines(log).takeLast(20).joinToString("\n"),
            )
        }
    }

    fun start(vmId: String): DaemonProcess {
        val (callerAddress, peerAddress, operatorAddress) = List(3) { "127.0.0.1:${freePort()}" }
        val ini = directory.resolve("$vmId.ini")
        Files.writeString(ini, ini(vmId, callerAddress, peerAddress, operatorAddress))
        val process = ProcessBuilder(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-Xmx128m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1",
            "-cp", System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path"),
            "io.daisybend.daemon.DaemonMainKt", "--config", ini.toString(),
        ).redirectErrorStream(true).redirectOutput(directory.resolve("$vmId.log").toFile()).start()
        return DaemonProcess(VmId(vmId), callerAddress, operatorAddress, process).also { daemons += it }
    }

    private fun ini(vmId: String, callerAddress: String, peerAddress: String, operatorAddress: String) = """
        [vm]
        id = $vmId
        failure_domain = domain-$vmId
        region = test
        [callers]
        listen = $callerAddress
        [peers]
        listen = $peerAddress
        secret_file = ${secretFile("peers")}
        [operators]
        listen = $operatorAddress
        token_file = ${secretFile(TOKEN)}
        [platform]
        address = ${platform.address}
    """.trimIndent()

    private fun secretFile(secret: String): Path = Files.writeString(directory.resolve("$secret.secret"), secret)

    private fun manifest() = Manifest(
        models = models.map { ModelSpec(it, version = "1", weightsBytes = MODEL_BYTES) },
        teams = listOf(TeamSpec(teamKey.teamId, 1_000_000, 10_000_000, modelIds = models)),
        keys = listOf(teamKey.spec),
        endpoints = listOf(
            EndpointSpec(
                endpointId = engineId,
                kind = EndpointKind.ENGINE,
                address = engine.address,
                failureDomainId = FailureDomainId("domain-0"),
                memoryBytes = MEMORY_BYTES,
                checksFencing = checksFencing,
            ),
        ),
    )

    private suspend fun prepare() {
        setSwitches(platform, """{"vmExpiryMs":2000}""")
        daemons.forEach { daemon -> awaitOk("http://${daemon.operatorAddress}/healthz") }
        eventually { apply(manifest()) == 200 }
        daemons.forEach { daemon -> awaitOk("http://${daemon.operatorAddress}/readyz") }
        eventually { ownerOrNull() != null }
    }

    private suspend fun apply(manifest: Manifest): Int =
        client.post("http://${daemons.first().operatorAddress}/admin/manifest") {
            bearerAuth(TOKEN)
            setBody(Json.encodeToString(Manifest.serializer(), manifest))
        }.status.value

    private suspend fun awaitOk(url: String) =
        eventually { runCatching { client.get(url).status.value == 200 }.getOrDefault(false) }

    suspend fun delayLoads(delayMs: Long) = setSwitches(engine, """{"loadDelayMs":$delayMs}""")

    private suspend fun setSwitches(standIn: StandIn, switchesJson: String) {
        client.post("http://${standIn.address}/switches") {
            contentType(ContentType.Application.Json)
            setBody(switchesJson)
        }
    }

    /** Requests a completion from [daemon] and returns the HTTP status. */
    suspend fun chat(daemon: DaemonProcess, modelId: ModelId): Int =
        client.post("http://${daemon.callerAddress}/v1/chat/completions") {
            bearerAuth(teamKey.text)
            contentType(ContentType.Application.Json)
            val message = """[{"role":"user","content":"hello"}]"""
            setBody("""{"model":"$modelId","max_tokens":3,"messages":$message}""")
        }.status.value

    suspend fun owner(): DaemonProcess = checkNotNull(ownerOrNull())

    private suspend fun ownerOrNull(): DaemonProcess? {
        val owner = replayLog().ledger.endpoint(engineId)?.owner ?: return null
        return daemons.find { it.vmId == owner.vmId && it.isAlive }
    }

    suspend fun loadsStarted(): Long = engineState().getValue("loadsStarted").jsonPrimitive.long

    /** Checks that the engine received only decided orders and that its peak memory use stayed within its memory. */
    suspend fun checkEngine() {
        val state = engineState()
        val decisions = replayLog().applied.filter { it.refusal == null && it.record.decidedArtifact != null }
        val decidedRecordIds = decisions.map { it.record.recordId.value }.toSet()
        val receivedOrderIds = listOf("completedOrderIds", "loadingOrderIds")
            .flatMap { state.getValue(it).jsonArray }
            .map { it.jsonPrimitive.content }
        (receivedOrderIds - decidedRecordIds).shouldBeEmpty()
        state.getValue("peakUsedBytes").jsonPrimitive.long shouldBeLessThanOrEqual MEMORY_BYTES
    }

    suspend fun decidedLoads(): Int =
        replayLog().applied.count { it.refusal == null && it.record is PlacementRecord.DecideLoad }

    private suspend fun engineState(): JsonObject =
        Json.parseToJsonElement(client.get("http://${engine.address}/control/state").bodyAsText()).jsonObject

    private class LogReplay(val ledger: PlacementLedger, val applied: List<AppliedRecord>)

    private suspend fun replayLog(): LogReplay {
        val body = client.get("http://${platform.address}/log/$PLACEMENT_STREAM?from=0&max=100000").bodyAsText()
        val ledger = PlacementLedger()
        val applied = Json.parseToJsonElement(body).jsonObject.getValue("records").jsonArray.map { element ->
            val record = element.jsonObject
            val payload = Base64.getDecoder().decode(record.getValue("payload").jsonPrimitive.content)
            val offset = record.getValue("offset").jsonPrimitive.long
            ledger.apply(offset, decodePlacementRecord(payload).getOrElse { error(it.message) })
        }
        return LogReplay(ledger, applied)
    }

    private fun close() {
        daemons.filter { it.isAlive }.forEach { it.kill() }
        engine.stop()
        platform.stop()
        client.close()
    }

    companion object {
        const val MODEL_BYTES = 30 * GIB
        const val MEMORY_BYTES = 80 * GIB

        /** Runs [body] on a site with three daemons and one engine, then stops all processes. */
        suspend fun run(checksFencing: Boolean, body: suspend (ProcessSite) -> Unit) {
            val directory = Files.createTempDirectory("daisybend-site")
            val site = ProcessSite(checksFencing, directory)
            try {
                repeat(3) { site.start("vm-$it") }
                site.prepare()
                body(site)
            } catch (failure: Throwable) {
                site.printLogs()
                throw failure
            } finally {
                site.close()
                directory.toFile().deleteRecursively()
            }
        }
    }
}
