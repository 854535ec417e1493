/*
 * Identifiers of everything that the system names. Each is a distinct type, so that a team cannot be passed where a
 * model is expected.
 */
package io.daisybend.kernel

import kotlinx.serialization.Serializable

/** Identifies a virtual machine that runs a daemon. */
@JvmInline
@Serializable
public value class VmId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a set of VMs and endpoints that may fail together. */
@JvmInline
@Serializable
public value class FailureDomainId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a customer whose keys, rates and fair share are accounted together. */
@JvmInline
@Serializable
public value class TeamId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies a model, an adapter's base or a version's model. */
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

/** Identifies a back end: a model engine or a plain service. */
@JvmInline
@Serializable
public value class EndpointId(public val value: String) {
    override fun toString(): String = value
}

/** Identifies one caller's request over all its attempts. */
@JvmInline
@Serializable
public value class RequestId(public val value: String) {
    override fun toString(): String = value
}
