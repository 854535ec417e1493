package io.daisybend.daemon.endpoint

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.daisybend.configuration.EndpointKind
import io.daisybend.configuration.EndpointSpec
import io.daisybend.configuration.RouteSpec
import io.daisybend.daemon.request.ServiceCall
import io.daisybend.daemon.request.ServiceResponse
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.FailureDomainId
import io.daisybend.kernel.RequestId
import io.daisybend.kernel.SystemMillisClock
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.CompletableDeferred
import java.net.ServerSocket

private const val COMPLETE_RESPONSE =
    "HTTP/1.1 201 Created\r\nContent-Length: 5\r\nContent-Type: text/plain\r\n\r\nroom7"

class HttpServiceClientTest : FunSpec({
    val client = HttpServiceClient()

    suspend fun call(
        address: String,
        timeoutMs: Long = 5_000L,
        path: String = "/reservations",
    ): Result<ServiceResponse, ServiceFailure> {
        val endpointId = EndpointId("booking")
        val endpoint = EndpointSpec(endpointId, EndpointKind.SERVICE, address, FailureDomainId("buda"))
        val call = ServiceCall(
            requestId = RequestId("request-1"),
            caller = null,
            route = RouteSpec("booking", listOf(endpointId)),
            method = "POST",
            path = path,
            contentType = "application/json",
            body = "{}".encodeToByteArray(),
            idempotencyKey = null,
            deadlineMs = SystemMillisClock.nowMs() + timeoutMs,
        )
        return client.call(endpoint, call)
    }

    suspend fun callScripted(timeoutMs: Long = 5_000L, script: ScriptedConnection.() -> Unit) =
        ScriptedServer { script() }.use { call(it.address, timeoutMs) }

    test("a call whose connection cannot be opened fails as not run") {
        val port = ServerSocket(0).use { it.localPort }
        call("127.0.0.1:$port").getError().shouldBeInstanceOf<ServiceFailure.NotSent>()
    }

    test("a call after its deadline fails as not run, and nothing is sent") {
        ScriptedServer { readRequest() }.use { server ->
            call(server.address, timeoutMs = -1L).getError().shouldBeInstanceOf<ServiceFailure.NotSent>()
            server.connectionCount shouldBe 0
        }
    }

    val scriptsByCut = mapOf<String, ScriptedConnection.() -> Unit>(
        "after the first byte is read" to { readByte() },
        "after the head is read" to { readHead() },
        "after the request is read" to { readRequest() },
        "within the status line" to {
            readRequest()
            write("HTTP/1.1 20")
            closeGracefully()
        },
        "after the response head" to {
            readRequest()
            write("HTTP/1.1 201 Created\r\nContent-Length: 5\r\n\r\n")
            closeGracefully()
        },
        "within the response body" to {
            readRequest()
            write(COMPLETE_RESPONSE.dropLast(2))
            closeGracefully()
        },
        "within a chunked body" to {
            readRequest()
            write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nroom7\r\n")
            closeGracefully()
        },
        "in a response without a marked end" to {
            readRequest()
            write("HTTP/1.1 200 OK\r\n\r\nroom7")
            closeGracefully()
        },
    )
    for ((cut, script) in scriptsByCut) {
        test("a connection cut $cut leaves the outcome unknown") {
            callScripted(script = script).getError().shouldBeInstanceOf<ServiceFailure.OutcomeUnknown>()
        }
    }

    test("a connection cut before the request is read is a failure") {
        callScripted { }.getError().shouldNotBeNull()
    }

    test("a stalled connection leaves the outcome unknown at the deadline") {
        val failure = callScripted(timeoutMs = 300L) {
            readRequest()
            stall()
        }
        failure.getError().shouldBeInstanceOf<ServiceFailure.OutcomeUnknown>()
    }

    test("a call that the service reports as not run fails as not run") {
        val failure = callScripted {
            readRequest()
            write("HTTP/1.1 503 Busy\r\nX-Execution-Status: not_run\r\nContent-Length: 0\r\n\r\n")
            closeGracefully()
        }
        failure.getError().shouldBeInstanceOf<ServiceFailure.NotSent>()
    }

    test("header injection through the path is prevented by percent-encoding") {
        val head = CompletableDeferred<String>()
        ScriptedServer { head.complete(readHead()) }.use { server ->
            call(server.address, path = "/a\r\nX-Team-Id: other\r\n\r\nPOST /b")
        }
        head.await().lines().first() shouldBe "POST /a%0D%0AX-Team-Id:%20other%0D%0A%0D%0APOST%20/b HTTP/1.1"
    }

    test("complete responses are read with a content length or in chunks") {
        val plain = callScripted {
            readRequest()
            write(COMPLETE_RESPONSE)
            closeGracefully()
        }
        plain.get()?.body?.decodeToString() shouldBe "room7"
        val chunked = callScripted {
            readRequest()
            write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nroo\r\n2\r\nm7\r\n0\r\n\r\n")
            closeGracefully()
        }
        chunked.get()?.body?.decodeToString() shouldBe "room7"
    }
})
