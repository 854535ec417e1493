/*
 * The HTTP client for calls to the platform and to engines.
 */
package io.daisybend.daemon

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint
import io.ktor.client.plugins.HttpTimeout

/** Creates an HTTP client without a default request timeout; callers set one per request. */
public fun daemonHttpClient(): HttpClient = HttpClient(CIO) {
    expectSuccess = false
    engine {
        requestTimeout = 0
        maxConnectionsCount = MAX_CONNECTIONS
        endpoint {
            connectTimeout = CONNECT_TIMEOUT_MS
            maxConnectionsPerRoute = MAX_CONNECTIONS
        }
    }
    install(HttpTimeout)
}

private const val MAX_CONNECTIONS = 4_000
private const val CONNECT_TIMEOUT_MS = 2_000L
