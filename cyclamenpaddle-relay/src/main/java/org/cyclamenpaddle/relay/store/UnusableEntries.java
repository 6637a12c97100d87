package org.cyclamenpaddle.relay.store;

import java.util.LinkedHashMap;
import java.util.Map;
import org.cyclamenpaddle.relay.log.RelayEvent;
import org.cyclamenpaddle.relay.log.RelayEventLog;
import org.cyclamenpaddle.relay.metric.RelayMetrics;

/**
 * Logs and counts the entries of one kind that cannot be used, each once a revision. Not
 * thread-safe.
 */
public final class UnusableEntries {

    /** Maximum number of entries remembered; those reported longest ago are forgotten. */
    static final int MAX_ENTRIES = 256;

    /** Maximum length of a name or reason in the log. */
    private static final int MAX_TEXT_LENGTH = 128;

    private final String mKind;
    private final RelayEventLog mLog;
    private final RelayMetrics mMetrics;
    private final Map<String, Long> mRevisions =
            new LinkedHashMap<>() {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                    return size() > MAX_ENTRIES;
                }
            };

    /**
     * Creates a record of no entries.
     *
     * @param kind kind of the entries, for logs and metrics
     */
    public UnusableEntries(String kind, RelayEventLog log, RelayMetrics metrics) {
        mKind = kind;
        mLog = log;
        mMetrics = metrics;
    }

    /** Reports an entry if it cannot be used and has changed since it was reported. */
    public void report(StoreEntry<?> entry) {
        if (!entry.isUnusable()) {
            mRevisions.remove(entry.name());
            return;
        }
        Long reported = mRevisions.put(entry.name(), entry.revision());
        if (reported == null || reported != entry.revision()) {
            mMetrics.recordUnusableEntry(mKind);
            mLog.log(
                    RelayEvent.ENTRY_UNUSABLE,
                    mKind,
                    shortened(entry.name()),
                    entry.revision(),
                    shortened(entry.value().getLeft()));
        }
    }

    private static String shortened(String text) {
        return text.length() <= MAX_TEXT_LENGTH ? text : text.substring(0, MAX_TEXT_LENGTH);
    }
}
