package org.cyclamenpaddle.relay.quota;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.cyclamenpaddle.core.message.PermitRequest;
import org.cyclamenpaddle.core.message.PermitResponse;
import org.cyclamenpaddle.core.table.Table;
import org.cyclamenpaddle.core.table.TableOrder;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.routing.limit.CallPermits;

/** Permits the calls of all hosts to the servers whose limits this host owns. Thread-safe. */
final class PermitLender {

    /**
     * Time after a change of the hosts in which this host may not be the only owner of a limit, in
     * milliseconds: hosts list each other at longer intervals than they join.
     */
    static final long SETTLING_MILLIS = 25_000;

    /** Number of limits that are kept; the ones that were not asked for longest are dropped. */
    private static final int MAX_LIMITS = 1_024;

    private record Key(String backend, long startedMillis) {}

    /** Limits by the time of the last request. */
    private static final class Limits extends LinkedHashMap<Key, CallPermits> {

        private static final long serialVersionUID = 1;

        private Limits() {
            super(16, 0.75f, true);
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<Key, CallPermits> eldest) {
            return size() > MAX_LIMITS;
        }
    }

    private final Supplier<QuotaMembers> mMembers;
    private final Clock mClock;
    private final long mStartMillis;
    private final Table<Limits> mLimits = new Table<>(TableOrder.PERMITS, new Limits());

    PermitLender(Supplier<QuotaMembers> members, Clock clock) {
        mMembers = members;
        mClock = clock;
        mStartMillis = clock.millis();
    }

    /** Returns the response to a host's request. */
    PermitResponse lend(PermitRequest request) {
        QuotaMembers members = mMembers.get();
        long now = mClock.millis();
        String subject = subject(request);
        boolean soleOwner =
                members.isOwner(subject) && now - members.changedMillis() >= SETTLING_MILLIS;
        CallPermits.Result result =
                mLimits.read(
                        limits ->
                                limits.computeIfAbsent(
                                                new Key(subject, request.startedMillis()),
                                                key -> CallPermits.ofHostStartedAt(mStartMillis))
                                        .take(
                                                request.calls(),
                                                request.limitMillihertz() / 1_000.0,
                                                soleOwner,
                                                now));
        return new PermitResponse(result.granted(), result.retryMillis());
    }

    /** Returns what the owner of a limit is chosen by. */
    static String subject(PermitRequest request) {
        return request.backend().value();
    }
}
