/*
 * Plots the cold start latency of both variants by percentile, one PNG chart for each comparison.
 */
package io.daisybend.bench.report

import io.daisybend.bench.run.RunResult
import org.HdrHistogram.Histogram
import org.knowm.xchart.BitmapEncoder
import org.knowm.xchart.XYChartBuilder
import org.knowm.xchart.style.markers.SeriesMarkers
import java.nio.file.Path

internal fun plotColdStarts(title: String, own: RunResult, naive: RunResult, file: Path) {
    val chart = XYChartBuilder()
        .width(800).height(500)
        .title(title).xAxisTitle("percentile").yAxisTitle("cold start in s")
        .build()
    mapOf("daisybend" to own, "naive" to naive).forEach { (name, result) ->
        val coldStartSeconds = PERCENTILES.map { result.coldStartMs.secondsAt(it) }.toDoubleArray()
        chart.addSeries(name, PERCENTILES.toDoubleArray(), coldStartSeconds).setMarker(SeriesMarkers.NONE)
    }
    BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG)
}

private val PERCENTILES = (0..100).map { it.toDouble() }

private fun Histogram.secondsAt(percentile: Double): Double = getValueAtPercentile(percentile) / 1_000.0
