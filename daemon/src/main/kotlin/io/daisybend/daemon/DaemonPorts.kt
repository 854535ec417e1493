/*
 * The ports of a daemon, created by the plug-ins selected in its settings.
 */
package io.daisybend.daemon

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.map
import io.daisybend.daemon.endpoint.EngineClient
import io.daisybend.daemon.endpoint.ServiceClient
import io.daisybend.kernel.PlatformLog
import io.daisybend.kernel.VmDirectory
import io.daisybend.kernel.plugin.PortRegistry
import io.daisybend.kernel.plugin.UnknownImplementation
import io.daisybend.kernel.settings.Settings
import io.ktor.client.HttpClient

/** The interfaces through which a daemon reaches the platform and endpoints. */
public class DaemonPorts(
    public val log: PlatformLog,
    public val directory: VmDirectory,
    public val engines: EngineClient,
    public val services: ServiceClient,
)

/** Creates the ports for the protocols in [settings]; fails if no plug-in provides one of them. */
public fun createPorts(
    settings: Settings,
    registry: PortRegistry,
    client: HttpClient,
): Result<DaemonPorts, UnknownImplementation> {
    val platform =
        PlatformContext(client, settings[DaemonKeys.platformAddress], settings[DaemonKeys.platformTimeout])
    val endpoints = EndpointContext(client, settings[DaemonKeys.controlTimeout])
    return registry.create(PlatformLog::class, settings[DaemonKeys.platformProtocol], platform).andThen { log ->
        registry.create(VmDirectory::class, settings[DaemonKeys.platformProtocol], platform).andThen { directory ->
            registry.create(EngineClient::class, settings[DaemonKeys.engineProtocol], endpoints).andThen { engines ->
                registry.create(ServiceClient::class, settings[DaemonKeys.serviceProtocol], endpoints)
                    .map { DaemonPorts(log, directory, engines, it) }
            }
        }
    }
}
