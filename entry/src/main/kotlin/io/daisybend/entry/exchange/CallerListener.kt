/*
 * The listening socket for callers. The library loses a connection that it accepts while the socket closes: it stays
 * open, and nobody reads it. So the socket is closed between two accepts.
 */
package io.daisybend.entry.exchange

import io.daisybend.entry.EventLog
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import java.io.IOException

/** Accepts connections at [server] in [scope] and passes them to [onAccepted], until it is closed. */
internal class CallerListener(
    private val server: ServerSocket,
    scope: CoroutineScope,
    private val log: EventLog,
    private val onAccepted: (Socket) -> Unit,
) {
    /** Runs either an accept, with the call of [onAccepted] that follows, or the close. */
    private val turns = Dispatchers.Default.limitedParallelism(1)
    private var isClosed = false
    private val accepting: Job = scope.launch(turns) { acceptUntilClosed() }

    /** Closes the listening socket; no connection is accepted after the return. */
    suspend fun close() {
        withContext(turns) {
            isClosed = true
            server.close()
        }
        accepting.join()
    }

    /** Accepts connections; pauses for [ACCEPT_RETRY_MS] after a failed accept. */
    private suspend fun acceptUntilClosed() {
        while (!isClosed) {
            try {
                onAccepted(server.accept())
            } catch (cancelled: CancellationException) {
                throw cancelled
            } catch (failed: IOException) {
                onFailed(failed)
            } catch (failed: IllegalStateException) {
                // The selector reports a key of a closed socket so.
                onFailed(failed)
            }
        }
    }

    private suspend fun onFailed(failed: Exception) {
        if (isClosed) return
        log.write("accept-failed", "reason" to failed.toString())
        delay(ACCEPT_RETRY_MS)
    }

    private companion object {
        const val ACCEPT_RETRY_MS = 20L
    }
}
