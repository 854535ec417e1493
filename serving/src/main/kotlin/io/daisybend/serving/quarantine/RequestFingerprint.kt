/*
 * Fingerprints of requests that come again with the same path, caller and body. They stand beside prompt parts in the
 * evidence; the prefix keeps them apart, since the ids of prompt parts contain no colon.
 */
package io.daisybend.serving.quarantine

/** Identifies a request over all its attempts; [part] represents it among prompt parts. */
@JvmInline
public value class RequestFingerprint private constructor(public val part: String) {
    public companion object {
        private const val PREFIX = "request:"

        /** Returns the fingerprint with the hash [hex]. */
        public fun ofHash(hex: String): RequestFingerprint = RequestFingerprint(PREFIX + hex)

        /** Returns the fingerprint that [part] represents, or null if it is a prompt part. */
        public fun ofPart(part: String): RequestFingerprint? =
            if (part.startsWith(PREFIX)) RequestFingerprint(part) else null
    }
}

/** Whether the subject of this request is its fingerprint and not its prompt parts. */
internal val SuspectRequest.isFingerprint: Boolean
    get() = parts.any { RequestFingerprint.ofPart(it) != null }
