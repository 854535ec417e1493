/*
 * Accesses the platform's list of VMs over HTTP; docs/STANDINS.md specifies the protocol.
 */
package io.daisybend.daemon.platform

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.daisybend.kernel.DirectoryUnavailable
import io.daisybend.kernel.VmDirectory
import io.daisybend.kernel.VmEntry
import io.daisybend.kernel.VmId
import io.ktor.client.HttpClient
import io.ktor.client.plugins.timeout
import io.ktor.client.request.delete
import io.ktor.client.request.get
import io.ktor.client.request.put
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import kotlinx.coroutines.CancellationException
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json

internal class HttpVmDirectory(
    private val client: HttpClient,
    private val address: String,
    private val timeoutMs: Long,
) : VmDirectory {
    override suspend fun list(): Result<List<VmEntry>, DirectoryUnavailable> = catchFailures {
        val response = client.get("http://$address/vms") { timeout { requestTimeoutMillis = timeoutMs } }
        response.toResult { json.decodeFromString(entryListSerializer, response.bodyAsText()) }
    }

    override suspend fun register(entry: VmEntry): Result<Unit, DirectoryUnavailable> = catchFailures {
        val response = client.put("http://$address/vms/${entry.vmId}") {
            timeout { requestTimeoutMillis = timeoutMs }
            contentType(ContentType.Application.Json)
            setBody(json.encodeToString(VmEntry.serializer(), entry))
        }
        response.toResult { }
    }

    override suspend fun remove(vmId: VmId): Result<Unit, DirectoryUnavailable> = catchFailures {
        val response = client.delete("http://$address/vms/$vmId") { timeout { requestTimeoutMillis = timeoutMs } }
        response.toResult { }
    }

    private suspend fun <T> HttpResponse.toResult(decodeBody: suspend () -> T): Result<T, DirectoryUnavailable> =
        if (status.isSuccess()) {
            Ok(
                decodeBody(),
            )
        } else {
            Err(DirectoryUnavailable("expected a success, got status ${status.value}"))
        }

    private suspend fun <T> catchFailures(
        block: suspend () -> Result<T, DirectoryUnavailable>,
    ): Result<T, DirectoryUnavailable> = try {
        block()
    } catch (cancelled: CancellationException) {
        throw cancelled
    } catch (exception: Exception) {
        Err(DirectoryUnavailable("expected an answer from $address, got ${exception.javaClass.simpleName}"))
    }

    private companion object {
        val json = Json { ignoreUnknownKeys = true }
        val entryListSerializer = ListSerializer(VmEntry.serializer())
    }
}
