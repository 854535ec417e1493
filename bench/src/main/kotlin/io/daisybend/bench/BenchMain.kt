/*
 * Runs the scenarios with the system's strategies and the naive ones, and prints which targets are met. The exit code
 * is 0 whether or not targets are met, and 2 for an invalid command line.
 */
package io.daisybend.bench

import io.daisybend.bench.cost.reportDecisionCosts
import io.daisybend.bench.decisions.StrategySet
import io.daisybend.bench.decisions.naiveStrategies
import io.daisybend.bench.decisions.systemStrategies
import io.daisybend.bench.report.Comparison
import io.daisybend.bench.report.compare
import io.daisybend.bench.report.plotColdStarts
import io.daisybend.bench.report.toJson
import io.daisybend.bench.report.toText
import io.daisybend.bench.run.EventLoop
import io.daisybend.bench.run.RunResult
import io.daisybend.bench.run.SiteRun
import io.daisybend.bench.site.SitePreset
import io.daisybend.bench.site.cinemaSite
import io.daisybend.bench.site.exchangeSite
import io.daisybend.bench.trace.Scenario
import io.daisybend.bench.trace.buildTrace
import org.kohsuke.args4j.CmdLineException
import org.kohsuke.args4j.CmdLineParser
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.createDirectories
import kotlin.system.exitProcess

private const val EXIT_USAGE = 2

internal fun main(args: Array<String>) {
    val options = BenchOptions()
    val parser = CmdLineParser(options)
    try {
        parser.parseArgument(*args)
    } catch (failure: CmdLineException) {
        System.err.println(failure.message)
        parser.printUsage(System.err)
        exitProcess(EXIT_USAGE)
    }
    Path.of(options.jsonFile).toAbsolutePath().parent.createDirectories()
    when {
        options.isHelp -> parser.printUsage(System.out)
        options.measuresDecisions -> reportDecisionCosts(options.seed, options.jsonFile)
        options.comparesIdleRules -> compareIdleRules(selectedSites(options), selectedScenarios(options), options)
        else -> runScenarios(options)
    }
}

private fun runScenarios(options: BenchOptions) {
    val comparisons = selectedSites(options).flatMap { site ->
        selectedScenarios(options).map { scenario -> runScenario(site, scenario, options) }
    }
    Files.writeString(Path.of(options.jsonFile), comparisons.toJson())
    val missed = comparisons.sumOf { comparison -> comparison.targets.count { !it.isMet } }
    println("targets: ${comparisons.sumOf { it.targets.size } - missed} met, $missed missed")
}

private fun selectedSites(options: BenchOptions): List<SitePreset> =
    listOf(cinemaSite(), exchangeSite()).filter { options.site == null || it.name == options.site }

private fun selectedScenarios(options: BenchOptions): List<Scenario> =
    Scenario.entries.filter { options.scenario == null || it.title == options.scenario }

private fun runScenario(site: SitePreset, scenario: Scenario, options: BenchOptions): Comparison {
    val own = runVariant(site, scenario, options.seed, options.isShort) { systemStrategies(site, it, options.seed) }
    val naive = runVariant(site, scenario, options.seed, options.isShort) { naiveStrategies(site, it, options.seed) }
    val comparison = compare(site.name, scenario, options.seed, own, naive)
    println(comparison.toText())
    if (options.isPlotting) plot(comparison, own, naive, options)
    return comparison
}

private fun plot(comparison: Comparison, own: RunResult, naive: RunResult, options: BenchOptions) {
    val title = "${comparison.site} ${comparison.scenario}"
    val directory = Path.of(options.jsonFile).toAbsolutePath().parent
    plotColdStarts(title, own, naive, directory.resolve("${title.replace(' ', '-')}.png"))
}

internal fun runVariant(
    site: SitePreset,
    scenario: Scenario,
    seed: Long,
    isShort: Boolean,
    newStrategies: (EventLoop) -> StrategySet,
): RunResult = SiteRun(site, scenario.buildTrace(site, seed, isShort), seed, newStrategies).run()
