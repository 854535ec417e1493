/*
 * Talks to the operators' interface of one or more daemons.
 */
package io.daisybend.cli

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpMethod
import io.ktor.http.isSuccess
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** The encoding of the operators' interface. */
internal val cliJson = Json {
    ignoreUnknownKeys = true
    prettyPrint = true
    explicitNulls = false
}

@Serializable
internal data class Refusal(val type: String, val message: String)

internal class OperatorClient(private val addresses: List<String>, private val token: String) : AutoCloseable {
    private val client = HttpClient(CIO) {
        expectSuccess = false
        install(HttpTimeout) { requestTimeoutMillis = REQUEST_TIMEOUT_MS }
    }

    /** Sends one request to the first daemon that answers. */
    suspend fun send(method: HttpMethod, path: String, body: String? = null): Result<String, CliFailure> {
        var last: Result<String, CliFailure> = Err(CliFailure.Unreachable("expected a daemon's address, got none"))
        for (address in addresses) {
            last = sendTo(address, method, path, body)
            if (last.getError() !is CliFailure.Unreachable) return last
        }
        return last
    }

    /** Fetches [path] from every daemon and returns the answers of those that answer. */
    suspend fun fetchAll(path: String): Result<List<String>, CliFailure> {
        val answers = addresses.mapNotNull { sendTo(it, HttpMethod.Get, path, null).get() }
        return if (answers.isEmpty()) {
            Err(CliFailure.Unreachable("expected an answer from one of ${addresses.joinToString(", ")}, got none"))
        } else {
            Ok(answers)
        }
    }

    override fun close() = client.close()

    private suspend fun sendTo(
        address: String,
        method: HttpMethod,
        path: String,
        body: String?,
    ): Result<String, CliFailure> = try {
        val response = client.request("http://$address$path") {
            this.method = method
            bearerAuth(token)
            body?.let { setBody(it) }
        }
        val text = response.bodyAsText()
        if (response.status.isSuccess()) Ok(text) else Err(refusal(response.status.value, text))
    } catch (failed: java.io.IOException) {
        Err(CliFailure.Unreachable("expected an answer from $address, got ${failed.javaClass.simpleName}"))
    }

    private fun refusal(status: Int, text: String): CliFailure = try {
        val refusal = cliJson.decodeFromString(Refusal.serializer(), text)
        CliFailure.Refused(status, refusal.type, refusal.message)
    } catch (_: IllegalArgumentException) {
        CliFailure.Refused(status, "http_$status", "expected a success, got status $status: $text")
    }

    private companion object {
        const val REQUEST_TIMEOUT_MS = 60_000L
    }
}
