/*
 * Starts one stand-in as a process: the platform, a model engine or a plain service. Stand-ins answer over the
 * published HTTP interfaces in docs/STANDINS.md and have switches for the failures that tests bring about.
 */
package io.daisybend.standins

import io.daisybend.standins.engine.EngineStandIn
import io.daisybend.standins.platform.PlatformStandIn
import io.daisybend.standins.service.ServiceStandIn
import io.ktor.serialization.kotlinx.json.json
import io.ktor.server.application.Application
import io.ktor.server.application.install
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.plugins.contentnegotiation.ContentNegotiation
import kotlinx.serialization.json.Json
import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.Option
import kotlin.system.exitProcess

/** Arguments of the stand-in process. */
internal class StandInOptions {
    @Argument(required = true, metaVar = "KIND", usage = "platform, engine or service")
    var kind: String = ""

    @Option(name = "--port", required = true, usage = "port on the loopback address")
    var port: Int = 0

    @Option(name = "--memory-bytes", usage = "accelerator memory of an engine")
    var memoryBytes: Long = 80L shl 30

    @Option(name = "--kv-cache-bytes", usage = "part of an engine's memory that is kept for its KV cache")
    var kvCacheBytes: Long = 0

    @Option(name = "--checks-fencing", usage = "makes an engine refuse orders with an old fencing number")
    var checksFencing: Boolean = false

    @Option(name = "--platform", usage = "host:port of the platform stand-in whose weight store an engine uses")
    var platform: String = ""
}

/** Runs one stand-in until the process is ended. */
public fun main(args: Array<String>) {
    val options = StandInOptions()
    val parser = CmdLineParser(options)
    try {
        parser.parseArgument(*args)
    } catch (invalid: CmdLineException) {
        System.err.println(invalid.message)
        parser.printUsage(System.err)
        exitProcess(2)
    }
    startStandIn(options).start(wait = true)
}

internal fun startStandIn(options: StandInOptions): EmbeddedServer<*, *> = when (options.kind) {
    "platform" -> serveStandIn(options.port) { with(PlatformStandIn()) { routes() } }
    "engine" -> serveStandIn(options.port) { with(engineFrom(options)) { routes() } }
    "service" -> serveStandIn(options.port) { with(ServiceStandIn()) { routes() } }
    else -> throw IllegalArgumentException("expected platform, engine or service, got ${options.kind}")
}

private fun engineFrom(options: StandInOptions) = EngineStandIn(
    memoryBytes = options.memoryBytes,
    kvCacheBytes = options.kvCacheBytes,
    checksFencing = options.checksFencing,
    weightStoreAddress = options.platform.ifBlank { null },
)

internal val standInJson = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
    explicitNulls = false
}

internal fun serveStandIn(port: Int, routes: Application.() -> Unit): EmbeddedServer<*, *> =
    embeddedServer(CIO, port = port, host = "127.0.0.1") {
        install(ContentNegotiation) { json(standInJson) }
        routes()
    }
