/*
 * Command-line options of the load and experiment tool.
 */
package io.daisybend.bench

import org.kohsuke.args4j.Option

internal class BenchOptions {
    @Option(name = "--seed", usage = "random seed of all traces")
    var seed: Long = DEFAULT_SEED

    @Option(name = "--short", usage = "run each scenario for a fifth of its duration")
    var isShort: Boolean = false

    @Option(name = "--scenario", usage = "run one scenario only")
    var scenario: String? = null

    @Option(name = "--site", usage = "run one site only: cinema-site or exchange-site")
    var site: String? = null

    @Option(name = "--json", usage = "write the results to this file")
    var jsonFile: String = "bench.json"

    @Option(name = "--plot", usage = "write PNG charts to the directory of the JSON file")
    var isPlotting: Boolean = false

    @Option(name = "--decisions", usage = "measure time and memory of each decision instead of running scenarios")
    var measuresDecisions: Boolean = false

    @Option(name = "--idle", usage = "compare idle rules instead of checking targets")
    var comparesIdleRules: Boolean = false

    @Option(name = "--help", help = true, usage = "print this help")
    var isHelp: Boolean = false

    private companion object {
        const val DEFAULT_SEED = 1L
    }
}
