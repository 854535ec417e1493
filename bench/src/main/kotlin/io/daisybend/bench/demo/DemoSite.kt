/*
 * The demonstration's site: its addresses and its manifest.
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

/** Where the demonstration's processes listen, all on the loopback address. */
internal class DemoSite(portBase: Int, daemons: Int = DAEMONS) {
    val platform = "127.0.0.1:$portBase"
    val engines = (1..ENGINES).map { "127.0.0.1:${portBase + it}" }
    val service = "127.0.0.1:${portBase + SERVICE_OFFSET}"
    val callerAddresses = (0 until daemons).map { "127.0.0.1:${portBase + CALLER_OFFSET + it}" }
    val operatorAddresses = (0 until daemons).map { "127.0.0.1:${portBase + OPERATOR_OFFSET + it}" }

    fun manifest(keys: List<KeySpec>) = Manifest(
        models = models.map { ModelSpec(it, version = "1", weightsBytes = MODEL_BYTES) },
        adapters = listOf(AdapterSpec(adapter, models.first(), version = "1", weightsBytes = ADAPTER_BYTES)),
        teams = listOf(
            TeamSpec(
                team,
                rateTokensPerSecond = 100_000,
                burstTokens = 1_000_000,
                modelIds = models,
                adapterIds = listOf(adapter),
            ),
        ),
        keys = keys,
        endpoints = engines.mapIndexed(::engine) + serviceEndpoint(),
        routes = listOf(
            RouteSpec("booking", listOf(EndpointId("booking")), repeatable = false, teamIds = listOf(team)),
        ),
    )

    private fun engine(index: Int, address: String) = EndpointSpec(
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
        const val ENGINES = 3
        const val DAEMONS = 3
        const val SERVICE_OFFSET = 9
        const val CALLER_OFFSET = 10
        const val OPERATOR_OFFSET = 30
        const val MODEL_BYTES = 20L shl 30
        const val ADAPTER_BYTES = 100L shl 20
        const val ENGINE_MEMORY_BYTES = 80L shl 30
        const val KV_CACHE_BYTES = 10L shl 30
        val team = TeamId("cinema")
        val models = listOf(ModelId("order-drafts"), ModelId("guest-replies"))
        val adapter = AdapterId("guest-replies-danube")
    }
}

/** A key in clear with its entry in the manifest. */
internal class DemoKey(keyId: String, secret: String) {
    val text = "db_${keyId}_$secret"
    val spec: KeySpec = KeySpec(KeyId(keyId), DemoSite.team, SALT_HEX, hash(text))

    private fun hash(key: String): String {
        val digest = MessageDigest.getInstance("SHA-256")
        digest.update(HexFormat.of().parseHex(SALT_HEX))
        return HexFormat.of().formatHex(digest.digest(key.toByteArray()))
    }

    private companion object {
        const val SALT_HEX = "00112233445566778899aabbccddeeff"
    }
}
