/*
 * Calls plain services over HTTP. Each call uses a connection of its own, so that the client knows at each step whether
 * a byte may have reached the service. The request contains only the fields of the call, so the caller's headers and
 * key are not forwarded, and its path is percent-encoded to prevent header injection. A response is complete only if it
 * ends where its Content-Length or its last chunk ends.
 *
 * The response header `X-Execution-Status: not_run` reports that the service refused the call before running it.
 */
package io.daisybend.daemon.endpoint

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.daisybend.configuration.EndpointSpec
import io.daisybend.daemon.request.ServiceCall
import io.daisybend.daemon.request.ServiceResponse
import io.daisybend.dispatch.DispatchAction
import io.daisybend.dispatch.DispatchAttempt
import io.daisybend.dispatch.DispatchEvent
import io.daisybend.dispatch.ExecutionStatus
import io.daisybend.kernel.MillisClock
import io.daisybend.kernel.SystemMillisClock
import io.ktor.http.HttpMethod
import io.ktor.http.cio.RequestResponseBuilder
import io.ktor.http.cio.Response
import io.ktor.http.cio.parseResponse
import io.ktor.http.encodeURLPath
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readLineStrict
import io.ktor.utils.io.writePacket
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.Buffer
import kotlinx.io.readByteArray
import java.io.EOFException

internal class HttpServiceClient(
    private val clock: MillisClock = SystemMillisClock,
    private val selector: SelectorManager = SelectorManager(Dispatchers.IO),
) : ServiceClient {
    override suspend fun call(endpoint: EndpointSpec, call: ServiceCall): Result<ServiceResponse, ServiceFailure> {
        val exchange = Exchange(endpoint, call)
        return exchange.await()
    }

    private inner class Exchange(private val endpoint: EndpointSpec, private val call: ServiceCall) {
        private val attempt = DispatchAttempt(call.deadlineMs)
        private var socket: Socket? = null

        suspend fun await(): Result<ServiceResponse, ServiceFailure> = try {
            val answer = withTimeoutOrNull((call.deadlineMs - clock.nowMs()).coerceAtLeast(1L)) { connectAndSend() }
            answer ?: Err(failure(attempt.statusIfLost, "none before the deadline"))
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (exception: Exception) {
            Err(failure(attempt.statusIfLost, exception.javaClass.simpleName))
        } finally {
            socket?.close()
        }

        private suspend fun connectAndSend(): Result<ServiceResponse, ServiceFailure> {
            if (handleEvent(DispatchEvent.Started) != DispatchAction.Connect) return Err(deadlineFailure())
            val connection = connect()
            if (handleEvent(DispatchEvent.Connected) != DispatchAction.Write) return Err(deadlineFailure())
            write(connection)
            handleEvent(DispatchEvent.RequestWritten)
            return read(connection.openReadChannel())
        }

        private fun handleEvent(event: DispatchEvent): DispatchAction? = attempt.handle(event, clock.nowMs())

        private fun deadlineFailure() = failure(ExecutionStatus.NotRun, "its deadline")

        private suspend fun connect(): Socket {
            val host = endpoint.address.substringBeforeLast(':')
            val port = endpoint.address.substringAfterLast(':').toInt()
            return aSocket(selector).tcp().connect(host, port) { noDelay = true }.also { socket = it }
        }

        private suspend fun write(connection: Socket) {
            val builder = RequestResponseBuilder()
            builder.requestLine(HttpMethod.parse(call.method), call.path.encodeURLPath(), HTTP_VERSION)
            builder.headerLine("Host", endpoint.address)
            builder.headerLine(REQUEST_ID_HEADER, call.requestId.value)
            call.caller?.let { builder.headerLine(TEAM_HEADER, it.teamId.value) }
            call.contentType?.let { builder.headerLine("Content-Type", it) }
            builder.headerLine("Content-Length", call.body.size.toString())
            builder.emptyLine()
            builder.bytes(call.body)
            val output = connection.openWriteChannel()
            output.writePacket(builder.build())
            output.flush()
        }

        private suspend fun read(input: ByteReadChannel): Result<ServiceResponse, ServiceFailure> {
            val response = parseResponse(input) ?: throw EOFException("expected a status line, got none")
            handleEvent(DispatchEvent.ResponseStarted(response.status, response.reportsNotRun))
            val body = readBody(response, input)
            val endAction = handleEvent(DispatchEvent.ResponseEnded) as? DispatchAction.End
            if (endAction?.status == ExecutionStatus.NotRun) return Err(failure(ExecutionStatus.NotRun, "a refusal"))
            return Ok(ServiceResponse(response.status, response.headers["Content-Type"]?.toString(), body))
        }

        private suspend fun readBody(response: Response, input: ByteReadChannel): ByteArray {
            val lengthBytes = response.headers["Content-Length"]?.toString()?.toLong()
            return when {
                response.status in BODILESS_STATUSES -> ByteArray(0)
                response.headers["Transfer-Encoding"]?.toString()?.endsWith("chunked") == true -> readChunked(input)
                lengthBytes != null && lengthBytes in 0..MAX_BODY_BYTES -> input.readByteArray(lengthBytes.toInt())
                else -> throw EOFException("expected a body with a marked end of at most $MAX_BODY_BYTES bytes")
            }
        }

        /** Reads chunks up to the empty last chunk; throws [EOFException] if the input ends before it. */
        private suspend fun readChunked(input: ByteReadChannel): ByteArray {
            val body = Buffer()
            var chunkBytes = readChunkSize(input)
            while (chunkBytes > 0) {
                if (body.size + chunkBytes >
                    MAX_BODY_BYTES
                ) {
                    throw EOFException("expected at most $MAX_BODY_BYTES bytes")
                }
                body.write(input.readByteArray(chunkBytes))
                input.readLineStrict(MAX_LINE_CHARS)
                chunkBytes = readChunkSize(input)
            }
            return body.readByteArray()
        }

        private suspend fun readChunkSize(input: ByteReadChannel): Int {
            val line = input.readLineStrict(MAX_LINE_CHARS) ?: throw EOFException("expected a chunk, got the end")
            return line.substringBefore(';').trim().toInt(radix = 16)
        }

        private fun failure(status: ExecutionStatus, got: String): ServiceFailure {
            val message = "expected an answer from ${endpoint.endpointId}, got $got"
            return if (status ==
                ExecutionStatus.NotRun
            ) {
                ServiceFailure.NotSent(message)
            } else {
                ServiceFailure.OutcomeUnknown(message)
            }
        }
    }

    private companion object {
        const val HTTP_VERSION = "HTTP/1.1"
        const val REQUEST_ID_HEADER = "X-Request-Id"
        const val TEAM_HEADER = "X-Team-Id"
        const val MAX_BODY_BYTES = 8L shl 20
        const val MAX_LINE_CHARS = 1_024L
        val BODILESS_STATUSES = setOf(204, 304)
    }
}

private const val EXECUTION_STATUS_HEADER = "X-Execution-Status"

private val Response.reportsNotRun: Boolean
    get() = headers[EXECUTION_STATUS_HEADER]?.toString() == ExecutionStatus.NotRun.wireValue
