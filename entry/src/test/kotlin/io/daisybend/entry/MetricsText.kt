package io.daisybend.entry

private val name = Regex("[a-zA-Z_:][a-zA-Z0-9_:]*")
private val label = Regex("[a-zA-Z_][a-zA-Z0-9_]*=\"(?:[^\"\\\\\n]|\\\\[\\\\\"n])*\"")
private val sample = Regex("(${name.pattern})(\\{(?:${label.pattern},?)*\\})? (\\S+)")
private val comment = Regex("# (HELP|TYPE) (${name.pattern}) (.+)")
private val types = setOf("counter", "gauge", "histogram", "summary", "untyped")

/**
 * Reads [text] in the Prometheus text format and returns its samples by name and labels; fails on a line that is not in
 * the format, a sample that comes twice, or one whose type was not told before.
 */
internal fun readMetrics(text: String): Map<String, Double> {
    val samples = LinkedHashMap<String, Double>()
    val typed = HashMap<String, String>()
    check(text.endsWith("\n")) { "expected a line end behind the last sample" }
    text.lines().filter { it.isNotEmpty() }.forEach { line ->
        if (line.startsWith("#")) {
            val (kind, of, rest) = checkNotNull(comment.matchEntire(line)) { "not a comment: $line" }.destructured
            if (kind == "TYPE") {
                check(rest in types) { "expected a type, got $line" }
                check(typed.put(of, rest) == null) { "a type that comes twice: $line" }
            }
            return@forEach
        }
        val (of, labels, value) = checkNotNull(sample.matchEntire(line)) { "not a sample: $line" }.destructured
        val base = of.removeSuffix("_bucket").removeSuffix("_sum").removeSuffix("_count")
        check(of in typed || typed[base] == "histogram") { "a sample without a type: $line" }
        val number = checkNotNull(value.replace("+Inf", "Infinity").toDoubleOrNull()) { "not a number: $line" }
        check(samples.put(of + labels, number) == null) { "a sample that comes twice: $line" }
    }
    return samples
}
