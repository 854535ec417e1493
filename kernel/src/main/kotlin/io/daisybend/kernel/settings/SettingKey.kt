/*
 * Declares the keys of a settings file. The declarations drive parsing, validation and the settings page.
 */
package io.daisybend.kernel.settings

/** One key of a section; a key without [default] must be given. */
public class SettingKey<T : Any>(
    public val section: String,
    public val name: String,
    public val type: SettingType<T>,
    public val description: String,
    public val default: String? = null,
) {
    override fun toString(): String = "[$section] $name"
}
