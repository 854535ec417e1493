/*
 * The plug-ins that speak HTTP: to the platform, to endpoints and with callers. They are listed for ServiceLoader in
 * META-INF/services and register themselves with the kernel.
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

/** What an implementation of the platform's ports needs. */
public class PlatformContext(
    public val client: HttpClient,
    public val address: HostAndPort,
    public val timeoutMs: Long,
)

/** What an implementation of an endpoint port needs. */
public class EndpointContext(public val client: HttpClient, public val controlTimeoutMs: Long)

/** Offers the platform's log and list of VMs over HTTP. */
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

/** Offers engines and plain services over HTTP. */
public class HttpEndpointPlugin : Plugin {
    override fun register(registry: PortRegistry) {
        registry.register(EngineClient::class, HTTP, EndpointContext::class) {
            HttpEngineClient(it.client, it.controlTimeoutMs)
        }
        registry.register(ServiceClient::class, HTTP, EndpointContext::class) { HttpServiceClient() }
    }
}

/** Offers the callers' HTTP interface. */
public class HttpCallerPlugin : Plugin {
    override fun register(registry: PortRegistry) {
        registry.register(CallerInterface::class, HTTP, CallerContext::class) { HttpGateway(it) }
    }
}

private const val HTTP = "http"
