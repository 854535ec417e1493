/*
 * Declares the keys of the daemon's settings file.
 */
package io.daisybend.daemon

import com.github.michaelbull.result.Result
import io.daisybend.kernel.settings.HostAndPort
import io.daisybend.kernel.settings.SettingKey
import io.daisybend.kernel.settings.SettingType
import io.daisybend.kernel.settings.Settings
import io.daisybend.kernel.settings.SettingsFailure
import io.daisybend.kernel.settings.readSettings
import java.nio.file.Path

private const val ONE_SECOND_MS = 1_000L
private const val ONE_HOUR_MS = 3_600_000L
private const val ONE_GIB = 1L shl 30

/** The keys of the settings file, grouped by section. */
public object DaemonKeys {
    /** Identifier of this VM, unique in the system. */
    public val vmId: SettingKey<String> =
        SettingKey("vm", "id", SettingType.Text, "Identifier of this VM, unique in the system.")

    /** Failure domain in which this VM runs. */
    public val failureDomain: SettingKey<String> =
        SettingKey("vm", "failure_domain", SettingType.Text, "Failure domain in which this VM runs.")

    /** Region of this VM. */
    public val region: SettingKey<String> = SettingKey("vm", "region", SettingType.Text, "Region of this VM.")

    /** Listen address for callers. */
    public val callerListen: SettingKey<HostAndPort> =
        SettingKey("callers", "listen", SettingType.HostPort, "Address on which callers are served.")

    /** Name of the caller protocol; selects the plug-in. */
    public val callerProtocol: SettingKey<String> =
        SettingKey("callers", "protocol", SettingType.Text, "Plug-in that serves callers.", default = "http")

    /** Maximum size of a request body, in bytes. */
    public val maxBody: SettingKey<Long> = SettingKey(
        "callers",
        "max_body",
        SettingType.SizeBytes(1_024, ONE_GIB),
        "Largest body of a request.",
        default = "8MiB",
    )

    /** Maximum number of concurrent requests. */
    public val maxRequests: SettingKey<Long> = SettingKey(
        "callers",
        "max_concurrent_requests",
        SettingType.Count(1, 100_000),
        "Requests served at once.",
        "2000",
    )

    /** Timeout of a request that sets none, in ms. */
    public val defaultTimeout: SettingKey<Long> = SettingKey(
        "callers",
        "default_timeout",
        SettingType.DurationMs(1, ONE_HOUR_MS),
        "Time in which a request that names no deadline is served or refused.",
        default = "120s",
    )

    /** Maximum timeout that a request can set, in ms. */
    public val maxTimeout: SettingKey<Long> = SettingKey(
        "callers",
        "max_timeout",
        SettingType.DurationMs(1, ONE_HOUR_MS),
        "Longest deadline of a request.",
        "10min",
    )

    /** How long callers may use an address from an address response, in ms. */
    public val addressLifetime: SettingKey<Long> = SettingKey(
        "callers",
        "address_lifetime",
        SettingType.DurationMs(100, ONE_HOUR_MS),
        "How long callers may use an address that they were told.",
        default = "10s",
    )

    /** Listen address for the other daemons. */
    public val peerListen: SettingKey<HostAndPort> =
        SettingKey("peers", "listen", SettingType.HostPort, "Address on which the other daemons are served.")

    /** File with the secret shared by all daemons. */
    public val peerSecretFile: SettingKey<String> = SettingKey(
        "peers",
        "secret_file",
        SettingType.Text,
        "File with the secret that all daemons of the system share.",
    )

    /** Listen address for operators, metrics and health checks. */
    public val operatorListen: SettingKey<HostAndPort> = SettingKey(
        "operators",
        "listen",
        SettingType.HostPort,
        "Address of the operators' interface, metrics and health checks.",
    )

    /** File with the token that operators authenticate with. */
    public val operatorTokenFile: SettingKey<String> =
        SettingKey("operators", "token_file", SettingType.Text, "File with the token that operators must show.")

    /** Name of the platform protocol; selects the plug-in. */
    public val platformProtocol: SettingKey<String> =
        SettingKey("platform", "protocol", SettingType.Text, "Plug-in that talks to the platform.", default = "http")

    /** Address of the service that provides the log and the list of VMs. */
    public val platformAddress: SettingKey<HostAndPort> = SettingKey(
        "platform",
        "address",
        SettingType.HostPort,
        "Address of the platform's log and list of VMs.",
    )

    /** Timeout of a call to the platform, in ms. */
    public val platformTimeout: SettingKey<Long> = SettingKey(
        "platform",
        "timeout",
        SettingType.DurationMs(10, 60 * ONE_SECOND_MS),
        "Longest call to the platform.",
        "2s",
    )

    /** Maximum time until all VMs have read that a VM is leaving, in ms. */
    public val listLag: SettingKey<Long> = SettingKey(
        "platform",
        "list_lag",
        SettingType.DurationMs(0, 10 * 60 * ONE_SECOND_MS),
        "Longest time until all VMs have seen that a VM is leaving.",
        default = "3s",
    )

    /** Name of the engine protocol; selects the plug-in. */
    public val engineProtocol: SettingKey<String> =
        SettingKey("endpoints", "engine_protocol", SettingType.Text, "Plug-in that talks to engines.", "http")

    /** Name of the protocol of plain services; selects the plug-in. */
    public val serviceProtocol: SettingKey<String> =
        SettingKey("endpoints", "service_protocol", SettingType.Text, "Plug-in that talks to plain services.", "http")

    /** Timeout of a control call to an endpoint, in ms. */
    public val controlTimeout: SettingKey<Long> = SettingKey(
        "endpoints",
        "control_timeout",
        SettingType.DurationMs(10, 60 * ONE_SECOND_MS),
        "Longest control call to an endpoint.",
        default = "2s",
    )

    /** Minimum time without requests before an endpoint's replicas are unloaded, in ms. */
    public val minIdle: SettingKey<Long> = SettingKey(
        "endpoints",
        "min_idle",
        SettingType.DurationMs(100, 24 * ONE_HOUR_MS),
        "Shortest time without requests before an endpoint's replicas are unloaded.",
        default = "30s",
    )

    /** Maximum time that a graceful stop waits for requests in progress, in ms. */
    public val stopTimeout: SettingKey<Long> = SettingKey(
        "lifecycle",
        "stop_timeout",
        SettingType.DurationMs(0, 24 * ONE_HOUR_MS),
        "Longest wait for requests in progress at a planned stop.",
        default = "15min",
    )

    /** All keys, in the order of the settings page. */
    public val all: List<SettingKey<*>> = listOf(
        vmId,
        failureDomain,
        region,
        callerListen,
        callerProtocol,
        maxBody,
        maxRequests,
        defaultTimeout,
        maxTimeout,
        addressLifetime,
        peerListen,
        peerSecretFile,
        operatorListen,
        operatorTokenFile,
        platformProtocol,
        platformAddress,
        platformTimeout,
        listLag,
        engineProtocol,
        serviceProtocol,
        controlTimeout,
        minIdle,
        stopTimeout,
    )
}

/** Reads the daemon's settings from [file]; fails with the first invalid setting. */
public fun readDaemonSettings(file: Path): Result<Settings, SettingsFailure> = readSettings(file, DaemonKeys.all)
