/*
 * Mutual authentication of two peers of the same system. Each side sends a random nonce and an HMAC over both nonces,
 * both VM identifiers and its role, keyed with the system's shared secret. The secret is never sent, and a recorded
 * handshake cannot be replayed because each handshake uses new nonces.
 */
package io.daisybend.transport

import io.daisybend.kernel.VmId
import java.security.MessageDigest
import java.security.SecureRandom
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

internal class Handshake(private val secret: ByteArray) {
    fun newNonce(): ByteArray = ByteArray(NONCE_BYTES).also { random.nextBytes(it) }

    fun listenerProof(dialer: VmId, listener: VmId, dialerNonce: ByteArray, listenerNonce: ByteArray): ByteArray =
        computeProof("listener", dialer, listener, dialerNonce, listenerNonce)

    fun dialerProof(dialer: VmId, listener: VmId, dialerNonce: ByteArray, listenerNonce: ByteArray): ByteArray =
        computeProof("opener", dialer, listener, dialerNonce, listenerNonce)

    fun matches(expected: ByteArray, actual: ByteArray): Boolean = MessageDigest.isEqual(expected, actual)

    private fun computeProof(
        role: String,
        dialer: VmId,
        listener: VmId,
        dialerNonce: ByteArray,
        listenerNonce: ByteArray,
    ): ByteArray {
        val mac = Mac.getInstance(ALGORITHM)
        mac.init(SecretKeySpec(secret, ALGORITHM))
        listOf(role.toByteArray(), dialer.value.toByteArray(), listener.value.toByteArray(), dialerNonce, listenerNonce)
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
