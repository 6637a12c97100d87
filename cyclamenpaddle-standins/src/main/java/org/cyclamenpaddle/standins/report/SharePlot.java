package org.cyclamenpaddle.standins.report;

import java.awt.Color;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/** Plots of a share over the offered load, with one line per policy. */
enum SharePlot {
    GOODPUT("Goodput as share of offered requests", MergedRuns::goodShare),
    WASTED_PREFILL("Prefilled tokens never used, as share", MergedRuns::wastedShare);

    private static final int WIDTH = 900;
    private static final int HEIGHT = 560;
    private static final double MAX_LOAD = 1.6;

    private final String mTitle;
    private final ToDoubleFunction<MergedRuns> mValue;

    SharePlot(String title, ToDoubleFunction<MergedRuns> value) {
        mTitle = title;
        mValue = value;
    }

    /** Writes one PNG file per deployment of {@code runs} into {@code directory}. */
    void write(Path directory, List<MergedRuns> runs) throws IOException {
        System.setProperty("java.awt.headless", "true");
        Map<String, List<MergedRuns>> deployments =
                runs.stream().collect(Collectors.groupingBy(MergedRuns::deployment));
        for (Map.Entry<String, List<MergedRuns>> entry : deployments.entrySet()) {
            String name = entry.getKey() + "-" + name().toLowerCase(Locale.ROOT) + ".png";
            ChartUtils.saveChartAsPNG(
                    directory.resolve(name.replace('_', '-')).toFile(),
                    chart(entry.getKey(), entry.getValue()),
                    WIDTH,
                    HEIGHT);
        }
    }

    private JFreeChart chart(String deployment, List<MergedRuns> runs) {
        Map<String, XYSeries> series = new TreeMap<>();
        runs.forEach(
                run ->
                        series.computeIfAbsent(run.policy(), XYSeries::new)
                                .add(run.load(), mValue.applyAsDouble(run)));
        XYSeriesCollection data = new XYSeriesCollection();
        series.values().forEach(data::addSeries);
        JFreeChart chart =
                ChartFactory.createXYLineChart(
                        mTitle + ", " + deployment,
                        "Offered load, as share of decode capacity",
                        "Share",
                        data,
                        PlotOrientation.VERTICAL,
                        true,
                        false,
                        false);
        XYPlot plot = chart.getXYPlot();
        plot.setRenderer(new XYLineAndShapeRenderer(true, true));
        plot.setBackgroundPaint(Color.WHITE);
        plot.setRangeGridlinePaint(Color.LIGHT_GRAY);
        plot.getDomainAxis().setRange(0, MAX_LOAD);
        return chart;
    }
}
