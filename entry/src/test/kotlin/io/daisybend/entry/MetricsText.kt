package io.daisybend.entry

private val namePattern = Regex("[a-zA-Z_:][a-zA-Z0-9_:]*")
private val labelPattern = Regex("[a-zA-Z_][a-zA-Z0-9_]*=\"(?:[^\"\\\\\n]|\\\\[\\\\\"n])*\"")
private val samplePattern = Regex("(${namePattern.pattern})(\\{(?:${labelPattern.pattern},?)*\\})? (\\S+)")
private val commentPattern = Regex("# (HELP|TYPE) (${namePattern.pattern}) (.+)")
private val types = setOf("counter", "gauge", "histogram", "summary", "untyped")

/**
 * Reads [text] in the Prometheus text format and returns its samples by name and labels; fails on a line that is not in
 * the format, a sample that comes twice, or one whose type was not told before.
 */
internal fun readMetrics(text: String): Map<String, Double> {
    val samples = LinkedHashMap<String, Double>()
    val typesByName = HashMap<String, String>()
    check(text.endsWith("\n")) { "expected a line end behind the last sample" }
    text.lines().filter { it.isNotEmpty() }.forEach { line ->
        if (line.startsWith("#")) {
            val (kind, metricName, rest) =
                checkNotNull(commentPattern.matchEntire(line)) { "not a comment: $line" }.destructured
            if (kind == "TYPE") {
                check(rest in types) { "expected a type, got $line" }
                check(typesByName.put(metricName, rest) == null) { "a type that comes twice: $line" }
            }
            return@forEach
        }
        val (metricName, labels, value) =
            checkNotNull(samplePattern.matchEntire(line)) { "not a sample: $line" }.destructured
        val baseName = metricName.removeSuffix("_bucket").removeSuffix("_sum").removeSuffix("_count")
        check(metricName in typesByName || typesByName[baseName] == "histogram") { "a sample without a type: $line" }
        val number = checkNotNull(value.replace("+Inf", "Infinity").toDoubleOrNull()) { "not a number: $line" }
        check(samples.put(metricName + labels, number) == null) { "a sample that comes twice: $line" }
    }
    return samples
}
