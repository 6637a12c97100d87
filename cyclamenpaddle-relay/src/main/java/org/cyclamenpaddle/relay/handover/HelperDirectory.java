package org.cyclamenpaddle.relay.handover;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.table.Table;
import org.cyclamenpaddle.core.table.TableOrder;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.routing.handover.HandoverRefusal;
import org.cyclamenpaddle.routing.handover.HelperAdmission;
import org.cyclamenpaddle.routing.handover.HelperCandidate;
import org.cyclamenpaddle.routing.handover.HelperChoice;

/**
 * The other hosts, as the store lists them: which of them a request is handed to, and what this
 * host takes from them. Thread-safe.
 */
public final class HelperDirectory {

    private final HostId mSelf;
    private final FailureDomain mOwnDomain;
    private final Clock mClock;
    private final Table<HelperChoice> mChoice;
    private final Table<HelperAdmission> mAdmission;
    private volatile Map<HostId, Helper> mHelpers = Map.of();

    /**
     * Creates a directory without other hosts.
     *
     * @param self this host
     * @param ownDomain its failure domain
     * @param random uniformly distributed values from 0 to 1
     */
    public HelperDirectory(
            HostId self, FailureDomain ownDomain, Clock clock, DoubleSupplier random) {
        mSelf = self;
        mOwnDomain = ownDomain;
        mClock = clock;
        mChoice = new Table<>(TableOrder.HELPERS, new HelperChoice(random));
        mAdmission = new Table<>(TableOrder.HELPERS, new HelperAdmission(clock.millis()));
    }

    /** Replaces the other hosts by those that are listed. */
    public void update(Collection<Helper> listed) {
        mHelpers =
                listed.stream()
                        .filter(helper -> !helper.host().equals(mSelf))
                        .collect(
                                Collectors.toUnmodifiableMap(
                                        Helper::host, Function.identity(), (one, other) -> one));
    }

    /** Returns the name of this host. */
    public HostId self() {
        return mSelf;
    }

    /** Returns whether any other host takes over requests. */
    public boolean hasHelpers() {
        return !mHelpers.isEmpty();
    }

    /** Returns whether the store lists a host at an address. */
    public boolean isListed(HostId host, String address) {
        Helper helper = mHelpers.get(host);
        return helper != null && helper.endpoint().address().equals(address);
    }

    /**
     * Returns the host that a request is to be handed to; empty if it should be refused.
     *
     * @param tried hosts that were asked to take it before
     */
    public Optional<Helper> choose(ServiceName service, Set<HostId> tried) {
        Map<HostId, Helper> helpers = mHelpers;
        List<HelperCandidate> candidates =
                helpers.values().stream()
                        .map(
                                helper ->
                                        new HelperCandidate(
                                                helper.host(), helper.domain().equals(mOwnDomain)))
                        .toList();
        return mChoice.read(choice -> choice.choose(service, candidates, tried, mClock.millis()))
                .map(helpers::get);
    }

    /** Records that a host has taken a request. */
    public void taken(Helper helper, ServiceName service) {
        mChoice.write(choice -> choice.reaches(helper.host(), service, mClock.millis()));
    }

    /**
     * Records that a host has not taken a request.
     *
     * @param reaches host that it has named instead; empty for none
     */
    public void refused(
            Helper helper, ServiceName service, HandoverRefusal refusal, Optional<HostId> reaches) {
        long now = mClock.millis();
        mChoice.write(
                choice -> {
                    choice.refused(helper.host(), service, refusal, now);
                    reaches.filter(mHelpers::containsKey)
                            .ifPresent(host -> choice.reaches(host, service, now));
                });
    }

    /** Returns a host that has taken a request for a service lately. */
    public Optional<HostId> preferred(ServiceName service) {
        return mChoice.read(choice -> choice.preferred(service, mClock.millis()));
    }

    /** Records a request of a caller of this host. */
    public void recordOwn() {
        mAdmission.write(HelperAdmission::recordOwn);
    }

    /** Returns whether a request of another host is taken; {@link #ended} follows if so. */
    public boolean tryTake() {
        return mAdmission.read(admission -> admission.tryTake(mClock.millis()));
    }

    /** Records that a request that was taken has ended. */
    public void ended() {
        mAdmission.write(HelperAdmission::ended);
    }
}
