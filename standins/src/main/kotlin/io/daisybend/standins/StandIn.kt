/*
 * A running stand-in. Stand-ins answer over the HTTP interfaces in docs/STANDINS.md and have switches for the failures
 * that tests bring about; they run as processes of their own or inside a test.
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

/** What an engine stand-in is made of; [weightStoreAddress] is the platform whose weight store it loads from. */
public data class EngineOptions(
    val memoryBytes: Long = 80L shl 30,
    val kvCacheBytes: Long = 0,
    val checksFencing: Boolean = false,
    val weightStoreAddress: String? = null,
)

/** A stand-in that listens on [port] of the loopback address. */
public class StandIn internal constructor(public val port: Int, routes: Application.() -> Unit) {
    private val server: EmbeddedServer<*, *> = embeddedServer(CIO, port = port, host = LOOPBACK) {
        install(ContentNegotiation) { json(standInJson) }
        routes()
    }

    /** The address as `host:port`. */
    public val address: String get() = "$LOOPBACK:$port"

    /** Starts listening; with [wait], returns only after the end. Throws when the port cannot be bound. */
    public fun start(wait: Boolean = false): StandIn {
        server.start(wait)
        return this
    }

    /** Stops at once, cutting what is in progress. */
    public fun stop(): Unit = server.stop(0, 0)

    public companion object {
        private const val LOOPBACK = "127.0.0.1"

        /** Returns a stand-in for the platform: log, list of VMs and weight store. */
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
