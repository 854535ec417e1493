/*
 * Stand-ins for the systems around the daemon. They implement the HTTP interfaces in docs/STANDINS.md and inject faults
 * on request. A stand-in runs as a separate process or inside a test.
 */
package io.daisybend.standins

import io.daisybend.standins.engine.EngineStandIn
import io.daisybend.standins.platform.PlatformStandIn
import io.daisybend.standins.service.ServiceStandIn
import io.ktor.serialization.kotlinx.json.json
import io.ktor.server.application.Application
import io.ktor.server.application.install
import io.ktor.server.cio.CIO
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.embeddedServer
import io.ktor.server.plugins.contentnegotiation.ContentNegotiation
import kotlinx.serialization.json.Json

/**
 * Properties of an engine stand-in. [weightStoreAddress] is the `host:port` of the platform stand-in from which it
 * loads weights; if null, a load transfers no weights.
 */
public data class EngineOptions(
    val memoryBytes: Long = 80L shl 30,
    val kvCacheBytes: Long = 0,
    val checksFencing: Boolean = false,
    val weightStoreAddress: String? = null,
)

/** HTTP server that listens on [port] of the loopback address. */
public class StandIn internal constructor(public val port: Int, routes: Application.() -> Unit) {
    private val server: EmbeddedServer<*, *> = embeddedServer(CIO, port = port, host = LOOPBACK) {
        install(ContentNegotiation) { json(standInJson) }
        routes()
    }

    /** Address as `host:port`. */
    public val address: String get() = "$LOOPBACK:$port"

    /** Starts listening; with [wait], blocks until the server stops. Throws if the port cannot be bound. */
    public fun start(wait: Boolean = false): StandIn {
        server.start(wait)
        return this
    }

    /** Stops immediately and aborts requests in progress. */
    public fun stop(): Unit = server.stop(0, 0)

    public companion object {
        private const val LOOPBACK = "127.0.0.1"

        /** Returns a stand-in for the platform: the log, the list of VMs and the weight store. */
        public fun platform(port: Int): StandIn {
            val platform = PlatformStandIn()
            return StandIn(port) { with(platform) { routes() } }
        }

        /** Returns a stand-in for a model engine. */
        public fun engine(port: Int, options: EngineOptions = EngineOptions()): StandIn {
            val engine = EngineStandIn(options)
            return StandIn(port) { with(engine) { routes() } }
        }

        /** Returns a stand-in for a plain service. */
        public fun service(port: Int): StandIn {
            val service = ServiceStandIn()
            return StandIn(port) { with(service) { routes() } }
        }
    }
}

internal val standInJson = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
    explicitNulls = false
}
