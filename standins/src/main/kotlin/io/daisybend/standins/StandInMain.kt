/*
 * Entry point that runs a stand-in for the platform, a model engine or a plain service as a process.
 */
package io.daisybend.standins

import org.kohsuke.args4j.Argument
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.Option
import kotlin.system.exitProcess

/** Command-line options of the stand-in process. */
internal class StandInOptions {
    @Argument(required = true, metaVar = "KIND", usage = "platform, engine or service")
    var kind: String = ""

    @Option(name = "--port", required = true, usage = "port on the loopback address")
    var port: Int = 0

    @Option(name = "--memory-bytes", usage = "accelerator memory of an engine in bytes")
    var memoryBytes: Long = 80L shl 30

    @Option(name = "--kv-cache-bytes", usage = "part of an engine's memory that is reserved for its KV cache, in bytes")
    var kvCacheBytes: Long = 0

    @Option(name = "--checks-fencing", usage = "makes an engine refuse orders with an outdated fencing number")
    var checksFencing: Boolean = false

    @Option(name = "--platform", usage = "host:port of the platform stand-in from which an engine loads weights")
    var platform: String = ""
}

/** Runs a stand-in until the process is terminated. */
public fun main(args: Array<String>) {
    val options = StandInOptions()
    val parser = CmdLineParser(options)
    try {
        parser.parseArgument(*args)
    } catch (exception: CmdLineException) {
        System.err.println(exception.message)
        parser.printUsage(System.err)
        exitProcess(2)
    }
    createStandIn(options).start(wait = true)
}

private fun createStandIn(options: StandInOptions): StandIn = when (options.kind) {
    "platform" -> StandIn.platform(options.port)
    "engine" -> StandIn.engine(options.port, toEngineOptions(options))
    "service" -> StandIn.service(options.port)
    else -> throw IllegalArgumentException("expected platform, engine or service, got ${options.kind}")
}

private fun toEngineOptions(options: StandInOptions) = EngineOptions(
    memoryBytes = options.memoryBytes,
    kvCacheBytes = options.kvCacheBytes,
    checksFencing = options.checksFencing,
    weightStoreAddress = options.platform.ifBlank { null },
)
