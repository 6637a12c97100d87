package org.cyclamenpaddle.relay.crash;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.message.StrikeNotice;
import org.cyclamenpaddle.core.table.Table;
import org.cyclamenpaddle.core.table.TableOrder;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.relay.log.RelayEvent;
import org.cyclamenpaddle.relay.log.RelayEventLog;
import org.cyclamenpaddle.relay.metric.RelayMetrics;
import org.cyclamenpaddle.routing.quarantine.Quarantine;
import org.cyclamenpaddle.routing.quarantine.QuarantineSettings;

/**
 * Counts the servers that have ended under each request, and refuses a request that ends every
 * server.
 *
 * <p>A request that is sent again can arrive at any host, so its owners among the hosts collect the
 * strikes of all of them ({@link StrikePeers}). A bystander that ran beside a culprit gets a strike
 * too; it loses them with its first run that reaches an end. Thread-safe.
 */
public final class RequestQuarantine {

    /** Three servers may end under a request, which is then refused for ten minutes. */
    private static final QuarantineSettings SETTINGS = new QuarantineSettings(3, 600_000, 4_096);

    /** Maximum number of quarantines that a host records in the store. */
    private static final int MAX_RECORDED = 32;

    private static final String OWN = "own count";
    private static final String NOTICE = "notice of a host";
    private static final String RECORD = "record in the store";

    private final int mMaxServers;
    private final Table<Quarantine> mQuarantine;
    private final StrikePeers mPeers;
    private final Runnable mOnQuarantine;
    private final RelayEventLog mLog;
    private final RelayMetrics mMetrics;
    private final Clock mClock;

    /** Whether any request has a strike; while none has, no fingerprint is needed. */
    private volatile boolean mTracking;

    /** Whether any request is quarantined; while none is, the parts of prompts are not needed. */
    private volatile boolean mRefusing;

    /**
     * Creates a quarantine without strikes.
     *
     * @param peers sends strikes to other hosts
     * @param onQuarantine run when a request is quarantined by a count of this host
     */
    public RequestQuarantine(
            StrikePeers peers,
            Runnable onQuarantine,
            RelayEventLog log,
            RelayMetrics metrics,
            Clock clock) {
        this(SETTINGS, peers, onQuarantine, log, metrics, clock);
    }

    RequestQuarantine(
            QuarantineSettings settings,
            StrikePeers peers,
            Runnable onQuarantine,
            RelayEventLog log,
            RelayMetrics metrics,
            Clock clock) {
        mMaxServers = settings.strikesToQuarantine();
        mQuarantine = new Table<>(TableOrder.SUSPECTS, new Quarantine(settings));
        mPeers = peers;
        mOnQuarantine = onQuarantine;
        mLog = log;
        mMetrics = metrics;
        mClock = clock;
    }

    /** Counts the end of a server against a request that lost its connection to it. */
    void serverEnded(LostConnection lost, BackendId incarnation, CrashEvidence evidence, int open) {
        long nowMillis = mClock.millis();
        long fingerprint = lost.fingerprint();
        Merge merge =
                merge(
                        fingerprint,
                        nowMillis,
                        quarantine ->
                                quarantine.onBackendCrashed(
                                        incarnation, List.of(fingerprint), nowMillis));
        mMetrics.recordCrashEvent(CrashEvent.ATTRIBUTED);
        mLog.log(
                RelayEvent.BACKEND_ENDED_UNDER_REQUEST,
                lost.request(),
                lost.route(),
                text(fingerprint),
                PartFingerprint.text(lost.parts()),
                lost.backend().id(),
                lost.backend().startedMillis(),
                evidence,
                open,
                merge.servers());
        if (merge.began()) {
            quarantined(merge, CrashEvent.QUARANTINED, OWN);
            mPeers.sendToAll(merge.notice().orElseThrow());
            mOnQuarantine.run();
        } else {
            merge.notice().ifPresent(notice -> mPeers.sendToOwners(subject(fingerprint), notice));
        }
    }

    /** Applies a notice of another host. */
    public void noticeReceived(StrikeNotice notice) {
        if (notice.crashedBackends().isEmpty()) {
            cleared(notice);
            return;
        }
        long now = mClock.millis();
        Merge merge = merge(notice.fingerprint(), now, quarantine -> quarantine.merge(notice, now));
        boolean complete = notice.crashedBackends().size() >= mMaxServers;
        if (merge.began()) {
            quarantined(merge, complete ? CrashEvent.LEARNED : CrashEvent.QUARANTINED, NOTICE);
        }
        // A host whose own count is incomplete has not received the quarantine.
        if (merge.quarantined() && !complete && mPeers.isOwner(subject(notice.fingerprint()))) {
            mPeers.sendToAll(merge.notice().orElseThrow());
            mOnQuarantine.run();
        }
    }

    /** Applies the quarantines that a host has recorded in the store. */
    public void recordRead(String text) {
        long now = mClock.millis();
        QuarantineRecord.parse(text)
                .forEach(
                        record -> {
                            Merge merge =
                                    merge(
                                            record.fingerprint(),
                                            now,
                                            quarantine -> quarantine.mergeRecorded(record, now));
                            if (merge.began()) {
                                quarantined(merge, CrashEvent.LEARNED, RECORD);
                            }
                        });
    }

