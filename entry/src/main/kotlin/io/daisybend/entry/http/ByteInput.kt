/*
 * Where the bytes of a connection come from: its socket, or the frames of a relay.
 */
package io.daisybend.entry.http

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readAvailable
import java.io.IOException

/** Input of a connection. */
internal fun interface ByteInput {
    /** Reads up to the size of [bytes]; returns how many, or -1 at an orderly end. Throws if the input broke off. */
    suspend fun read(bytes: ByteArray): Int
}

/** The bytes of [channel]. */
internal class ChannelInput(private val channel: ByteReadChannel) : ByteInput {
    override suspend fun read(bytes: ByteArray): Int {
        val count = channel.readAvailable(bytes, 0, bytes.size)
        if (count < 0) channel.closedCause?.let { throw it as? IOException ?: ConnectionBrokenException(it) }
        return count
    }
}
