/*
 * Operator commands of the demonstration: applies the manifest, waits for the daemons and drains one.
 */
package io.daisybend.bench.demo

import io.daisybend.configuration.Manifest
import io.ktor.client.HttpClient
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import kotlinx.coroutines.delay
import kotlinx.serialization.json.Json
import java.io.IOException

internal class DemoOperatorClient(
    private val site: DemoSite,
    private val client: HttpClient,
    private val operatorToken: String,
) {
    suspend fun drain(address: String) {
        client.post("http://$address/admin/drain") { bearerAuth(operatorToken) }
    }

    /** Applies [manifest], with retries while the daemon is starting. */
    suspend fun applyManifest(manifest: Manifest) {
        var responseBody = ""
        repeat(MAX_POLLS) {
            val response = client.post("http://${site.operatorAddresses[0]}/admin/manifest") {
                bearerAuth(operatorToken)
                setBody(json.encodeToString(Manifest.serializer(), manifest))
            }
            if (response.status.value == 200) return
            responseBody = response.bodyAsText()
            delay(POLL_INTERVAL_MS)
        }
        error("expected the manifest to be accepted, got $responseBody")
    }

    suspend fun awaitHealthy() = site.operatorAddresses.forEach { awaitOk("http://$it/healthz") }

    suspend fun awaitReady() = site.operatorAddresses.forEach { awaitOk("http://$it/readyz") }

    private suspend fun awaitOk(url: String) {
        repeat(MAX_POLLS) {
            try {
                if (client.get(url).status.value == 200) return
            } catch (_: IOException) {
                // The process is not listening yet.
            }
            delay(POLL_INTERVAL_MS)
        }
        error("expected status 200 from $url within ${MAX_POLLS * POLL_INTERVAL_MS} ms")
    }

    private companion object {
        const val MAX_POLLS = 200
        const val POLL_INTERVAL_MS = 100L
        val json = Json { encodeDefaults = true }
    }
}
