/*
 * Base class of all commands, with the options that they share.
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

/** Output of a command: [text] by default, [json] with --json. */
internal data class Output(val text: String, val json: String)

internal abstract class Command(val name: String, val summary: String) {
    @Option(
        name = "--operators",
        metaVar = "HOST:PORT,...",
        usage = "addresses of daemons' operators' interfaces; default: DAISYBEND_OPERATORS",
    )
    var operators: String = System.getenv("DAISYBEND_OPERATORS").orEmpty()

    @Option(name = "--token-file", metaVar = "FILE", usage = "operators' token file; default: DAISYBEND_TOKEN_FILE")
    var tokenFile: String = System.getenv("DAISYBEND_TOKEN_FILE").orEmpty()

    @Option(name = "--json", usage = "print the output as JSON")
    var json: Boolean = false

    @Option(name = "--help", help = true, usage = "print this help")
    var help: Boolean = false

    /** Runs the command after its options have been parsed. */
    abstract suspend fun run(): Result<Output, CliFailure>

    protected suspend fun <T> withClient(
        block: suspend (OperatorClient) -> Result<T, CliFailure>,
    ): Result<T, CliFailure> = readToken().andThen { token ->
        val addresses = operators.split(',').map { it.trim() }.filter { it.isNotEmpty() }
        if (addresses.isEmpty()) {
            Err(CliFailure.Usage("expected --operators or DAISYBEND_OPERATORS, got neither"))
        } else {
            OperatorClient(addresses, token).use { block(it) }
        }
    }

    protected fun readText(file: String): Result<String, CliFailure> = try {
        Ok(Files.readString(Path.of(file)))
    } catch (exception: IOException) {
        Err(CliFailure.Usage("expected a readable file at $file, got ${exception.javaClass.simpleName}"))
    }

    private fun readToken(): Result<String, CliFailure> =
        if (tokenFile.isEmpty()) {
            Err(CliFailure.Usage("expected --token-file or DAISYBEND_TOKEN_FILE, got neither"))
        } else {
            readText(tokenFile).andThen { Ok(it.trim()) }
        }
}
