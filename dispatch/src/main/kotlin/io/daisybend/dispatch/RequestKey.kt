/*
 * Computes keys and fingerprints of non-idempotent requests. Both are SHA-256 digests truncated to 128 bits, so a
 * caller can neither read the idempotency key of another team from the log nor choose a key that collides with it.
 */
package io.daisybend.dispatch

import io.daisybend.kernel.TeamId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.nio.ByteBuffer
import java.security.MessageDigest

/** Identifies a non-idempotent request across all calls of a team and route with the same idempotency key. */
@Serializable
public data class RequestKey(@SerialName("h") val high: Long, @SerialName("l") val low: Long)

/** Digest of method, path and body; two calls with the same key must have the same fingerprint. */
@Serializable
public data class RequestFingerprint(@SerialName("h") val high: Long, @SerialName("l") val low: Long)

/** Returns the key of a call by [teamId] on [route] with [idempotencyKey], the value of the header. */
public fun requestKeyOf(teamId: TeamId, route: String, idempotencyKey: String): RequestKey {
    val digest =
        digestOf(teamId.value.encodeToByteArray(), route.encodeToByteArray(), idempotencyKey.encodeToByteArray())
    return RequestKey(high = digest.getLong(0), low = digest.getLong(Long.SIZE_BYTES))
}

/** Returns the fingerprint of a call with [method], [path] and [body]. */
public fun fingerprintOf(method: String, path: String, body: ByteArray): RequestFingerprint {
    val digest = digestOf(method.encodeToByteArray(), path.encodeToByteArray(), body)
    return RequestFingerprint(high = digest.getLong(0), low = digest.getLong(Long.SIZE_BYTES))
}

/** The number of intent streams; all processes of a system must use the same number. */
public const val INTENT_PARTITION_COUNT: Int = 32

/** Returns the partition of [key], from 0 to [partitionCount] - 1. */
public fun partitionOf(key: RequestKey, partitionCount: Int = INTENT_PARTITION_COUNT): Int =
    Math.floorMod(key.low, partitionCount)

private fun digestOf(vararg parts: ByteArray): ByteBuffer {
    val sha = MessageDigest.getInstance("SHA-256")
    for (part in parts) {
        sha.update(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(part.size).flip())
        sha.update(part)
    }
    return ByteBuffer.wrap(sha.digest())
}
