/*
 * Declaration of settings keys. Parsing, validation and the settings page are all derived from it.
 */
package io.daisybend.kernel.settings

/** Key of a section of the settings file; a key without a [default] is required. */
public class SettingKey<T : Any>(
    public val section: String,
    public val name: String,
    public val type: SettingType<T>,
    public val description: String,
    public val default: String? = null,
) {
    override fun toString(): String = "[$section] $name"
}
