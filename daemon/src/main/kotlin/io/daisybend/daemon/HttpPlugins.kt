/*
 * The HTTP plug-ins for the platform, endpoints and callers. ServiceLoader finds them through META-INF/services; each
 * one registers its implementations in the [PortRegistry].
 */
package io.daisybend.daemon

import io.daisybend.daemon.endpoint.EngineClient
import io.daisybend.daemon.endpoint.HttpEngineClient
import io.daisybend.daemon.endpoint.HttpServiceClient
import io.daisybend.daemon.endpoint.ServiceClient
import io.daisybend.daemon.gateway.CallerContext
import io.daisybend.daemon.gateway.CallerInterface
import io.daisybend.daemon.gateway.HttpGateway
import io.daisybend.daemon.platform.HttpPlatformLog
import io.daisybend.daemon.platform.HttpVmDirectory
import io.daisybend.kernel.PlatformLog
import io.daisybend.kernel.VmDirectory
import io.daisybend.kernel.plugin.Plugin
import io.daisybend.kernel.plugin.PortRegistry
import io.daisybend.kernel.settings.HostAndPort
import io.ktor.client.HttpClient

/** Arguments for implementations of the platform ports. */
public class PlatformContext(
    public val client: HttpClient,
    public val address: HostAndPort,
    public val timeoutMs: Long,
)

/** Arguments for implementations of the endpoint ports. */
public class EndpointContext(public val client: HttpClient, public val controlTimeoutMs: Long)

/** Registers the HTTP clients of the platform log and the VM directory. */
public class HttpPlatformPlugin : Plugin {
    override fun register(registry: PortRegistry) {
        registry.register(PlatformLog::class, HTTP, PlatformContext::class) {
            HttpPlatformLog(it.client, it.address.toString(), it.timeoutMs)
        }
        registry.register(VmDirectory::class, HTTP, PlatformContext::class) {
            HttpVmDirectory(it.client, it.address.toString(), it.timeoutMs)
        }
    }
}

/** Registers the HTTP clients of engines and plain services. */
public class HttpEndpointPlugin : Plugin {
    override fun register(registry: PortRegistry) {
        registry.register(EngineClient::class, HTTP, EndpointContext::class) {
            HttpEngineClient(it.client, it.controlTimeoutMs)
        }
        registry.register(ServiceClient::class, HTTP, EndpointContext::class) { HttpServiceClient() }
    }
}

/** Registers the HTTP gateway for callers. */
public class HttpCallerPlugin : Plugin {
    override fun register(registry: PortRegistry) {
        registry.register(CallerInterface::class, HTTP, CallerContext::class) { HttpGateway(it) }
    }
}

private const val HTTP = "http"
