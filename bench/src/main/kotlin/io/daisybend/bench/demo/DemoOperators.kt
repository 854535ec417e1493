/*
 * What the operator of the demonstration's site does: applies the manifest, waits for the daemons, drains one.
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

internal class DemoOperators(
    private val site: DemoSite,
    private val client: HttpClient,
    private val operatorToken: String,
) {
    suspend fun drain(address: String) {
        client.post("http://$address/admin/drain") { bearerAuth(operatorToken) }
    }

    /** Applies [manifest], waiting while the daemon is still starting. */
    suspend fun applyManifest(manifest: Manifest) {
        var answer = ""
        repeat(MAX_POLLS) {
            val response = client.post("http://${site.operatorAddresses[0]}/admin/manifest") {
                bearerAuth(operatorToken)
                setBody(json.encodeToString(Manifest.serializer(), manifest))
            }
            if (response.status.value == 200) return
            answer = response.bodyAsText()
            delay(POLL_INTERVAL_MS)
        }
        error("expected an accepted manifest, got $answer")
    }

    suspend fun awaitHealthy() = site.operatorAddresses.forEach { awaitOk("http://$it/healthz") }

    suspend fun awaitReady() = site.operatorAddresses.forEach { awaitOk("http://$it/readyz") }

    private suspend fun awaitOk(url: String) {
        repeat(MAX_POLLS) {
            try {
                if (client.get(url).status.value == 200) return
            } catch (_: IOException) {
                // The process has not started yet.
            }
            delay(POLL_INTERVAL_MS)
        }
        error("expected $url to answer 200 within ${MAX_POLLS * POLL_INTERVAL_MS} ms, it did not")
    }

    private companion object {
        const val MAX_POLLS = 200
        const val POLL_INTERVAL_MS = 100L
        val json = Json { encodeDefaults = true }
    }
}
