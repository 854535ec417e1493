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
import sun.misc.Signal
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
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
    val options = EntryOptions()
    if (args.isNotEmpty()) parse(options, args)
    val path = options.settings
        ?: fail("expected $SETTINGS_VARIABLE or --settings to name the settings file, got nothing")
    val settings = readSettings(path).getOrElse { fail(it.message) }
    if (options.check) {
        println("$path: ok")
        return
    }
    val vm = EntryVm(settings)
    val ended = CountDownLatch(1)
    Signal.handle(Signal("TERM")) {
        runBlocking { vm.stop() }
        ended.countDown()
    }
    Signal.handle(Signal("HUP")) { vm.onSettingsChanged(readSettings(path).fold({ null }, { it.message })) }
    runBlocking { vm.start(CoroutineScope(SupervisorJob() + Dispatchers.Default)) }
    if (options.runForMs > 0) ended.await(options.runForMs, TimeUnit.MILLISECONDS) else ended.await()
    if (options.runForMs > 0) exitProcess(0)
    // The VM has stopped or reached its stop deadline. The JVM shutdown sequence would do nothing more that matters, so
    // it is skipped for a faster exit.
    Runtime.getRuntime().halt(0)
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
