/*
 * Reads and writes the manifest as JSON. Reading is strict: unknown fields, missing fields, wrong types and trailing
 * text are refused with their line and column.
 */
package io.daisybend.configuration

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** The maximum size of a manifest document. */
public const val MAX_MANIFEST_BYTES: Long = 16L * 1024 * 1024

private const val MAX_DETAIL_CHARS = 300
private val strictJson = Json { encodeDefaults = true }
private val prettyJson = Json {
    encodeDefaults = true
    prettyPrint = true
}
private val offsetPattern = Regex("at offset (\\d+)")

/**
 * Parses and validates a manifest; fails with a [ManifestFailure], which lists all problems of a well-formed manifest.
 */
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

/** Returns [manifest] as indented JSON that [readManifest] accepts. */
public fun writeManifest(manifest: Manifest): String = prettyJson.encodeToString(Manifest.serializer(), manifest)

private fun malformed(text: String, cause: SerializationException): ManifestFailure.Malformed {
    val message = cause.message.orEmpty()
    val offset = offsetPattern.find(message)?.groupValues?.get(1)?.toIntOrNull()?.coerceIn(0, text.length)
    val detail = message.lineSequence().first().take(MAX_DETAIL_CHARS)
    if (offset == null) return ManifestFailure.Malformed(line = 0, column = 0, detail = detail)
    val textBefore = text.substring(0, offset)
    val line = textBefore.count { it == '\n' } + 1
    val column = offset - (textBefore.lastIndexOf('\n') + 1) + 1
    return ManifestFailure.Malformed(line, column, detail)
}
