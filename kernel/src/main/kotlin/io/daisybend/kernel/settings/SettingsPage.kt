/*
 * Renders the settings page from the declared keys, so that the documentation always matches validation.
 */
package io.daisybend.kernel.settings

/** Returns a Markdown page that describes [keys], grouped by section. */
public fun renderSettingsPage(keys: List<SettingKey<*>>): String = buildString {
    appendLine("# Settings")
    appendLine()
    appendLine("`bin/daisybendd --config FILE` reads an INI file in UTF-8. A key that is unknown, given twice, missing")
    appendLine("without a default, without its unit or out of range stops the daemon with exit code 2 and one message")
    appendLine("that names the file, the line, the key and what was expected; `--check` only checks.")
    appendLine("This page is printed by `bin/daisybendd --describe-settings`.")
    for ((section, sectionKeys) in keys.groupBy { it.section }) {
        appendLine()
        appendLine("## [$section]")
        appendLine()
        appendLine("| key | value | default | meaning |")
        appendLine("| --- | --- | --- | --- |")
        sectionKeys.forEach { appendLine(it.tableRow()) }
    }
}

private fun SettingKey<*>.tableRow(): String {
    val defaultText = default?.let { "`$it`" } ?: "must be given"
    return "| `$name` | ${type.expected} | $defaultText | $description |"
}
