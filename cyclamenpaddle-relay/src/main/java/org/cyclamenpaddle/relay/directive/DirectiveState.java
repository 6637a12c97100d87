package org.cyclamenpaddle.relay.directive;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;

/**
 * Directives in force of one incarnation of a backend server, as this host has received them.
 *
 * <p>Responses can overtake each other. A limit is lifted only by a response to a request that was
 * sent after the limit had arrived; an older response without a limit has no effect. Not
 * thread-safe.
 */
public final class DirectiveState {

    /**
     * Time for which directives are kept of a server that the store does not list, in milliseconds;
     * longer than any entry is missing while its server runs.
     */
    static final long RETENTION_MILLIS = 60_000;

    private Optional<CallLimit> mLimit = Optional.empty();
    private long mNamedMillis;
    private long mAppliedMillis;
    private boolean mLeaving;

    /** When an announcement arrived that may concern this or the previous incarnation. */
    private OptionalLong mUnconfirmedMillis = OptionalLong.empty();

    private long mPausedUntilMillis = Long.MIN_VALUE / 2;

    /**
     * Applies the directives of a response.
     *
     * @param directives directives in its head
     * @param sentMillis time at which its request was sent
     * @param nowMillis current time of the steady clock
     * @return what has changed
     */
    public List<DirectiveChange> apply(Directives directives, long sentMillis, long nowMillis) {
        mAppliedMillis = nowMillis;
        List<DirectiveChange> changes = new ArrayList<>();
        applyPause(directives.pauseMillis(), nowMillis).ifPresent(changes::add);
        applyLimit(directives, sentMillis, nowMillis).ifPresent(changes::add);
        if (directives.leaving() && !mLeaving) {
            mLeaving = true;
            mUnconfirmedMillis = OptionalLong.empty();
            changes.add(new DirectiveChange(DirectiveKind.LEAVING, "true"));
        }
        return changes;
    }

    /** A later response never shortens a pause; it may be older than the one that began it. */
    private Optional<DirectiveChange> applyPause(OptionalLong pauseMillis, long nowMillis) {
        if (pauseMillis.isEmpty() || nowMillis + pauseMillis.getAsLong() <= mPausedUntilMillis) {
            return Optional.empty();
        }
        mPausedUntilMillis = nowMillis + pauseMillis.getAsLong();
        String value = String.valueOf(pauseMillis.getAsLong());
        return Optional.of(new DirectiveChange(DirectiveKind.PAUSE, value));
    }

    private Optional<DirectiveChange> applyLimit(
            Directives directives, long sentMillis, long nowMillis) {
        OptionalDouble named = directives.requestsPerSecond();
        if (named.isPresent()) {
            mNamedMillis = nowMillis;
            return nameLimit(named.getAsDouble());
        }
        boolean lifted =
                mLimit.isPresent() && !directives.unreadable() && sentMillis >= mNamedMillis;
        if (!lifted) {
            return Optional.empty();
        }
        mLimit = Optional.empty();
        return Optional.of(new DirectiveChange(DirectiveKind.LIMIT, DirectiveChange.NONE));
    }

    /** Returns whether the server accepts any calls of this host, apart from its limit. */
    public boolean acceptsCalls(long nowMillis) {
        return nowMillis >= mPausedUntilMillis;
    }

    /**
     * Returns whether the server accepts new work of this host, apart from its limit. A server that
     * leaves still accepts calls that release what this host holds there.
     */
    public boolean acceptsWork(long nowMillis) {
        return acceptsCalls(nowMillis) && !leaving();
    }

    /**
     * Returns whether the server has announced its shutdown, which nothing takes back, or may have
     * done so.
     */
    public boolean leaving() {
        return mLeaving || mUnconfirmedMillis.isPresent();
    }

    /**
     * Records that a process with this server's id has announced its shutdown, and that nothing
     * tells whether it was this incarnation or the previous one. It counts as this one's until
     * {@link #confirmStaying}.
     *
     * @return whether that has changed anything
     */
    public boolean suspectLeaving(long nowMillis) {
        boolean changed = !leaving();
        if (!mLeaving) {
            mUnconfirmedMillis = OptionalLong.of(nowMillis);
            mAppliedMillis = nowMillis;
        }
        return changed;
    }

    /** Returns whether it is unknown which incarnation has announced its shutdown. */
    public boolean leavingUnconfirmed() {
        return mUnconfirmedMillis.isPresent();
    }

    /**
     * Records that this incarnation has responded without the announcement. It has no effect if an
     * announcement has arrived since the request was sent.
     *
     * @param sentMillis time at which the request was sent
     * @return whether the server no longer counts as leaving for that reason
     */
    public boolean confirmStaying(long sentMillis) {
        boolean confirmed = leavingUnconfirmed() && sentMillis >= mUnconfirmedMillis.getAsLong();
        if (confirmed) {
            mUnconfirmedMillis = OptionalLong.empty();
        }
        return confirmed;
    }

    /** Returns whether the server asks for fewer calls, so that calls which can be left out are. */
    public boolean restricted(long nowMillis) {
        return mLimit.isPresent() || !acceptsWork(nowMillis);
    }

    /** Returns the limit in force, in calls per second of all hosts. */
    public OptionalDouble callsPerSecond() {
        return mLimit.isPresent()
                ? OptionalDouble.of(mLimit.get().perSecond())
                : OptionalDouble.empty();
    }

    /** Returns whether directives are in force that must outlast a missing entry of the server. */
    public boolean retained(long nowMillis) {
        return !acceptsCalls(nowMillis)
                || (mLimit.isPresent() || leaving())
                        && nowMillis - mAppliedMillis < RETENTION_MILLIS;
    }

    /** Returns whether this host may make the given number of calls for new work now. */
    public boolean permits(int calls, long nowMillis) {
        return acceptsWork(nowMillis)
                && mLimit.map(limit -> limit.permits(calls, nowMillis)).orElse(true);
    }

    /**
     * Uses permits for the given number of calls, and returns whether the calls may be made; new
     * work has to be accepted besides.
     */
    public boolean tryUse(int calls, long nowMillis) {
        return acceptsCalls(nowMillis)
                && mLimit.map(limit -> limit.tryUse(calls, nowMillis)).orElse(true);
    }

    /** Returns whether permits should be requested now; if so, marks the request as sent. */
    public boolean beginPermitRequest(long nowMillis) {
        return mLimit.map(limit -> limit.beginRequest(nowMillis)).orElse(false);
    }

    /** Records the response to a request for permits; 0 calls if it was denied. */
    public void recordPermits(int calls, long retryMillis, long nowMillis) {
        mLimit.ifPresent(
                limit -> {
                    if (calls > 0) {
                        limit.recordGranted(calls, nowMillis);
                    } else {
                        limit.recordDenied(retryMillis, nowMillis);
                    }
                });
    }

    /** Returns the time until further calls may be permitted, in milliseconds. */
    public long waitMillis(long nowMillis) {
        long limitMillis = mLimit.map(limit -> limit.waitMillis(nowMillis)).orElse(0L);
        return Math.max(limitMillis, mPausedUntilMillis - nowMillis);
    }

    private Optional<DirectiveChange> nameLimit(double perSecond) {
        if (mLimit.isEmpty()) {
            mLimit = Optional.of(new CallLimit(perSecond));
        } else if (mLimit.get().perSecond() == perSecond) {
            return Optional.empty();
        }
        mLimit.get().updatePerSecond(perSecond);
        return Optional.of(new DirectiveChange(DirectiveKind.LIMIT, String.valueOf(perSecond)));
    }
}
