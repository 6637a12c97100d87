package org.cyclamenpaddle.standins.load;

import com.linecorp.armeria.client.WebClient;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Reads the metrics of all entry hosts. */
final class EntryProbe {

    private static final String REFUSALS = "cyclamenpaddle_refusals_total";
    private static final String RETRIES = "cyclamenpaddle_retries_total";
    private static final ReasonCounts NONE = new ReasonCounts(Map.of());

    private final List<WebClient> mClients;

    /** Creates a client of entry hosts, each as {@code host:port}. */
    EntryProbe(List<String> addresses) {
        mClients =
                addresses.stream()
                        .map(address -> WebClient.of("http://" + address))
                        .collect(Collectors.toList());
    }

    /** Counters summed over all entry hosts. */
    record Counts(ReasonCounts refusals, ReasonCounts retries) {

        Counts since(Counts earlier) {
            return new Counts(refusals.since(earlier.refusals), retries.since(earlier.retries));
        }
    }

    Counts counts() {
        List<String> pages =
                mClients.stream()
                        .map(client -> client.get("/metrics").aggregate().join().contentUtf8())
                        .collect(Collectors.toList());
        return new Counts(sum(pages, REFUSALS), sum(pages, RETRIES));
    }

    private static ReasonCounts sum(List<String> pages, String metric) {
        return pages.stream()
                .map(page -> ReasonCounts.parse(page, metric))
                .reduce(NONE, ReasonCounts::plus);
    }
}
