/*
 * The HTTP client that a daemon uses towards the platform and engines.
 */
package io.daisybend.daemon

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint
import io.ktor.client.plugins.HttpTimeout

/** Returns the HTTP client of a daemon. */
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
