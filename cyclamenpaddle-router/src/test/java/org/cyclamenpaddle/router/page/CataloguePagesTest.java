package org.cyclamenpaddle.router.page;

import static org.testng.Assert.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.cyclamenpaddle.core.outcome.RefusalReason;
import org.cyclamenpaddle.core.outcome.RetryReason;
import org.cyclamenpaddle.router.event.LogEvent;
import org.cyclamenpaddle.router.metric.MetricName;
import org.cyclamenpaddle.router.settings.SettingKey;
import org.testng.annotations.Test;

/** Compares the pages on settings, events and metrics with the enums that drive the program. */
public class CataloguePagesTest {

    @Test
    public void settingsPageListsEveryKey() {
        DocPage page = new DocPage("SETTINGS.md");

        Arrays.stream(SettingKey.values())
                .map(SettingKey::section)
                .distinct()
                .forEach(
                        section ->
                                page.assertContains("## [" + section + "]\n\n" + table(section)));
        assertEquals(page.codeCells().size(), SettingKey.values().length);
    }

    @Test
    public void eventsPageListsEveryEvent() {
        DocPage page = new DocPage("EVENTS.md");

        page.assertContains(
                DocPage.table(
                        List.of("Code", "Level", "Event", "Fields", "Meaning", "What to do"),
                        Arrays.stream(LogEvent.values()).map(CataloguePagesTest::row)));
        assertEquals(page.codeCells().size(), LogEvent.values().length);
    }

    @Test
    public void metricsPageListsEveryMetricAndReason() {
        DocPage page = new DocPage("METRICS.md");

        page.assertContains(
                DocPage.table(
                        List.of("Name", "Kind", "Tags", "Meaning"),
                        Arrays.stream(MetricName.values()).map(CataloguePagesTest::row)));
        page.assertContains(
                DocPage.table(
                        List.of("Reason", "Status", "Outcome", "Retry-After", "Meaning"),
                        Arrays.stream(RefusalReason.values()).map(CataloguePagesTest::row)));
        Stream.of(RetryReason.values()).map(RetryReason::code).forEach(page::assertNamesAsCode);
        assertEquals(
                page.codeCells().size(),
                MetricName.values().length
                        + RefusalReason.values().length
                        + RetryReason.values().length);
    }

    private static String table(String section) {
        return DocPage.table(
                List.of("Key", "Allowed", "Default", "Meaning"),
                SettingKey.inSection(section).stream().map(CataloguePagesTest::row));
    }

    private static List<String> row(SettingKey key) {
        String value = key.defaultValue().map(JsonNode::toString).map(DocPage::code).orElse("none");
        return List.of(DocPage.code(key.key()), key.allowed(), value, key.description());
    }

    private static List<String> row(LogEvent event) {
        return List.of(
                DocPage.code(event.code()),
                event.level().name().toLowerCase(java.util.Locale.ROOT),
                event.text(),
                event.fields().stream().map(DocPage::code).collect(Collectors.joining(", ")),
                event.meaning(),
                event.action());
    }

    private static List<String> row(MetricName name) {
        return List.of(
                DocPage.code(name.text()),
                name.kind().code(),
                name.tags().stream().map(DocPage::code).collect(Collectors.joining(", ")),
                name.description());
    }

    private static List<String> row(RefusalReason reason) {
        return List.of(
                DocPage.code(reason.code()),
                Integer.toString(reason.status()),
                reason.outcome().code(),
                reason.retryable() ? "yes" : "no",
                reason.title());
    }
}
