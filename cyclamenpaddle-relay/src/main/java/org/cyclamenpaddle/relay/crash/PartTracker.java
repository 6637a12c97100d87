package org.cyclamenpaddle.relay.crash;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.DoubleSupplier;
import java.util.stream.Collectors;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.message.CrashMessage;
import org.cyclamenpaddle.core.message.LostRun;
import org.cyclamenpaddle.core.message.PartQuarantineNotice;
import org.cyclamenpaddle.core.message.PartRunNotice;
import org.cyclamenpaddle.core.message.PartStrikeNotice;
import org.cyclamenpaddle.core.message.PartTrackingNotice;
import org.cyclamenpaddle.core.message.StrikeNotice;
import org.cyclamenpaddle.core.table.Table;
import org.cyclamenpaddle.core.table.TableOrder;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.relay.log.RelayEvent;
import org.cyclamenpaddle.relay.log.RelayEventLog;
import org.cyclamenpaddle.relay.metric.RelayMetrics;
import org.cyclamenpaddle.routing.quarantine.PartAttribution;
import org.cyclamenpaddle.routing.quarantine.PartAttributionSettings;

/**
 * Finds parts of prompts under which backend servers end, together with the other hosts.
 *
 * <p>The owners of a service collect the runs that all hosts lose with its servers. The first end
 * makes them ask all hosts for their good runs, too. An owner that finds a culprit sends its
 * quarantine to all hosts; one on which the part has run well since the first end objects.
 * Thread-safe.
 */
public final class PartTracker {

    /** Runs a task later. */
    @FunctionalInterface
    public interface Delay {
        void schedule(Runnable task, long delayMillis);
    }

    private static final PartAttributionSettings SETTINGS = PartAttributionSettings.DEFAULTS;

    /** Time between two reports, in milliseconds. */
    private static final long REPORT_MILLIS = 100;

    /** Number of hosts that report at a time; of more hosts each is chosen by chance. */
    private static final int REPORTING_HOSTS = 32;

    /** Time for which an owner collects messages before it decides, in milliseconds. */
    private static final long DECISION_MILLIS = 25;

    /** Mean time between two requests with one suspected part, on all hosts, in milliseconds. */
    private static final long TRIAL_MILLIS = 500;

    /** Longest time between two of them on one host, in milliseconds. */
    private static final long MAX_TRIAL_MILLIS = 2_000;

    private final StrikePeers mPeers;
    private final RequestQuarantine mQuarantine;
    private final RelayEventLog mLog;
    private final RelayMetrics mMetrics;
    private final Clock mClock;
    private final Delay mDelay;
    private final DoubleSupplier mRandom;
    private final Map<ServiceName, Table<PartRuns>> mRuns = new ConcurrentHashMap<>();
    private final Map<ServiceName, Table<PartAttribution>> mAttributions =
            new ConcurrentHashMap<>();

    /** Services to decide about, and whether one of their servers has ended. */
    private final Map<ServiceName, Boolean> mPending = new ConcurrentHashMap<>();

    /**
     * Creates a tracker without strikes.
     *
     * @param peers sends messages to other hosts
     * @param quarantine refuses requests with the parts that are found
     * @param delay schedules reports
     * @param random source of uniform numbers from 0 to 1
     */
    public PartTracker(
            StrikePeers peers,
            RequestQuarantine quarantine,
            RelayEventLog log,
            RelayMetrics metrics,
            Clock clock,
            Delay delay,
            DoubleSupplier random) {
        mPeers = peers;
        mQuarantine = quarantine;
        mLog = log;
        mMetrics = metrics;
        mClock = clock;
        mDelay = delay;
        mRandom = random;
    }

    /** Records the runs that this host has lost with a server. */
    void serverEnded(BackendId incarnation, List<LostConnection> lost) {
        Map<ServiceName, List<LostRun>> byService =
                lost.stream()
                        .filter(one -> !one.parts().isEmpty())
                        .collect(
                                Collectors.groupingBy(
                                        one -> one.backend().service(),
                                        Collectors.mapping(
                                                one -> new LostRun(one.fingerprint(), one.parts()),
                                                Collectors.toList())));
        byService.forEach(
                (service, runs) -> {
                    PartStrikeNotice notice = new PartStrikeNotice(service, incarnation, runs);
                    long now = mClock.millis();
                    track(service, SETTINGS.retentionMillis())
                            .read(some -> some.strike(notice, now))
                            .forEach(one -> toOwners(service, one, () -> strikesReceived(one)));
                });
    }

