/*
 * Main program of an entry VM. It reads the settings file named by the environment, runs until SIGTERM and then stops
 * gracefully. SIGHUP checks the settings file again and logs the result; changed settings take effect at the next
 * start. Exit codes: 0 after a planned stop, 2 for invalid arguments or settings.
 */
package io.daisybend.entry

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import io.daisybend.kernel.Failure
import io.daisybend.platform.SETTINGS_VARIABLE
import io.daisybend.platform.VmSettings
import io.daisybend.platform.readVmSettings
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.runBlocking
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import org.kohsuke.args4j.Option
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import kotlin.system.exitProcess

private const val EXIT_USAGE = 2

/** The settings file cannot be read. */
private data class UnreadableSettings(val path: String, val reason: String) : Failure {
    override val message = "expected a readable settings file at $path, got $reason"
}

internal class EntryOptions {
    @Option(
        name = "--settings",
        metaVar = "FILE",
        usage = "settings file; defaults to the file named by the environment",
    )
    var settings: String? = System.getenv(SETTINGS_VARIABLE)

    @Option(name = "--check", usage = "check the settings and exit")
    var check: Boolean = false

    @Option(name = "--run-for-ms", metaVar = "N", usage = "stop after N milliseconds")
    var runForMs: Long = 0
}

/** Runs an entry VM until SIGTERM, or for the given time; exits with 2 if the settings are invalid. */
public fun main(args: Array<String>) {
    val signals = ProcessSignals.install()
    val options = EntryOptions()
    if (args.isNotEmpty()) parse(options, args)
    val path = options.settings
        ?: fail("expected $SETTINGS_VARIABLE or --settings to name the settings file, got nothing")
    val settings = readSettings(path).getOrElse { fail(it.message) }
    if (options.check) {
        println("$path: ok")
        return
    }
    if (!signals.isStopRequested) run(settings, path, signals, options.runForMs)
    // The VM has stopped or reached its stop deadline. The JVM shutdown sequence would do nothing more that matters, so
    // it is skipped for a faster exit.
    Runtime.getRuntime().halt(0)
}

/** Runs a VM until a stop is requested and has ended, or for [runForMs] milliseconds if that is not 0. */
private fun run(settings: VmSettings, path: String, signals: ProcessSignals, runForMs: Long) {
    val vm = EntryVm(settings)
    signals.onHangup { vm.onSettingsChanged(readSettings(path).fold({ null }, { it.message })) }
    runBlocking { vm.start(CoroutineScope(SupervisorJob() + Dispatchers.Default)) }
    // The JVM writes its archive of classes in its shutdown sequence.
    if (!signals.awaitStopRequest(runForMs)) exitProcess(0)
    runBlocking { vm.stop(signals.stopRequestedAtMs) }
}

private fun parse(options: EntryOptions, args: Array<String>) {
    val parser = CmdLineParser(options)
    try {
        parser.parseArgument(*args)
    } catch (invalid: CmdLineException) {
        fail(invalid.message.orEmpty())
    }
}

private fun readSettings(path: String): Result<VmSettings, Failure> = try {
    readVmSettings(Files.readString(Path.of(path)))
} catch (unreadable: IOException) {
    Err(UnreadableSettings(path, unreadable.javaClass.simpleName))
}

private fun fail(message: String): Nothing {
    System.err.println(message)
    exitProcess(EXIT_USAGE)
}
