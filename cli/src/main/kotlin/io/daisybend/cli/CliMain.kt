/*
 * Entry point of the operators' tool. The first arguments select a command; the remaining arguments are its options.
 * Output goes to standard output and failures to standard error. CliFailure documents the exit codes.
 */
package io.daisybend.cli

import com.github.michaelbull.result.fold
import kotlinx.coroutines.runBlocking
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import java.io.PrintStream
import kotlin.system.exitProcess

private const val EXIT_OK = 0
private const val EXIT_USAGE = 2

internal fun commands(): List<Command> = listOf(
    ManifestApplyCommand(),
    ManifestShowCommand(),
    ManifestValidateCommand(),
    ManifestDiffCommand(),
    KeyIssueCommand(),
    KeyWithdrawCommand(),
    KeyListCommand(),
    EndpointListCommand(),
    EndpointDrainCommand(),
    StatusCommand(),
    TimelineCommand(),
    AddressCommand(),
    ExplainCommand(),
    DrainCommand(),
)

/** Runs the command in [args] and exits with its exit code. */
public fun main(args: Array<String>): Unit = exitProcess(runCli(args.toList(), System.out, System.err))

internal fun runCli(args: List<String>, out: PrintStream, err: PrintStream): Int {
    val command = commands().firstOrNull { args.take(it.wordCount) == it.name.split(' ') }
    if (command == null) {
        val isHelpRequested = args.firstOrNull() in listOf("--help", "help")
        printUsage(if (isHelpRequested) out else err)
        return if (isHelpRequested) EXIT_OK else EXIT_USAGE
    }
    val parser = CmdLineParser(command)
    try {
        parser.parseArgument(args.drop(command.wordCount))
    } catch (exception: CmdLineException) {
        err.println("daisybend ${command.name}: ${exception.message}")
        parser.printUsage(err)
        return EXIT_USAGE
    }
    if (command.help) {
        out.println("daisybend ${command.name}: ${command.summary}")
        parser.printUsage(out)
        return EXIT_OK
    }
    return runBlocking { command.run() }.fold(
        success = {
            out.println(if (command.json) it.json else it.text)
            EXIT_OK
        },
        failure = {
            err.println("daisybend ${command.name}: ${it.message}")
            it.exitCode
        },
    )
}

private val Command.wordCount: Int get() = name.split(' ').size

private fun printUsage(stream: PrintStream) {
    stream.println("usage: daisybend COMMAND [options]; see daisybend COMMAND --help for the options of a command")
    commands().forEach { stream.println("  %-20s %s".format(it.name, it.summary)) }
}
