/*
 * Calls plain services over HTTP. The outgoing request is built anew from the call's own fields, so no header of the
 * caller, and no key, can reach the service.
 */
package io.daisybend.daemon.endpoint

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.daisybend.configuration.EndpointSpec
import io.daisybend.daemon.request.ServiceAnswer
import io.daisybend.daemon.request.ServiceCall
import io.ktor.client.HttpClient
import io.ktor.client.request.header
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsBytes
import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.contentType
import kotlinx.coroutines.CancellationException
import java.net.ConnectException

internal class HttpServiceClient(private val client: HttpClient) : ServiceClient {
    override suspend fun call(endpoint: EndpointSpec, call: ServiceCall): Result<ServiceAnswer, ServiceFailure> = try {
        val response = client.request("http://${endpoint.address}${call.path}") {
            method = HttpMethod.parse(call.method)
            header(REQUEST_ID_HEADER, call.requestId.value)
            call.caller?.let { header(TEAM_HEADER, it.teamId.value) }
            if (call.body.isNotEmpty()) {
                call.contentType?.let { contentType(ContentType.parse(it)) }
                setBody(call.body)
            }
        }
        Ok(ServiceAnswer(response.status.value, response.contentType()?.toString(), response.bodyAsBytes()))
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (failed: ConnectException) {
        Err(
            ServiceFailure.NotSent(
                "expected a connection to ${endpoint.endpointId}, got ${failed.javaClass.simpleName}",
            ),
        )
    } catch (failed: Exception) {
        Err(ServiceFailure.Broken("expected an answer from ${endpoint.endpointId}, got ${failed.javaClass.simpleName}"))
    }

    private companion object {
        const val REQUEST_ID_HEADER = "X-Request-Id"
        const val TEAM_HEADER = "X-Team-Id"
    }
}
