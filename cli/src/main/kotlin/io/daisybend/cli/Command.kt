/*
 * The base of all commands: the options that they share, and what running one gives.
 */
package io.daisybend.cli

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import org.kohsuke.args4j.Option
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** What a command prints. */
internal data class Output(val human: String, val json: String)

internal abstract class Command(val name: String, val summary: String) {
    @Option(
        name = "--operators",
        metaVar = "HOST:PORT,...",
        usage = "operators' addresses; default: DAISYBEND_OPERATORS",
    )
    var operators: String = System.getenv("DAISYBEND_OPERATORS").orEmpty()

    @Option(name = "--token-file", metaVar = "FILE", usage = "operators' token; default: DAISYBEND_TOKEN_FILE")
    var tokenFile: String = System.getenv("DAISYBEND_TOKEN_FILE").orEmpty()

    @Option(name = "--json", usage = "print JSON")
    var json: Boolean = false

    @Option(name = "--help", help = true, usage = "print this help")
    var help: Boolean = false

    /** Runs the command with its parsed options. */
    abstract suspend fun run(): Result<Output, CliFailure>

    protected suspend fun <T> withClient(
        work: suspend (OperatorClient) -> Result<T, CliFailure>,
    ): Result<T, CliFailure> = readToken().andThen { token ->
        val addresses = operators.split(',').map { it.trim() }.filter { it.isNotEmpty() }
        if (addresses.isEmpty()) {
            Err(CliFailure.Usage("expected --operators or DAISYBEND_OPERATORS, got neither"))
        } else {
            OperatorClient(addresses, token).use { work(it) }
        }
    }

    protected fun readText(file: String): Result<String, CliFailure> = try {
        Ok(Files.readString(Path.of(file)))
    } catch (failed: IOException) {
        Err(CliFailure.Usage("expected a readable file at $file, got ${failed.javaClass.simpleName}"))
    }

    private fun readToken(): Result<String, CliFailure> =
        if (tokenFile.isEmpty()) {
            Err(CliFailure.Usage("expected --token-file or DAISYBEND_TOKEN_FILE, got neither"))
        } else {
            readText(tokenFile).andThen { Ok(it.trim()) }
        }
}
