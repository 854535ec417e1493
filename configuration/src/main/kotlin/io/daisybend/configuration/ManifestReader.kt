/*
 * Reads and writes the manifest as JSON. Reading is strict: unknown fields, missing fields, wrong types and trailing
 * text are refused with the line and column at which they stand.
 */
package io.daisybend.configuration

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** The largest manifest document that is read. */
public const val MAX_MANIFEST_BYTES: Long = 16L * 1024 * 1024

private const val MAX_DETAIL_CHARS = 300
private val strictJson = Json { encodeDefaults = true }
private val printedJson = Json {
    encodeDefaults = true
    prettyPrint = true
}
private val offsetForm = Regex("at offset (\\d+)")

/** Reads and validates a manifest; fails with a [ManifestFailure] that lists all problems of a well-formed one. */
public fun readManifest(text: String, withdrawnKeyIds: Set<KeyId> = emptySet()): Result<Manifest, ManifestFailure> {
    if (text.length > MAX_MANIFEST_BYTES) {
        return Err(ManifestFailure.TooLarge(text.length.toLong(), MAX_MANIFEST_BYTES))
    }
    val manifest = try {
        strictJson.decodeFromString(Manifest.serializer(), text)
    } catch (e: SerializationException) {
        return Err(malformed(text, e))
    }
    val problems = validateManifest(manifest, withdrawnKeyIds)
    return if (problems.isEmpty()) Ok(manifest) else Err(ManifestFailure.Invalid(problems))
}

/** Writes [manifest] as indented JSON that [readManifest] reads back. */
public fun writeManifest(manifest: Manifest): String = printedJson.encodeToString(Manifest.serializer(), manifest)

private fun malformed(text: String, cause: SerializationException): ManifestFailure.Malformed {
    val message = cause.message.orEmpty()
    val offset = offsetForm.find(message)?.groupValues?.get(1)?.toIntOrNull()?.coerceIn(0, text.length)
    val detail = message.lineSequence().first().take(MAX_DETAIL_CHARS)
    if (offset == null) return ManifestFailure.Malformed(line = 0, column = 0, detail = detail)
    val before = text.substring(0, offset)
    val line = before.count { it == '\n' } + 1
    val column = offset - (before.lastIndexOf('\n') + 1) + 1
    return ManifestFailure.Malformed(line, column, detail)
}
