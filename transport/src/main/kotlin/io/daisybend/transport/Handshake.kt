/*
 * Mutual proof that two peers belong to the same system. Each side sends a random nonce and receives an HMAC over both
 * nonces, both VM identifiers and its role, keyed with the system's shared secret. The secret itself is never sent,
 * and a recorded handshake is of no use later because the nonces differ.
 */
package io.daisybend.transport

import io.daisybend.kernel.VmId
import java.security.MessageDigest
import java.security.SecureRandom
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

internal class Handshake(private val secret: ByteArray) {
    fun nonce(): ByteArray = ByteArray(NONCE_BYTES).also { random.nextBytes(it) }

    fun listenerProof(opener: VmId, listener: VmId, openerNonce: ByteArray, listenerNonce: ByteArray): ByteArray =
        proof("listener", opener, listener, openerNonce, listenerNonce)

    fun openerProof(opener: VmId, listener: VmId, openerNonce: ByteArray, listenerNonce: ByteArray): ByteArray =
        proof("opener", opener, listener, openerNonce, listenerNonce)

    fun matches(expected: ByteArray, actual: ByteArray): Boolean = MessageDigest.isEqual(expected, actual)

    private fun proof(
        role: String,
        opener: VmId,
        listener: VmId,
        openerNonce: ByteArray,
        listenerNonce: ByteArray,
    ): ByteArray {
        val mac = Mac.getInstance(ALGORITHM)
        mac.init(SecretKeySpec(secret, ALGORITHM))
        listOf(role.toByteArray(), opener.value.toByteArray(), listener.value.toByteArray(), openerNonce, listenerNonce)
            .forEach { part ->
                mac.update(part.size.toString().toByteArray())
                mac.update(SEPARATOR)
                mac.update(part)
            }
        return mac.doFinal()
    }

    private companion object {
        const val NONCE_BYTES = 16
        const val ALGORITHM = "HmacSHA256"
        const val SEPARATOR: Byte = ':'.code.toByte()
        val random = SecureRandom()
    }
}
