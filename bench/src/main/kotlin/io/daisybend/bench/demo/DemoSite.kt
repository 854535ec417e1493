/*
 * Addresses and manifest of the demonstration site.
 */
package io.daisybend.bench.demo

import io.daisybend.configuration.AdapterSpec
import io.daisybend.configuration.EndpointKind
import io.daisybend.configuration.EndpointSpec
import io.daisybend.configuration.KeyId
import io.daisybend.configuration.KeySpec
import io.daisybend.configuration.Manifest
import io.daisybend.configuration.ModelSpec
import io.daisybend.configuration.RouteSpec
import io.daisybend.configuration.TeamSpec
import io.daisybend.kernel.AdapterId
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.FailureDomainId
import io.daisybend.kernel.ModelId
import io.daisybend.kernel.TeamId
import java.security.MessageDigest
import java.util.HexFormat

/** Listen addresses of the demonstration's processes, all on the loopback interface, and the manifest. */
internal class DemoSite(portBase: Int, daemonCount: Int = DAEMON_COUNT) {
    val platform = "127.0.0.1:$portBase"
    val engines = (1..ENGINE_COUNT).map { "127.0.0.1:${portBase + it}" }
    val service = "127.0.0.1:${portBase + SERVICE_OFFSET}"
    val callerAddresses = (0 until daemonCount).map { "127.0.0.1:${portBase + CALLER_OFFSET + it}" }
    val operatorAddresses = (0 until daemonCount).map { "127.0.0.1:${portBase + OPERATOR_OFFSET + it}" }

    fun manifest(keys: List<KeySpec>) = Manifest(
        models = modelIds.map { ModelSpec(it, version = "1", weightsBytes = MODEL_BYTES) },
        adapters = listOf(AdapterSpec(adapterId, modelIds.first(), version = "1", weightsBytes = ADAPTER_BYTES)),
        teams = listOf(
            TeamSpec(
                teamId,
                rateTokensPerSecond = 100_000,
                burstTokens = 1_000_000,
                modelIds = modelIds,
                adapterIds = listOf(adapterId),
            ),
        ),
        keys = keys,
        endpoints = engines.mapIndexed(::engineEndpoint) + serviceEndpoint(),
        routes = listOf(
            RouteSpec("booking", listOf(EndpointId("booking")), repeatable = false, teamIds = listOf(teamId)),
        ),
    )

    private fun engineEndpoint(index: Int, address: String) = EndpointSpec(
        endpointId = EndpointId("engine-${index + 1}"),
        kind = EndpointKind.ENGINE,
        address = address,
        failureDomainId = FailureDomainId("domain-${index + 1}"),
        memoryBytes = ENGINE_MEMORY_BYTES,
        kvCacheBytes = KV_CACHE_BYTES,
        checksFencing = index == 0,
    )

    private fun serviceEndpoint() =
        EndpointSpec(EndpointId("booking"), EndpointKind.SERVICE, service, FailureDomainId("domain-1"))

    companion object {
        const val ENGINE_COUNT = 3
        const val DAEMON_COUNT = 3
        const val SERVICE_OFFSET = 9
        const val CALLER_OFFSET = 10
        const val OPERATOR_OFFSET = 30
        const val MODEL_BYTES = 20L shl 30
        const val ADAPTER_BYTES = 100L shl 20
        const val ENGINE_MEMORY_BYTES = 80L shl 30
        const val KV_CACHE_BYTES = 10L shl 30
        val teamId = TeamId("cinema")
        val modelIds = listOf(ModelId("order-drafts"), ModelId("guest-replies"))
        val adapterId = AdapterId("guest-replies-danube")
    }
}

/** An API key in plain text with its entry in the manifest. */
internal class DemoKey(keyId: String, secret: String) {
    val bearerToken = "db_${keyId}_$secret"
    val spec: KeySpec = KeySpec(KeyId(keyId), DemoSite.teamId, SALT_HEX, hash(bearerToken))

    private fun hash(key: String): String {
        val digest = MessageDigest.getInstance("SHA-256")
        digest.update(HexFormat.of().parseHex(SALT_HEX))
        return HexFormat.of().formatHex(digest.digest(key.toByteArray()))
    }

    private companion object {
        const val SALT_HEX = "00112233445566778899aabbccddeeff"
    }
}
