package org.cyclamenpaddle.router.booking;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.core.message.ClaimRequest;
import org.cyclamenpaddle.core.message.ClaimResponse;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.HostState;
import org.cyclamenpaddle.router.grant.PeerLink;
import org.cyclamenpaddle.router.peering.MembershipDriver;

/** Asks about keys over the peer network. */
public final class PeerClaimHolders implements ClaimHolders {

    private static final long ASK_MILLIS = 500;

    /**
     * Above so many hosts no one asks them all: each refused booking of an outage would cost a
     * message to every host, and "unknown" is a true answer too.
     */
    private static final int MOST_HOSTS_ASKED = 64;

    private final MembershipDriver mMembership;
    private final PeerLink mPeers;
    private final long mRetentionMillis;

    /**
     * Creates the link.
     *
     * @param membership the view of the hosts
     * @param peers messages
     * @param retentionMillis how long claims are kept
     */
    public PeerClaimHolders(MembershipDriver membership, PeerLink peers, long retentionMillis) {
        mMembership = membership;
        mPeers = peers;
        mRetentionMillis = retentionMillis;
    }

    @Override
    public CompletableFuture<Optional<ClaimResponse>> query(Incarnation holder, ClaimRequest ask) {
        Optional<HostRecord> host =
                mMembership
                        .record(holder.host())
                        .filter(record -> record.incarnation().equals(holder))
                        .filter(record -> record.state() != HostState.DEAD);
        return host.map(record -> ask(record, ask))
                .orElseGet(() -> CompletableFuture.completedFuture(Optional.empty()));
    }

    @Override
    public CompletableFuture<PeerStates> queryAll(ClaimRequest ask) {
        Incarnation self = mMembership.self().incarnation();
        List<HostRecord> others =
                mMembership.hosts().stream()
                        .filter(host -> !host.incarnation().equals(self))
                        .collect(Collectors.toList());
        boolean hopeless =
                others.size() > MOST_HOSTS_ASKED
                        || hostLostWithin(mRetentionMillis)
                        || others.stream().anyMatch(host -> host.state() == HostState.DEAD);
        if (hopeless) {
            return CompletableFuture.completedFuture(new PeerStates(List.of(), false));
        }
        List<CompletableFuture<Optional<ClaimResponse>>> asked =
                others.stream().map(host -> ask(host, ask)).collect(Collectors.toList());
        return CompletableFuture.allOf(asked.toArray(CompletableFuture[]::new))
                .thenApply(done -> answers(asked));
    }

    @Override
    public boolean hostLostWithin(long spanMillis) {
        return mMembership.hostLostWithin(spanMillis);
    }

    private PeerStates answers(List<CompletableFuture<Optional<ClaimResponse>>> asked) {
        List<ClaimResponse.State> states =
                asked.stream()
                        .flatMap(answer -> answer.join().stream())
                        .map(ClaimResponse::state)
                        .collect(Collectors.toList());
        // Read after the answers: a host lost meanwhile may be the one that knew.
        boolean complete = states.size() == asked.size() && !hostLostWithin(mRetentionMillis);
        return new PeerStates(states, complete);
    }

    private CompletableFuture<Optional<ClaimResponse>> ask(HostRecord host, ClaimRequest ask) {
        return mPeers.request(host, ask, ASK_MILLIS)
                .thenApply(
                        answer ->
                                answer.toJavaOptional()
                                        .filter(ClaimResponse.class::isInstance)
                                        .map(ClaimResponse.class::cast));
    }
}
