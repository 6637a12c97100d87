package org.cyclamenpaddle.router.metric;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.outcome.RefusalReason;
import org.cyclamenpaddle.core.outcome.RetryReason;
import org.cyclamenpaddle.core.outcome.RunOutcome;
import org.testng.annotations.Test;

public class RouterMetricsTest {

    private static final ServiceName SERVICE = new ServiceName("malt-reader");

    @Test
    public void everyReasonIsScrapedFromTheStart() {
        String scraped = new RouterMetrics().scrape();

        for (RefusalReason reason : RefusalReason.values()) {
            assertTrue(
                    scraped.contains(
                            "cyclamenpaddle_refusals_total{reason=\"" + reason.code() + "\"} 0.0"),
                    reason + " in " + scraped);
        }
        for (RetryReason reason : RetryReason.values()) {
            assertTrue(
                    scraped.contains(
                            "cyclamenpaddle_retries_total{reason=\"" + reason.code() + "\"} 0.0"),
                    reason + " in " + scraped);
        }
    }

    @Test
    public void everyNameOfTheCatalogueIsScrapedWithItsTags() {
        RouterMetrics metrics = populatedMetrics();
        List<String> lines = metrics.scrape().lines().toList();

        for (MetricName name : MetricName.values()) {
            String suffix = name.kind() == MetricKind.TIMER ? "_count" : "";
            String start =
                    name.text()
                            + suffix
                            + name.tags().stream()
                                    .map(tag -> "{" + tag + "=\"")
                                    .collect(Collectors.joining())
                            + (name.tags().isEmpty() ? " " : "");
            assertTrue(lines.stream().anyMatch(line -> line.startsWith(start)), start);
        }
    }

    @Test
    public void scrapesNothingOutsideTheCatalogue() {
        List<String> types =
                populatedMetrics()
                        .scrape()
                        .lines()
                        .filter(line -> line.startsWith("# TYPE "))
                        .map(line -> line.split(" ")[2])
                        .filter(name -> !name.endsWith("_max"))
                        .sorted()
                        .toList();

        assertEquals(
                types, Arrays.stream(MetricName.values()).map(MetricName::text).sorted().toList());
    }

    @Test
    public void lateResponsesAreNotGoodput() {
        RouterMetrics metrics = new RouterMetrics();

        metrics.recordResponse(SERVICE, true);
        metrics.recordResponse(SERVICE, false);

        String scraped = metrics.scrape();
        assertTrue(scraped.contains("cyclamenpaddle_answered_total{service=\"malt-reader\"} 2.0"));
        assertTrue(scraped.contains("cyclamenpaddle_goodput_total{service=\"malt-reader\"} 1.0"));
    }

    @Test
    public void countsByReasonForTheStatusReport() {
        RouterMetrics metrics = new RouterMetrics();

        metrics.recordRefusal(RefusalReason.QUEUE_FULL);
        metrics.recordRefusal(RefusalReason.QUEUE_FULL);
        metrics.recordRetry(RetryReason.ENGINE_FULL);

        assertEquals(metrics.refusals().get(RefusalReason.QUEUE_FULL), Long.valueOf(2));
        assertEquals(metrics.refusals().get(RefusalReason.STOPPING), Long.valueOf(0));
        assertEquals(metrics.retries().get(RetryReason.ENGINE_FULL), Long.valueOf(1));
    }

    private static RouterMetrics populatedMetrics() {
        RouterMetrics metrics = new RouterMetrics();
        metrics.recordRequest(SERVICE);
        metrics.recordResponse(SERVICE, true);
        metrics.tokensRelayed(SERVICE, 3);
        metrics.prefillComputed(SERVICE, 100);
        metrics.prefillWasted(SERVICE, 10);
        metrics.firstToken(SERVICE, 300);
        metrics.interToken(SERVICE, 20);
        metrics.badPeerFrame("TOO_LONG");
        metrics.peerFrameDropped("QUEUE_FULL");
        metrics.recordBooking(RunOutcome.RAN);
        metrics.registerGauges(new GaugeSources(() -> 1, () -> 2, () -> 3, () -> 4));
        return metrics;
    }
}
