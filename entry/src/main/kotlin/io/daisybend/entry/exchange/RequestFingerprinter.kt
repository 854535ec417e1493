/*
 * Computes the fingerprints of requests: a hash of the caller, the path, the prompt and the body, with a key of the
 * site, so that a fingerprint in a log or a report does not tell what the request contains.
 */
package io.daisybend.entry.exchange

import io.daisybend.serving.quarantine.RequestFingerprint
import java.nio.ByteBuffer
import java.security.SecureRandom
import java.util.HexFormat
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** Computes fingerprints with a random key until [useKey] sets the one that all VMs share. */
internal class RequestFingerprinter {
    /** The key of the hash. */
    @Volatile
    var key: ByteArray = ByteArray(KEY_BYTES).also(SecureRandom()::nextBytes)
        private set

    /** Computes further fingerprints with [siteKey]. */
    fun useKey(siteKey: ByteArray) {
        key = siteKey
    }

    /** Returns the fingerprint of [admitted]. */
    fun fingerprintOf(admitted: AdmittedRequest): RequestFingerprint {
        val mac = Mac.getInstance(ALGORITHM).apply { init(SecretKeySpec(key, ALGORITHM)) }
        val head = admitted.request.head
        val demand = admitted.caller.demand
        val texts = listOf(
            admitted.team?.name.orEmpty(),
            head.method,
            head.host.lowercase(),
            head.target,
            demand?.model.orEmpty(),
            demand?.adapter.orEmpty(),
        ) + demand?.parts.orEmpty().map { it.id }
        texts.forEach { mac.updateWithLength(it.encodeToByteArray()) }
        mac.updateWithLength(admitted.request.body)
        return RequestFingerprint.ofHash(HexFormat.of().formatHex(mac.doFinal(), 0, HASH_BYTES))
    }

    private fun Mac.updateWithLength(bytes: ByteArray) {
        update(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(bytes.size).array())
        update(bytes)
    }

    companion object {
        /** Length of the key of the hash. */
        const val KEY_BYTES = 32
        private const val ALGORITHM = "HmacSHA256"

        /** Length of a hash: too long for two requests to share one by chance. */
        private const val HASH_BYTES = 12
    }
}
