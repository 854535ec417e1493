/*
 * Types of setting values. Durations and sizes must carry their unit in the file, so that a bare number is never
 * taken for milliseconds by one reader and for seconds by another.
 */
package io.daisybend.kernel.settings

/** How the text of a setting becomes a value of type [T]. */
public sealed class SettingType<T : Any> {
    /** Describes what the type accepts, for messages and documentation. */
    public abstract val expected: String

    /** Returns the value of [text], or null when the text is not of this type or out of range. */
    internal abstract fun parse(text: String): T?

    /** Any text that is not blank. */
    public data object Text : SettingType<String>() {
        override val expected: String = "a text that is not blank"

        override fun parse(text: String): String? = text.ifBlank { null }
    }

    /** One of a fixed set of words. */
    public data class Choice(val choices: List<String>) : SettingType<String>() {
        override val expected: String get() = "one of ${choices.joinToString(", ")}"

        override fun parse(text: String): String? = text.takeIf { it in choices }
    }

    /** A whole number from [min] to [max]. */
    public data class Count(val min: Long, val max: Long) : SettingType<Long>() {
        override val expected: String get() = "a whole number from $min to $max"

        override fun parse(text: String): Long? = text.toLongOrNull()?.takeIf { it in min..max }
    }

    /** A duration with its unit: `ms`, `s` or `min`. */
    public data class DurationMs(val minMs: Long, val maxMs: Long) : SettingType<Long>() {
        override val expected: String get() = "a duration with unit ms, s or min, from ${minMs}ms to ${maxMs}ms"

        override fun parse(text: String): Long? = scaled(text, durationUnits)?.takeIf { it in minMs..maxMs }
    }

    /** A size with its unit: `B`, `KiB`, `MiB` or `GiB`. */
    public data class SizeBytes(val minBytes: Long, val maxBytes: Long) : SettingType<Long>() {
        override val expected: String get() = "a size with unit B, KiB, MiB or GiB, from ${minBytes}B to ${maxBytes}B"

        override fun parse(text: String): Long? = scaled(text, sizeUnits)?.takeIf { it in minBytes..maxBytes }
    }

    /** An IP number and a port. */
    public data object HostPort : SettingType<HostAndPort>() {
        override val expected: String = "an IP number and a port from 1 to 65535, as in 10.0.0.1:8080"

        override fun parse(text: String): HostAndPort? {
            val host = text.substringBeforeLast(':', missingDelimiterValue = "")
            val port = text.substringAfterLast(':').toIntOrNull() ?: return null
            return HostAndPort(host, port).takeIf { host.isNotBlank() && port in 1..MAX_PORT }
        }
    }

    private companion object {
        const val MAX_PORT = 65_535
        val amountWithUnit = Regex("""(\d{1,12})\s*([A-Za-z]+)""")
        val durationUnits = listOf(ValueUnit("ms", 1), ValueUnit("s", 1_000), ValueUnit("min", 60_000))
        val sizeUnits = listOf(
            ValueUnit("B", 1),
            ValueUnit("KiB", 1L shl 10),
            ValueUnit("MiB", 1L shl 20),
            ValueUnit("GiB", 1L shl 30),
        )

        fun scaled(text: String, units: List<ValueUnit>): Long? {
            val match = amountWithUnit.matchEntire(text) ?: return null
            val unit = units.firstOrNull { it.name == match.groupValues[2] } ?: return null
            val amount = match.groupValues[1].toLong()
            return if (amount <= Long.MAX_VALUE / unit.factor) amount * unit.factor else null
        }
    }
}

private data class ValueUnit(val name: String, val factor: Long)

/** A host, given by IP number, and a port. */
public data class HostAndPort(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"
}
