/*
 * The daemon's process: reads its arguments and settings, runs until SIGTERM or an operator's drain, then stops
 * gracefully. Exit codes: 0 after a planned stop, 2 for wrong arguments or settings, 1 for any other failure.
 */
package io.daisybend.daemon

import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.map
import io.daisybend.kernel.Failure
import io.daisybend.kernel.plugin.PortRegistry
import io.daisybend.kernel.settings.Settings
import io.daisybend.kernel.settings.renderSettingsPage
import kotlinx.coroutines.runBlocking
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.Option
import java.nio.file.Path
import kotlin.system.exitProcess

private const val EXIT_FAILURE = 1
private const val EXIT_USAGE = 2

internal class DaemonOptions {
    @Option(name = "--config", required = true, metaVar = "FILE", usage = "settings file")
    var config: String = ""

    @Option(name = "--check", usage = "check the settings and exit")
    var check: Boolean = false

    @Option(name = "--describe-settings", help = true, usage = "print the settings page and exit")
    var describeSettings: Boolean = false
}

/** Runs the daemon. */
public fun main(args: Array<String>) {
    val options = DaemonOptions()
    val parser = CmdLineParser(options)
    try {
        parser.parseArgument(*args)
    } catch (invalid: CmdLineException) {
        System.err.println(invalid.message)
        parser.printUsage(System.err)
        exitProcess(EXIT_USAGE)
    }
    if (options.describeSettings) {
        print(renderSettingsPage(DaemonKeys.all))
        return
    }
    val settings = readDaemonSettings(Path.of(options.config)).fold({ it }, { exitWith(it, EXIT_USAGE) })
    val secrets = readSecrets(settings).fold({ it }, { exitWith(it, EXIT_USAGE) })
    if (options.check) {
        println("${options.config}: ok")
        return
    }
    run(settings, secrets)
}

private fun run(settings: Settings, secrets: DaemonSecrets) = runBlocking {
    val registry = PortRegistry.load()
    val client = daemonHttpClient()
    val daemon = createPorts(settings, registry, client)
        .map { Daemon(settings, secrets, registry, it) }
        .andThen { daemon -> daemon.start().map { daemon } }
        .fold({ it }, { exitWith(it, EXIT_FAILURE) })
    Runtime.getRuntime().addShutdownHook(Thread { runBlocking { daemon.stop() } })
    daemon.awaitStopped()
    client.close()
}

private fun exitWith(failure: Failure, code: Int): Nothing {
    System.err.println(failure.message)
    exitProcess(code)
}
