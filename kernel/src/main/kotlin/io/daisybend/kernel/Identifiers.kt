/*
 * Identifier types. Each kind of identifier is a distinct type, so that the compiler rejects a team id where a model id
 * is expected.
 */
package io.daisybend.kernel

import kotlinx.serialization.Serializable

/** Identifies a VM that runs a daemon. */
@JvmInline
@Serializable
public value class VmId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a failure domain: a set of VMs and endpoints that can fail together. */
@JvmInline
@Serializable
public value class FailureDomainId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a team, the unit to which API keys, rate limits and fair share apply. */
@JvmInline
@Serializable
public value class TeamId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a model, including one that is the base of an adapter. */
@JvmInline
@Serializable
public value class ModelId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies an adapter of a model. */
@JvmInline
@Serializable
public value class AdapterId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies an endpoint: a model engine or a plain service. */
@JvmInline
@Serializable
public value class EndpointId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a caller's request across all its attempts. */
@JvmInline
@Serializable
public value class RequestId(public val value: String) {
    override fun toString(): String = value
}
