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

/** Queries claim holders over the peer network. */
public final class PeerClaimHolders implements ClaimHolders {

    private static final long QUERY_TIMEOUT_MILLIS = 500;

    /**
     * Maximum number of hosts that are all queried. In a larger fleet, each booking refused during
     * an outage would cost a message to every host, and "unknown" is a correct outcome too.
     */
    private static final int MAX_QUERIED_HOSTS = 64;

    private final MembershipDriver mMembership;
    private final PeerLink mPeers;
    private final long mRetentionMillis;

    /**
     * Creates an instance.
     *
     * @param membership the view of the hosts
     * @param peers sends messages to other hosts
     * @param retentionMillis how long claims are retained
     */
    public PeerClaimHolders(MembershipDriver membership, PeerLink peers, long retentionMillis) {
        mMembership = membership;
        mPeers = peers;
        mRetentionMillis = retentionMillis;
    }

    @Override
    public CompletableFuture<Optional<ClaimResponse>> query(
            Incarnation holder, ClaimRequest query) {
        Optional<HostRecord> host =
                mMembership
                        .record(holder.host())
                        .filter(record -> record.incarnation().equals(holder))
                        .filter(record -> record.state() != HostState.DEAD);
        return host.map(record -> query(record, query))
                .orElseGet(() -> CompletableFuture.completedFuture(Optional.empty()));
    }

    @Override
    public CompletableFuture<PeerStates> queryAll(ClaimRequest query) {
        Incarnation self = mMembership.self().incarnation();
        List<HostRecord> others =
                mMembership.hosts().stream()
                        .filter(host -> !host.incarnation().equals(self))
                        .collect(Collectors.toList());
        boolean incomplete =
                others.size() > MAX_QUERIED_HOSTS
                        || hostLostWithin(mRetentionMillis)
                        || others.stream().anyMatch(host -> host.state() == HostState.DEAD);
        if (incomplete) {
            return CompletableFuture.completedFuture(new PeerStates(List.of(), false));
        }
        List<CompletableFuture<Optional<ClaimResponse>>> queries =
                others.stream().map(host -> query(host, query)).collect(Collectors.toList());
        return CompletableFuture.allOf(queries.toArray(CompletableFuture[]::new))
                .thenApply(done -> collectStates(queries));
    }

    @Override
    public boolean hostLostWithin(long spanMillis) {
        return mMembership.hostLostWithin(spanMillis);
    }

    private PeerStates collectStates(List<CompletableFuture<Optional<ClaimResponse>>> queries) {
        List<ClaimResponse.State> states =
                queries.stream()
                        .flatMap(response -> response.join().stream())
                        .map(ClaimResponse::state)
                        .collect(Collectors.toList());
        // Checked after the responses: a host lost before them may have held the claim.
        boolean complete = states.size() == queries.size() && !hostLostWithin(mRetentionMillis);
        return new PeerStates(states, complete);
    }

    private CompletableFuture<Optional<ClaimResponse>> query(HostRecord host, ClaimRequest query) {
        return mPeers.request(host, query, QUERY_TIMEOUT_MILLIS)
                .thenApply(
                        response ->
                                response.toJavaOptional()
                                        .filter(ClaimResponse.class::isInstance)
                                        .map(ClaimResponse.class::cast));
    }
}