    /** Returns whether the good runs of a service count. */
    public boolean isTracking(ServiceName service) {
        return mRuns.containsKey(service);
    }

    /** Records that a server has responded to a request with success and completely. */
    public void runCompleted(ServiceName service, List<Long> parts) {
        Table<PartRuns> runs = mRuns.get(service);
        if (runs != null && !parts.isEmpty()) {
            long now = mClock.millis();
            boolean urgent =
                    runs.read(
                            some -> {
                                some.add(parts, now);
                                return some.isSuspect(parts);
                            });
            if (urgent) {
                report(service, runs);
            }
        }
    }

    /**
     * Returns whether a request may be sent now. One with a suspected part waits for its turn, so
     * that few servers end until the part is cleared or found to be a culprit.
     */
    public boolean mayRun(ServiceName service, List<Long> parts) {
        Table<PartRuns> runs = mRuns.get(service);
        long now = mClock.millis();
        return runs == null || runs.read(some -> some.mayRun(parts, now, this::holdMillis));
    }

    /** Returns a random time, so that hosts take turns. */
    private long holdMillis() {
        double mean = TRIAL_MILLIS * mPeers.hostCount();
        return (long) Math.min(MAX_TRIAL_MILLIS, 2 * mRandom.getAsDouble() * mean);
    }

    /** Applies a message of another host. */
    public void received(CrashMessage message) {
        if (message instanceof PartStrikeNotice notice) {
            strikesReceived(notice);
        } else if (message instanceof PartRunNotice notice) {
            runsReceived(notice);
        } else if (message instanceof PartTrackingNotice notice) {
            trackingReceived(notice);
        } else if (message instanceof PartQuarantineNotice notice) {
            quarantineReceived(notice);
        } else if (message instanceof StrikeNotice notice) {
            if (notice.crashedBackends().isEmpty()) {
                cleared(notice.fingerprint());
            }
            mQuarantine.noticeReceived(notice);
        }
    }

    private void trackingReceived(PartTrackingNotice notice) {
        long now = mClock.millis();
        track(notice.service(), notice.remainingMillis())
                .write(runs -> runs.suspect(notice.suspects(), now));
    }

    private void toOwners(ServiceName service, CrashMessage message, Runnable own) {
        String subject = "parts-" + service.value();
        mPeers.sendToOwners(subject, message);
        if (mPeers.isOwner(subject)) {
            own.run();
        }
    }

    private Table<PartRuns> track(ServiceName service, long remainingMillis) {
        long until = mClock.millis() + Math.min(remainingMillis, SETTINGS.retentionMillis());
        boolean begins = !isTracking(service);
        Table<PartRuns> tracked =
                mRuns.compute(
                        service,
                        (name, known) -> {
                            Table<PartRuns> runs =
                                    known == null
                                            ? new Table<>(TableOrder.SUSPECTS, new PartRuns())
                                            : known;
                            runs.write(some -> some.extend(until));
                            return runs;
                        });
        if (begins) {
            scheduleReport(service);
        }
        return tracked;
    }

    private void scheduleReport(ServiceName service) {
        mDelay.schedule(() -> report(service), REPORT_MILLIS);
    }

    private void report(ServiceName service) {
        long now = mClock.millis();
        Optional<Table<PartRuns>> tracked =
                Optional.ofNullable(
                        mRuns.computeIfPresent(
                                service,
                                (name, runs) -> runs.read(some -> some.isOver(now)) ? null : runs));
        boolean chosen = mRandom.getAsDouble() * mPeers.hostCount() < REPORTING_HOSTS;
        tracked.filter(runs -> chosen).ifPresent(runs -> report(service, runs));
        tracked.ifPresent(runs -> scheduleReport(service));
    }

    private void report(ServiceName service, Table<PartRuns> runs) {
        PartRunNotice report = runs.read(some -> some.report(service));
        if (report.runs() > 0) {
            toOwners(service, report, () -> runsReceived(report));
        }
    }