    /** Returns the quarantines in force, for the record of this host in the store. */
    public String record() {
        if (!mTracking) {
            return "";
        }
        long now = mClock.millis();
        return QuarantineRecord.format(
                mQuarantine.read(quarantine -> quarantine.quarantined(now)).stream()
                        .sorted(Comparator.comparingLong(StrikeNotice::remainingMillis).reversed())
                        .limit(MAX_RECORDED)
                        .toList());
    }

    /** Returns whether any request has strikes. */
    public boolean isTracking() {
        return mTracking;
    }

    /**
     * Quarantines a part of prompts on this host.
     *
     * @param notice the part with the servers that ended under it
     * @param own whether this host has found it
     */
    void partFound(StrikeNotice notice, boolean own) {
        long now = mClock.millis();
        Merge merge = merge(notice.fingerprint(), now, quarantine -> quarantine.merge(notice, now));
        if (merge.began()) {
            quarantined(
                    merge, own ? CrashEvent.QUARANTINED : CrashEvent.LEARNED, own ? OWN : NOTICE);
            if (own) {
                mOnQuarantine.run();
            }
        }
    }

    /** Returns whether any request, or any part of prompts, is refused. */
    public boolean isRefusing() {
        return mRefusing;
    }

    /** Returns how long a request is refused, in milliseconds; empty if it is not. */
    public OptionalLong refusedMillis(long fingerprint) {
        long now = mClock.millis();
        return mQuarantine
                .read(quarantine -> quarantine.quarantinedMillis(fingerprint, now))
                .map(OptionalLong::of)
                .orElse(OptionalLong.empty());
    }

    /** Counts and logs a refused request. */
    public void recordRefusal(String request, String route, long fingerprint, long millis) {
        mMetrics.recordCrashEvent(CrashEvent.REFUSED);
        mLog.log(RelayEvent.QUARANTINED_REQUEST, request, route, text(fingerprint), millis);
    }

    /** Records that a request has run to its end, which a culprit never does. */
    public void ranToItsEnd(long fingerprint) {
        long now = mClock.millis();
        StrikeNotice notice = new StrikeNotice(fingerprint, Set.of(), 0);
        boolean quarantined = refusedMillis(fingerprint).isPresent();
        if (mQuarantine.read(quarantine -> quarantine.forget(fingerprint, now))) {
            logCleared(fingerprint, quarantined);
            if (quarantined) {
                mPeers.sendToAll(notice);
            } else {
                mPeers.sendToOwners(subject(fingerprint), notice);
            }
        }
    }

    private void cleared(StrikeNotice notice) {
        long now = mClock.millis();
        long fingerprint = notice.fingerprint();
        boolean quarantined = refusedMillis(fingerprint).isPresent();
        mQuarantine.read(quarantine -> quarantine.forget(fingerprint, now));
        logCleared(fingerprint, quarantined);
        if (quarantined && mPeers.isOwner(subject(fingerprint))) {
            mPeers.sendToAll(notice);
        }
    }

    private void logCleared(long fingerprint, boolean quarantined) {
        if (quarantined) {
            mMetrics.recordCrashEvent(CrashEvent.CLEARED);
            mLog.log(RelayEvent.QUARANTINE_ENDED, text(fingerprint), "ran to its end");
        }
    }

    /** Removes what has expired; called at intervals. */
    public void expire() {
        if (!mTracking) {
            return;
        }
        long now = mClock.millis();
        List<Long> expired =
                mQuarantine.read(
                        quarantine -> {
                            List<Long> ended = quarantine.expire(now);
                            update(quarantine, now);
                            return ended;
                        });
        expired.forEach(
                fingerprint -> {
                    mMetrics.recordCrashEvent(CrashEvent.EXPIRED);
                    mLog.log(RelayEvent.QUARANTINE_ENDED, text(fingerprint), "expired");
                });
    }

    /**
     * Result of a change to the strikes of a request.
     *
     * @param notice strikes after it
     * @param before whether the request was quarantined before it
     * @param quarantined whether the request is quarantined after it
     */
    private record Merge(Optional<StrikeNotice> notice, boolean before, boolean quarantined) {

        boolean began() {
            return quarantined && !before;
        }

        int servers() {
            return notice.map(strikes -> strikes.crashedBackends().size()).orElse(0);
        }
    }

    private Merge merge(long fingerprint, long nowMillis, Consumer<Quarantine> change) {
        return mQuarantine.read(
                quarantine -> {
                    boolean before =
                            quarantine.quarantinedMillis(fingerprint, nowMillis).isPresent();
                    change.accept(quarantine);
                    update(quarantine, nowMillis);
                    return new Merge(
                            quarantine.noticeOf(fingerprint, nowMillis),
                            before,
                            quarantine.quarantinedMillis(fingerprint, nowMillis).isPresent());
                });
    }

    private void update(Quarantine quarantine, long nowMillis) {
        mTracking = !quarantine.isEmpty();
        mRefusing = mTracking && !quarantine.quarantined(nowMillis).isEmpty();
    }

    private void quarantined(Merge merge, CrashEvent event, String source) {
        StrikeNotice notice = merge.notice().orElseThrow();
        mMetrics.recordCrashEvent(event);
        mLog.log(
                RelayEvent.REQUEST_QUARANTINED,
                text(notice.fingerprint()),
                merge.servers(),
                source,
                notice.remainingMillis());
    }

    private static String subject(long fingerprint) {
        return "request-" + fingerprint;
    }

    /** Returns a fingerprint as written in logs. */
    static String text(long fingerprint) {
        return Long.toHexString(fingerprint);
    }
}
