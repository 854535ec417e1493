/*
 * Validated settings from an INI file. ini4j parses the file; this file adds line numbers in errors and rejects unknown
 * and duplicate keys, which ini4j accepts.
 */
package io.daisybend.kernel.settings

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.mapError
import com.github.michaelbull.result.runCatching
import org.ini4j.Config
import org.ini4j.Ini
import org.ini4j.InvalidFileFormatException
import java.io.StringReader
import java.nio.ByteBuffer
import java.nio.charset.CharacterCodingException
import java.nio.charset.CodingErrorAction
import java.nio.file.Files
import java.nio.file.Path

/** Values of all declared keys of a settings file. */
public class Settings internal constructor(private val values: Map<SettingKey<*>, Any>) {
    /** Returns the value of [key]; throws if [key] was not among the declared keys when the file was read. */
    public operator fun <T : Any> get(key: SettingKey<T>): T {
        @Suppress("UNCHECKED_CAST")
        return checkNotNull(values[key]) { "expected a declared key, got $key" } as T
    }
}

/** Reads [file] and validates it against the declared [keys]; fails with the first error found. */
public fun readSettings(file: Path, keys: List<SettingKey<*>>): Result<Settings, SettingsFailure> =
    runCatching { Files.readAllBytes(file) }
        .mapError { SettingsFailure.Unreadable(file.toString(), it.javaClass.simpleName) }
        .andThen { parseSettings(file.toString(), it, keys) }

/** Validates the [content] of the file [fileName] against [keys]; fails with the first error found. */
public fun parseSettings(
    fileName: String,
    content: ByteArray,
    keys: List<SettingKey<*>>,
): Result<Settings, SettingsFailure> =
    decodeUtf8(fileName, content)
        .andThen { text -> parseIni(fileName, text).andThen { SettingsValidator(fileName, text, it, keys).validate() } }

private fun decodeUtf8(fileName: String, content: ByteArray): Result<String, SettingsFailure> {
    val decoder = Charsets.UTF_8.newDecoder().onMalformedInput(CodingErrorAction.REPORT)
    val input = ByteBuffer.wrap(content)
    return runCatching { decoder.decode(input).toString() }.mapError { exception ->
        check(exception is CharacterCodingException) { "expected a CharacterCodingException, got $exception" }
        val line = 1 + content.take(input.position()).count { it == '\n'.code.toByte() }
        SettingsFailure.BadEncoding(fileName, line)
    }
}

private fun parseIni(fileName: String, text: String): Result<Ini, SettingsFailure> {
    val ini = Ini()
    ini.config = Config().apply {
        isMultiOption = true
        isMultiSection = false
        isEscape = false
        isEmptyOption = false
    }
    return runCatching { ini.apply { load(StringReader(text)) } }.mapError { exception ->
        check(exception is InvalidFileFormatException) { "expected an InvalidFileFormatException, got $exception" }
        val line = lineNumberPattern.find(exception.message.orEmpty())?.groupValues?.get(1)?.toIntOrNull() ?: 0
        SettingsFailure.BadSyntax(fileName, line, text.lines().getOrElse(line - 1) { "" }.trim())
    }
}

private val lineNumberPattern = Regex("""at line: (\d+)""")

private class SettingsValidator(
    private val fileName: String,
    text: String,
    private val ini: Ini,
    private val keys: List<SettingKey<*>>,
) {
    private val lines = text.lines()

    fun validate(): Result<Settings, SettingsFailure> {
        val invalidKey = findUnknownKey() ?: findDuplicateKey()
        if (invalidKey != null) return Err(invalidKey)
        val values = HashMap<SettingKey<*>, Any>()
        for (key in keys) {
            val text = ini[key.section]?.get(key.name)?.trim() ?: key.default
            if (text == null) return Err(SettingsFailure.MissingKey(fileName, key.toString(), key.type.expected))
            values[key] = key.type.parse(text) ?: return Err(badValue(key, text))
        }
        return Ok(Settings(values))
    }

    private fun findUnknownKey(): SettingsFailure? {
        for (section in ini.values) {
            val known = keys.filter { it.section == section.name }
            if (known.isEmpty()) {
                val sections = keys.map { "[${it.section}]" }.distinct()
                return SettingsFailure.UnknownKey(
                    fileName,
                    lineOf(section.name, 0, null),
                    "[${section.name}]",
                    sections,
                )
            }
            val unknown = section.keys.firstOrNull { name -> known.none { it.name == name } } ?: continue
            return SettingsFailure.UnknownKey(
                fileName,
                lineOf(section.name, 0, unknown),
                unknown,
                known.map {
                    it.name
                },
            )
        }
        return null
    }

    private fun findDuplicateKey(): SettingsFailure? {
        for (section in ini.values) {
            val repeated = section.keys.firstOrNull { section.length(it) > 1 } ?: continue
            return SettingsFailure.DuplicateKey(fileName, lineOf(section.name, 1, repeated), repeated)
        }
        return null
    }

    private fun badValue(key: SettingKey<*>, text: String): SettingsFailure =
        SettingsFailure.BadValue(fileName, lineOf(key.section, 0, key.name), key.toString(), key.type.expected, text)

    /**
     * Returns the line number of [name] in [section], or of the section header if [name] is null. [occurrence] counts
     * the occurrences of [name] from zero. Returns 0 if there is no such line.
     */
    private fun lineOf(section: String, occurrence: Int, name: String?): Int {
        var inSection = false
        var skipped = 0
        for ((index, raw) in lines.withIndex()) {
            val line = raw.trim()
            if (line.startsWith("[")) {
                inSection = line.removePrefix("[").substringBefore("]") == section
                if (inSection && name == null) return index + 1
            } else if (inSection && name != null && line.substringBefore('=').substringBefore(':').trim() == name) {
                if (skipped == occurrence) return index + 1
                skipped++
            }
        }
        return 0
    }
}
