package io.daisybend.entry

private val namePattern = Regex("[a-zA-Z_:][a-zA-Z0-9_:]*")
private val labelPattern = Regex("[a-zA-Z_][a-zA-Z0-9_]*=\"(?:[^\"\\\\\n]|\\\\[\\\\\"n])*\"")
private val samplePattern = Regex("(${namePattern.pattern})(\\{(?:${labelPattern.pattern},?)*\\})? (\\S+)")
private val commentPattern = Regex("# (HELP|TYPE) (${namePattern.pattern}) (.+)")
private val types = setOf("counter", "gauge", "histogram", "summary", "untyped")

/**
 * Parses [text] in the Prometheus text format and returns its samples by name and labels. Fails on a line that is not
 * in the format, on a duplicate sample, and on a sample whose type was not declared before it.
 */
internal fun readMetrics(text: String): Map<String, Double> {
    val samples = LinkedHashMap<String, Double>()
    val typesByName = HashMap<String, String>()
    check(text.endsWith("\n")) { "expected a line feed after the last sample" }
    text.lines().filter { it.isNotEmpty() }.forEach { line ->
        if (line.startsWith("#")) {
            val (kind, metricName, rest) =
                checkNotNull(commentPattern.matchEntire(line)) { "expected a comment, got $line" }.destructured
            if (kind == "TYPE") {
                check(rest in types) { "expected a known type, got $line" }
                check(typesByName.put(metricName, rest) == null) { "expected one type, got a second: $line" }
            }
            return@forEach
        }
        val (metricName, labels, value) =
            checkNotNull(samplePattern.matchEntire(line)) { "expected a sample, got $line" }.destructured
        val baseName = metricName.removeSuffix("_bucket").removeSuffix("_sum").removeSuffix("_count")
        check(metricName in typesByName || typesByName[baseName] == "histogram") { "expected a type before $line" }
        val number = checkNotNull(value.replace("+Inf", "Infinity").toDoubleOrNull()) { "expected a number, got $line" }
        check(samples.put(metricName + labels, number) == null) { "expected each sample once, got a duplicate: $line" }
    }
    return samples
}
