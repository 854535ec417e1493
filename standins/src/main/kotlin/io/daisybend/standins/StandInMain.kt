/*
 * Starts one stand-in as a process: the platform, a model engine or a plain service.
 */
package io.daisybend.standins

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
    standInFrom(options).start(wait = true)
}

private fun standInFrom(options: StandInOptions): StandIn = when (options.kind) {
    "platform" -> StandIn.platform(options.port)
    "engine" -> StandIn.engine(options.port, engineFrom(options))
    "service" -> StandIn.service(options.port)
    else -> throw IllegalArgumentException("expected platform, engine or service, got ${options.kind}")
}

private fun engineFrom(options: StandInOptions) = EngineOptions(
    memoryBytes = options.memoryBytes,
    kvCacheBytes = options.kvCacheBytes,
    checksFencing = options.checksFencing,
    weightStoreAddress = options.platform.ifBlank { null },
)