    private void strikesReceived(PartStrikeNotice notice) {
        long now = mClock.millis();
        ServiceName service = notice.service();
        mAttributions
                .computeIfAbsent(
                        service,
                        any -> new Table<>(TableOrder.SUSPECTS, new PartAttribution(SETTINGS)))
                .write(attribution -> attribution.serverEnded(notice.server(), notice.lost(), now));
        decideSoon(service, true);
    }

    private void runsReceived(PartRunNotice notice) {
        long now = mClock.millis();
        Table<PartAttribution> attribution = mAttributions.get(notice.service());
        if (attribution != null) {
            attribution.write(some -> some.runsCompleted(notice.runs(), notice.parts(), now));
            decideSoon(notice.service(), false);
        }
    }

    /** Decides once about all that arrives in a short time, such as the end of many servers. */
    private void decideSoon(ServiceName service, boolean struck) {
        boolean scheduled = mPending.containsKey(service);
        mPending.merge(service, struck, Boolean::logicalOr);
        if (!scheduled) {
            mDelay.schedule(
                    () ->
                            Optional.ofNullable(mPending.remove(service))
                                    .ifPresent(ended -> decide(service, ended)),
                    DECISION_MILLIS);
        }
    }

    private void decide(ServiceName service, boolean struck) {
        long now = mClock.millis();
        Table<PartAttribution> attribution = mAttributions.get(service);
        Set<Long> before = attribution.read(some -> some.suspects(now));
        attribution
                .read(some -> some.culprits(now))
                .forEach(culprit -> found(service, culprit, now));
        attribution.read(PartAttribution::absolved).forEach(this::release);
        Set<Long> suspects = attribution.read(some -> some.suspects(now));
        if (struck || !suspects.equals(before)) {
            PartTrackingNotice notice =
                    new PartTrackingNotice(service, SETTINGS.retentionMillis(), suspects);
            trackingReceived(notice);
            mPeers.sendToAll(notice);
        }
    }

    private void found(ServiceName service, PartAttribution.Culprit culprit, long nowMillis) {
        PartQuarantineNotice notice =
                new PartQuarantineNotice(
                        service,
                        culprit.part(),
                        culprit.servers(),
                        nowMillis - culprit.sinceMillis(),
                        culprit.untilMillis() - nowMillis);
        mMetrics.recordCrashEvent(CrashEvent.PART_FOUND);
        mLog.log(
                RelayEvent.PART_FOUND,
                service,
                RequestQuarantine.text(culprit.part()),
                culprit.servers().stream()
                        .map(BackendId::value)
                        .sorted()
                        .collect(Collectors.joining(",")),
                culprit.requests(),
                notice.agoMillis(),
                notice.remainingMillis(),
                String.format(Locale.ROOT, "%.1e", culprit.chance()));
        mQuarantine.partFound(strikes(notice), true);
        mPeers.sendToAll(notice);
    }

    private void quarantineReceived(PartQuarantineNotice notice) {
        Table<PartRuns> runs = mRuns.get(notice.service());
        long since = mClock.millis() - notice.agoMillis();
        boolean hasRun = runs != null && runs.read(some -> some.hasRun(notice.part(), since));
        if (hasRun) {
            mMetrics.recordCrashEvent(CrashEvent.PART_REJECTED);
            mLog.log(
                    RelayEvent.PART_QUARANTINE_REJECTED,
                    notice.service(),
                    RequestQuarantine.text(notice.part()));
            release(notice.part());
        } else {
            mQuarantine.partFound(strikes(notice), false);
        }
    }

    /** Ends the quarantine of a part on all hosts. */
    private void release(long part) {
        StrikeNotice cleared = new StrikeNotice(part, Set.of(), 0);
        mQuarantine.noticeReceived(cleared);
        mPeers.sendToAll(cleared);
    }

    private void cleared(long part) {
        long now = mClock.millis();
        mAttributions
                .values()
                .forEach(attribution -> attribution.write(some -> some.cleared(part, now)));
    }

    private static StrikeNotice strikes(PartQuarantineNotice notice) {
        return new StrikeNotice(notice.part(), notice.servers(), notice.remainingMillis());
    }
}
