/*
 * HTTP client of the operators' interface of one or more daemons.
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

/** JSON format of the operators' interface. */
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

    /**
     * Sends a request to the daemons in order until one responds, and returns the response. Fails if that daemon
     * refuses the request or if no daemon responds.
     */
    suspend fun send(method: HttpMethod, path: String, body: String? = null): Result<String, CliFailure> {
        var last: Result<String, CliFailure> = Err(CliFailure.Unreachable("expected a daemon's address, got none"))
        for (address in addresses) {
            last = sendTo(address, method, path, body)
            if (last.getError() !is CliFailure.Unreachable) return last
        }
        return last
    }

    /** Gets [path] from every daemon and returns the successful responses; fails if there are none. */
    suspend fun fetchAll(path: String): Result<List<String>, CliFailure> {
        val responses = addresses.mapNotNull { sendTo(it, HttpMethod.Get, path, null).get() }
        return if (responses.isEmpty()) {
            Err(CliFailure.Unreachable("expected a success from one of ${addresses.joinToString(", ")}, got none"))
        } else {
            Ok(responses)
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
        if (response.status.isSuccess()) Ok(text) else Err(parseRefusal(response.status.value, text))
    } catch (exception: java.io.IOException) {
        Err(CliFailure.Unreachable("expected a response from $address, got ${exception.javaClass.simpleName}"))
    }

    private fun parseRefusal(status: Int, text: String): CliFailure = try {
        val refusal = cliJson.decodeFromString(Refusal.serializer(), text)
        CliFailure.Refused(status, refusal.type, refusal.message)
    } catch (_: IllegalArgumentException) {
        CliFailure.Refused(status, "http_$status", "expected a success status, got $status: $text")
    }

    private companion object {
        const val REQUEST_TIMEOUT_MS = 60_000L
    }
}
