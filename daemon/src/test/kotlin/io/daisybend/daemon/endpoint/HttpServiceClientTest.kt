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

private const val WHOLE = "HTTP/1.1 201 Created\r\nContent-Length: 5\r\nContent-Type: text/plain\r\n\r\nroom7"

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

    test("a connection that cannot be opened means not run") {
        val port = ServerSocket(0).use { it.localPort }
        call("127.0.0.1:$port").getError().shouldBeInstanceOf<ServiceFailure.NotSent>()
    }

    test("a deadline that has passed means not run, and nothing is sent") {
        ScriptedServer { readRequest() }.use { server ->
            call(server.address, timeoutMs = -1L).getError().shouldBeInstanceOf<ServiceFailure.NotSent>()
            server.connections shouldBe 0
        }
    }

    val cuts = mapOf<String, ScriptedConnection.() -> Unit>(
        "after the first byte is read" to { readByte() },
        "after the head is read" to { readHead() },
        "after the request is read" to { readRequest() },
        "within the status line" to {
            readRequest()
            write("HTTP/1.1 20")
            finish()
        },
        "after the answer's head" to {
            readRequest()
            write("HTTP/1.1 201 Created\r\nContent-Length: 5\r\n\r\n")
            finish()
        },
        "within the answer's body" to {
            readRequest()
            write(WHOLE.dropLast(2))
            finish()
        },
        "within a chunked body" to {
            readRequest()
            write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nroom7\r\n")
            finish()
        },
        "where an answer's end is not marked" to {
            readRequest()
            write("HTTP/1.1 200 OK\r\n\r\nroom7")
            finish()
        },
    )
    for ((step, script) in cuts) {
        test("a connection cut $step leaves the outcome unknown") {
            callScripted(script = script).getError().shouldBeInstanceOf<ServiceFailure.Broken>()
        }
    }

    test("a connection cut before anything is read never counts as an answer") {
        callScripted { }.getError().shouldNotBeNull()
    }

    test("a connection that goes silent leaves the outcome unknown at the deadline") {
        val failure = callScripted(timeoutMs = 300L) {
            readRequest()
            staySilent()
        }
        failure.getError().shouldBeInstanceOf<ServiceFailure.Broken>()
    }

    test("a service that says that it did not run the call is believed") {
        val failure = callScripted {
            readRequest()
            write("HTTP/1.1 503 Busy\r\nX-Execution-Status: not_run\r\nContent-Length: 0\r\n\r\n")
            finish()
        }
        failure.getError().shouldBeInstanceOf<ServiceFailure.NotSent>()
    }

    test("a path cannot carry headers to the service") {
        val head = CompletableDeferred<String>()
        ScriptedServer { head.complete(readHead()) }.use { server ->
            call(server.address, path = "/a\r\nX-Team-Id: other\r\n\r\nPOST /b")
        }
        head.await().lines().first() shouldBe "POST /a%0D%0AX-Team-Id:%20other%0D%0A%0D%0APOST%20/b HTTP/1.1"
    }

    test("whole answers arrive with their length or in chunks") {
        val plain = callScripted {
            readRequest()
            write(WHOLE)
            finish()
        }
        plain.get()?.body?.decodeToString() shouldBe "room7"
        val chunked = callScripted {
            readRequest()
            write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nroo\r\n2\r\nm7\r\n0\r\n\r\n")
            finish()
        }
        chunked.get()?.body?.decodeToString() shouldBe "room7"
    }
})
