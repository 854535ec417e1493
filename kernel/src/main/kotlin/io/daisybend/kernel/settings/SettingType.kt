/*
 * Types of setting values. Durations and sizes require a unit in the file, so that a plain number cannot be read as
 * milliseconds in one place and as seconds in another.
 */
package io.daisybend.kernel.settings

/** Parses the text of a setting to a value of type [T]. */
public sealed class SettingType<T : Any> {
    /** Description of the accepted values, for error messages and documentation. */
    public abstract val expected: String

    /** Parses [text]; returns null if it is not of this type or is out of range. */
    internal abstract fun parse(text: String): T?

    /** Non-blank text. */
    public data object Text : SettingType<String>() {
        override val expected: String = "a text that is not blank"

        override fun parse(text: String): String? = text.ifBlank { null }
    }

    /** One of the fixed values [choices]. */
    public data class Choice(val choices: List<String>) : SettingType<String>() {
        override val expected: String get() = "one of ${choices.joinToString(", ")}"

        override fun parse(text: String): String? = text.takeIf { it in choices }
    }

    /** An integer from [min] to [max]. */
    public data class Count(val min: Long, val max: Long) : SettingType<Long>() {
        override val expected: String get() = "a whole number from $min to $max"

        override fun parse(text: String): Long? = text.toLongOrNull()?.takeIf { it in min..max }
    }

    /** A duration with the unit `ms`, `s` or `min`; the value is in milliseconds. */
    public data class DurationMs(val minMs: Long, val maxMs: Long) : SettingType<Long>() {
        override val expected: String get() = "a duration with unit ms, s or min, from ${minMs}ms to ${maxMs}ms"

        override fun parse(text: String): Long? = parseAmount(text, durationUnits)?.takeIf { it in minMs..maxMs }
    }

    /** A size with the unit `B`, `KiB`, `MiB` or `GiB`; the value is in bytes. */
    public data class SizeBytes(val minBytes: Long, val maxBytes: Long) : SettingType<Long>() {
        override val expected: String get() = "a size with unit B, KiB, MiB or GiB, from ${minBytes}B to ${maxBytes}B"

        override fun parse(text: String): Long? = parseAmount(text, sizeUnits)?.takeIf { it in minBytes..maxBytes }
    }

    /** An IP address and a port, as in `10.0.0.1:8080`. */
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

        fun parseAmount(text: String, units: List<ValueUnit>): Long? {
            val match = amountWithUnit.matchEntire(text) ?: return null
            val unit = units.firstOrNull { it.name == match.groupValues[2] } ?: return null
            val amount = match.groupValues[1].toLong()
            return if (amount <= Long.MAX_VALUE / unit.factor) amount * unit.factor else null
        }
    }
}

private data class ValueUnit(val name: String, val factor: Long)

/** A host, given as an IP address, and a port. */
public data class HostAndPort(val host: String, val port: Int) {
    override fun toString(): String = "$host:$port"
}
