package org.cyclamenpaddle.router.booking;

import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import org.cyclamenpaddle.core.config.BackendRole;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.router.blackboard.Blackboard;

/** Chooses an instance of a plain service: reachable, near, least loaded by this host. */
public final class PlainBackendSelector {

    private final Blackboard mBlackboard;
    private final FailureDomain mDomain;
    private final Clock mClock;

    /**
     * Creates the choice.
     *
     * @param blackboard tables of this host
     * @param domain this host's failure domain
     * @param clock time in milliseconds
     */
    public PlainBackendSelector(Blackboard blackboard, FailureDomain domain, Clock clock) {
        mBlackboard = blackboard;
        mDomain = domain;
        mClock = clock;
    }

    /** Returns an instance that was not tried yet; empty if there is none. */
    public Optional<BackendSpec> select(ServiceName service, Set<BackendId> tried) {
        long now = mClock.millis();
        Comparator<BackendSpec> order =
                Comparator.<BackendSpec, Boolean>comparing(spec -> suspected(spec, now))
                        .thenComparing(spec -> !spec.failureDomain().equals(mDomain))
                        .thenComparingInt(this::inFlight)
                        .thenComparing(BackendSpec::id);
        return mBlackboard.view().serving(service, BackendRole.PLAIN).stream()
                .filter(spec -> !tried.contains(spec.id()))
                .min(order);
    }

    /** Counts a call that starts ({@code 1}) or ends ({@code -1}). */
    public void inFlight(BackendId backend, int change) {
        mBlackboard.backends().write(table -> table.inFlight(backend, change));
    }

    /** Notes that no connection to an instance could be had. */
    public void onUnreachable(BackendId backend) {
        mBlackboard.backends().write(table -> table.suspect(backend, mClock.millis()));
    }

    private boolean suspected(BackendSpec spec, long now) {
        return mBlackboard.backends().read(table -> table.suspected(spec.id(), now));
    }

    private int inFlight(BackendSpec spec) {
        return mBlackboard.backends().read(table -> table.inFlight(spec.id()));
    }
}
