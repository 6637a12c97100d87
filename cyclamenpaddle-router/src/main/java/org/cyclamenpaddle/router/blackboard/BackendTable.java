package org.cyclamenpaddle.router.blackboard;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.message.LedgerSummary;

/**
 * State of each backend server as known to this host: the last summary of its ledger, the attempts
 * of this host, and reachability.
 */
public final class BackendTable {

    /** How long an unreachable backend server is ranked last. */
    static final long SUSPECT_MILLIS = 2_000;

    private final Map<BackendId, Entry> mEntries = new HashMap<>();

    /** State of one backend server. */
    private static final class Entry {
        private LedgerSummary mHint;
        private long mHintAt;
        private int mInFlight;
        private long mSuspectUntil;
    }

    /** Records the owner's summary of a ledger. */
    public void hint(LedgerSummary summary, long now) {
        Entry entry = entry(summary.backend());
        entry.mHint = summary;
        entry.mHintAt = now;
    }

    /** Returns the last summary, if one was received. */
    public Optional<LedgerSummary> hint(BackendId backend) {
        return Optional.ofNullable(entry(backend).mHint);
    }

    /** Returns the age of the last summary in milliseconds; 0 if none was received. */
    public long hintAgeMillis(BackendId backend, long now) {
        Entry entry = entry(backend);
        return entry.mHint == null ? 0 : Math.max(0, now - entry.mHintAt);
    }

    /** Counts an attempt of this host that starts ({@code 1}) or ends ({@code -1}). */
    public void inFlight(BackendId backend, int change) {
        Entry entry = entry(backend);
        entry.mInFlight = Math.max(0, entry.mInFlight + change);
    }

    /** Returns the number of in-flight attempts of this host on a backend server. */
    public int inFlight(BackendId backend) {
        return entry(backend).mInFlight;
    }

    /** Records that a new connection to a backend server failed. */
    public void suspect(BackendId backend, long now) {
        entry(backend).mSuspectUntil = now + SUSPECT_MILLIS;
    }

    /** Records that a backend server responded. */
    public void recordResponse(BackendId backend) {
        entry(backend).mSuspectUntil = 0;
    }

    /** Returns whether a backend server was unreachable recently. */
    public boolean suspected(BackendId backend, long now) {
        return now < entry(backend).mSuspectUntil;
    }

    /** Removes backend servers that are no longer declared. */
    public void retain(Map<BackendId, BackendSpec> declared) {
        mEntries.keySet().retainAll(declared.keySet());
    }

    private Entry entry(BackendId backend) {
        return mEntries.computeIfAbsent(backend, id -> new Entry());
    }
}
