/*
 * Accesses the platform's log over HTTP; docs/STANDINS.md specifies the protocol.
 */
package io.daisybend.daemon.platform

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.daisybend.kernel.LogBatch
import io.daisybend.kernel.LogFailure
import io.daisybend.kernel.LogRecord
import io.daisybend.kernel.LogStream
import io.daisybend.kernel.PlatformLog
import io.ktor.client.HttpClient
import io.ktor.client.plugins.timeout
import io.ktor.client.request.get
import io.ktor.client.request.parameter
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.HttpStatusCode
import io.ktor.http.isSuccess
import kotlinx.coroutines.CancellationException
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import java.net.ConnectException
import java.util.Base64

@Serializable
private data class WireRecord(val offset: Long, val payload: String)

@Serializable
private data class WireBatch(val firstOffset: Long, val nextOffset: Long, val records: List<WireRecord>)

@Serializable
private data class WireAppended(val offset: Long)

@Serializable
private data class WireRefusal(val reason: String, val firstOffset: Long? = null)

internal class HttpPlatformLog(
    private val client: HttpClient,
    private val address: String,
    private val timeoutMs: Long,
) : PlatformLog {
    override suspend fun append(stream: LogStream, payload: ByteArray): Result<Long, LogFailure> = catchFailures {
        val response = client.post("http://$address/log/${stream.name}") {
            timeout { requestTimeoutMillis = timeoutMs }
            setBody(payload)
        }
        if (response.status.isSuccess()) Ok(response.decode<WireAppended>().offset) else appendFailure(response)
    }

    override suspend fun read(stream: LogStream, fromOffset: Long, maxRecords: Int): Result<LogBatch, LogFailure> =
        catchFailures {
            val response = client.get("http://$address/log/${stream.name}") {
                timeout { requestTimeoutMillis = timeoutMs }
                parameter("from", fromOffset)
                parameter("max", maxRecords)
            }
            when {
                response.status.isSuccess() -> Ok(response.decode<WireBatch>().toBatch())
                response.status == HttpStatusCode.Gone ->
                    Err(LogFailure.Expired(fromOffset, response.decode<WireRefusal>().firstOffset ?: 0))
                else -> Err(LogFailure.Unavailable("expected records, got status ${response.status.value}"))
            }
        }

    private fun appendFailure(response: HttpResponse): Result<Long, LogFailure> {
        val message = "expected an offset, got status ${response.status.value}"
        return if (response.status == HttpStatusCode.ServiceUnavailable) {
            Err(LogFailure.Unavailable(message))
        } else {
            Err(LogFailure.OutcomeUnknown(message))
        }
    }

    private suspend fun <T> catchFailures(block: suspend () -> Result<T, LogFailure>): Result<T, LogFailure> = try {
        block()
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (exception: ConnectException) {
        Err(LogFailure.Unavailable("expected a connection to $address, got ${exception.javaClass.simpleName}"))
    } catch (exception: Exception) {
        Err(LogFailure.OutcomeUnknown("expected an answer from $address, got ${exception.javaClass.simpleName}"))
    }
}

private val json = Json { ignoreUnknownKeys = true }

private suspend inline fun <reified T> HttpResponse.decode(): T = json.decodeFromString<T>(bodyAsText())

private fun WireBatch.toBatch() = LogBatch(
    records = records.map { LogRecord(it.offset, Base64.getDecoder().decode(it.payload)) },
    firstOffset = firstOffset,
    nextOffset = nextOffset,
)
