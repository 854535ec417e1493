/*
 * The configuration in force, indexed by identifier for lookups while a request is served.
 */
package io.daisybend.daemon.request

import io.daisybend.configuration.AdapterSpec
import io.daisybend.configuration.EndpointSpec
import io.daisybend.configuration.KeyId
import io.daisybend.configuration.KeySpec
import io.daisybend.configuration.Manifest
import io.daisybend.configuration.ModelSpec
import io.daisybend.configuration.RouteSpec
import io.daisybend.configuration.TeamSpec
import io.daisybend.kernel.AdapterId
import io.daisybend.kernel.EndpointId
import io.daisybend.kernel.ModelId
import io.daisybend.kernel.TeamId

/** The manifest of [revision], indexed by identifier, with the endpoints that operators are draining. */
public class ConfigurationIndex(
    public val revision: Long,
    public val manifest: Manifest,
    public val drainingEndpointIds: Set<EndpointId> = emptySet(),
) {
    private val models = manifest.models.associateBy { it.modelId }
    private val adapters = manifest.adapters.associateBy { it.adapterId }
    private val teams = manifest.teams.associateBy { it.teamId }
    private val keys = manifest.keys.associateBy { it.keyId }
    private val endpoints = manifest.endpoints.associateBy { it.endpointId }
    private val routes = manifest.routes.associateBy { it.name }

    /** Returns the model [modelId], or null. */
    public fun model(modelId: ModelId): ModelSpec? = models[modelId]

    /** Returns the adapter [adapterId], or null. */
    public fun adapter(adapterId: AdapterId): AdapterSpec? = adapters[adapterId]

    /** Returns the team [teamId], or null. */
    public fun team(teamId: TeamId): TeamSpec? = teams[teamId]

    /** Returns the key [keyId], or null. */
    public fun key(keyId: KeyId): KeySpec? = keys[keyId]

    /** Returns the endpoint [endpointId], or null. */
    public fun endpoint(endpointId: EndpointId): EndpointSpec? = endpoints[endpointId]

    /** Returns whether [endpointId] accepts new requests: it is configured and not draining. */
    public fun acceptsNewWork(endpointId: EndpointId): Boolean =
        endpointId in endpoints && endpointId !in drainingEndpointIds

    /** Returns the route [name], or null. */
    public fun route(name: String): RouteSpec? = routes[name]
}

/** Provides the configuration in force. */
public interface ConfigurationView {
    /** Returns the configuration in force, or null if none is known yet. */
    public fun current(): ConfigurationIndex?
}
