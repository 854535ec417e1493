/*
 * The keys of the daemon's settings file.
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

/** The declared keys, by section. */
public object DaemonKeys {
    /** Identifies this VM; unique among all VMs of the system. */
    public val vmId: SettingKey<String> =
        SettingKey("vm", "id", SettingType.Text, "Identifier of this VM, unique in the system.")

    /** The failure domain of this VM. */
    public val failureDomain: SettingKey<String> =
        SettingKey("vm", "failure_domain", SettingType.Text, "Failure domain in which this VM runs.")

    /** The region of this VM. */
    public val region: SettingKey<String> = SettingKey("vm", "region", SettingType.Text, "Region of this VM.")

    /** Where callers connect. */
    public val callerListen: SettingKey<HostAndPort> =
        SettingKey("callers", "listen", SettingType.HostPort, "Address on which callers are served.")

    /** The caller protocol. */
    public val callerProtocol: SettingKey<String> =
        SettingKey("callers", "protocol", SettingType.Text, "Plug-in that serves callers.", default = "http")

    /** The largest body of a request. */
    public val maxBody: SettingKey<Long> = SettingKey(
        "callers",
        "max_body",
        SettingType.SizeBytes(1_024, ONE_GIB),
        "Largest body of a request.",
        default = "8MiB",
    )

    /** How many requests are served at once. */
    public val maxRequests: SettingKey<Long> = SettingKey(
        "callers",
        "max_concurrent_requests",
        SettingType.Count(1, 100_000),
        "Requests served at once.",
        "2000",
    )

    /** The deadline of a request that names none. */
    public val defaultTimeout: SettingKey<Long> = SettingKey(
        "callers",
        "default_timeout",
        SettingType.DurationMs(1, ONE_HOUR_MS),
        "Time in which a request that names no deadline is served or refused.",
        default = "120s",
    )

    /** The longest deadline that a request may name. */
    public val maxTimeout: SettingKey<Long> = SettingKey(
        "callers",
        "max_timeout",
        SettingType.DurationMs(1, ONE_HOUR_MS),
        "Longest deadline of a request.",
        "10min",
    )

    /** How long callers may keep an address. */
    public val addressLifetime: SettingKey<Long> = SettingKey(
        "callers",
        "address_lifetime",
        SettingType.DurationMs(100, ONE_HOUR_MS),
        "How long callers may use an address that they were told.",
        default = "10s",
    )

    /** Where peers connect. */
    public val peerListen: SettingKey<HostAndPort> =
        SettingKey("peers", "listen", SettingType.HostPort, "Address on which the other daemons are served.")

    /** The file with the system's shared secret. */
    public val peerSecretFile: SettingKey<String> = SettingKey(
        "peers",
        "secret_file",
        SettingType.Text,
        "File with the secret that all daemons of the system share.",
    )

    /** Where operators connect. */
    public val operatorListen: SettingKey<HostAndPort> = SettingKey(
        "operators",
        "listen",
        SettingType.HostPort,
        "Address of the operators' interface, metrics and health checks.",
    )

    /** The file with the operators' token. */
    public val operatorTokenFile: SettingKey<String> =
        SettingKey("operators", "token_file", SettingType.Text, "File with the token that operators must show.")

    /** The platform's protocol. */
    public val platformProtocol: SettingKey<String> =
        SettingKey("platform", "protocol", SettingType.Text, "Plug-in that talks to the platform.", default = "http")

    /** Where the platform's service is. */
    public val platformAddress: SettingKey<HostAndPort> = SettingKey(
        "platform",
        "address",
        SettingType.HostPort,
        "Address of the platform's log and list of VMs.",
    )

    /** How long a call to the platform may take. */
    public val platformTimeout: SettingKey<Long> = SettingKey(
        "platform",
        "timeout",
        SettingType.DurationMs(10, 60 * ONE_SECOND_MS),
        "Longest call to the platform.",
        "2s",
    )

    /** How late the platform's list may be. */
    public val listLag: SettingKey<Long> = SettingKey(
        "platform",
        "list_lag",
        SettingType.DurationMs(0, 10 * 60 * ONE_SECOND_MS),
        "Longest time until all VMs have seen that a VM is leaving.",
        default = "3s",
    )

    /** The engines' protocol. */
    public val engineProtocol: SettingKey<String> =
        SettingKey("endpoints", "engine_protocol", SettingType.Text, "Plug-in that talks to engines.", "http")

    /** The plain services' protocol. */
    public val serviceProtocol: SettingKey<String> =
        SettingKey("endpoints", "service_protocol", SettingType.Text, "Plug-in that talks to plain services.", "http")

    /** How long a control call to an endpoint may take. */
    public val controlTimeout: SettingKey<Long> = SettingKey(
        "endpoints",
        "control_timeout",
        SettingType.DurationMs(10, 60 * ONE_SECOND_MS),
        "Longest control call to an endpoint.",
        default = "2s",
    )

    /** How long an endpoint without requests keeps its replicas at least. */
    public val minIdle: SettingKey<Long> = SettingKey(
        "endpoints",
        "min_idle",
        SettingType.DurationMs(100, 24 * ONE_HOUR_MS),
        "Shortest time without requests before an endpoint's replicas are unloaded.",
        default = "30s",
    )

    /** How long a stop waits for requests in progress. */
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

/** Reads the daemon's settings from [file]; fails with the first problem found. */
public fun readDaemonSettings(file: Path): Result<Settings, SettingsFailure> = readSettings(file, DaemonKeys.all)
