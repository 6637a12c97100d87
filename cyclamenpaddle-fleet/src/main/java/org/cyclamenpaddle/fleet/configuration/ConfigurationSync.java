package org.cyclamenpaddle.fleet.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.cyclamenpaddle.core.config.ConfigurationObject;
import org.cyclamenpaddle.core.message.ConfigurationRequest;
import org.cyclamenpaddle.core.message.ConfigurationResponse;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.fleet.configuration.ConfigurationEffect.Applied;
import org.cyclamenpaddle.fleet.configuration.ConfigurationEffect.ListPlatform;
import org.cyclamenpaddle.fleet.configuration.ConfigurationEffect.QueryPeer;
import org.cyclamenpaddle.fleet.configuration.ConfigurationEffect.Respond;
import org.cyclamenpaddle.fleet.configuration.ConfigurationEffect.StartWatch;
import org.cyclamenpaddle.fleet.configuration.ConfigurationEffect.StopWatch;
import org.cyclamenpaddle.fleet.ownership.Ownership;

/**
 * Synchronizes a {@link ConfigurationReplica} with the platform and with peers.
 *
 * <p>Two hosts of each failure domain watch the platform; the others pull from any peer whose
 * heartbeat carries a different digest. A host that starts while the platform is unavailable
 * obtains its replica the same way, as does a host whose domain is partitioned from the platform
 * but not from its peers.
 *
 * <p>Each host sends heartbeats to its watchers and to one random partner, so that most hosts learn
 * of a change within a few rounds, and the rest soon after. If both watchers of a domain have just
 * failed, their failure must be confirmed first, and one listing follows.
 *
 * <p>Not thread-safe. Every event returns the effects to perform, in order.
 */
public final class ConfigurationSync {

    private enum PlatformState {
        NOT_WATCHING,
        LISTING,
        WATCHING,
        WAITING
    }

    private final HostRecord mSelf;
    private final ConfigurationReplica mReplica;
    private final ConfigurationSyncSettings mSettings;
    private final UniformRandomProvider mRandom;
    private PlatformState mPlatform = PlatformState.NOT_WATCHING;
    private Optional<Long> mRevision = Optional.empty();
    private long mRetryAtMillis;
    private int mFailures;
    private Optional<Long> mRequestedMillis = Optional.empty();

    /**
     * Creates the state machine of a host that neither watches the platform nor queries a peer.
     *
     * @param self this host
     * @param replica the replica to synchronize
     * @param settings timings
     * @param random random source for the jitter of retries
     */
    public ConfigurationSync(
            HostRecord self,
            ConfigurationReplica replica,
            ConfigurationSyncSettings settings,
            UniformRandomProvider random) {
        mSelf = self;
        mReplica = replica;
        mSettings = settings;
        mRandom = random;
    }

    /**
     * Starts or stops watching according to the current view of the hosts, and performs due
     * retries.
     *
     * @param alive the hosts of the current view
     * @param nowMillis reading of this host's clock
     */
    public List<ConfigurationEffect> tick(Collection<HostRecord> alive, long nowMillis) {
        boolean watcher =
                Ownership.watchers(mSelf.domain(), alive, mSettings.watchersPerDomain()).stream()
                        .anyMatch(host -> host.incarnation().equals(mSelf.incarnation()));
        if (!watcher) {
            return stop();
        }
        boolean due = mPlatform == PlatformState.WAITING && nowMillis >= mRetryAtMillis;
        return mPlatform == PlatformState.NOT_WATCHING || due ? resume() : List.of();
    }

    /** Processes a complete listing of the platform. */
    public List<ConfigurationEffect> onListing(long revision, List<ConfigurationObject> listed) {
        if (mPlatform != PlatformState.LISTING) {
            return List.of();
        }
        List<ConfigurationObject> all = new ArrayList<>(listed);
        all.addAll(mReplica.tombstonesForMissing(revision, listed));
        return follow(revision, all);
    }

    /** Processes the events after the revision from which the watch started. */
    public List<ConfigurationEffect> onEvents(long revision, List<ConfigurationObject> events) {
        return mPlatform == PlatformState.WATCHING ? follow(revision, events) : List.of();
    }

    /** Processes a compaction: the platform no longer has the requested events. */
    public List<ConfigurationEffect> onCompacted() {
        if (mPlatform != PlatformState.WATCHING) {
            return List.of();
        }
        // Deletions among the compacted events can only be detected by a listing.
        mRevision = Optional.empty();
        return resume();
    }

    /** Processes a failure of the listing or watch in flight. */
    public List<ConfigurationEffect> onPlatformFailed(long nowMillis) {
        if (mPlatform == PlatformState.LISTING || mPlatform == PlatformState.WATCHING) {
            mPlatform = PlatformState.WAITING;
            mRetryAtMillis = nowMillis + backoff();
            mFailures++;
        }
        return List.of();
    }

    /**
     * Processes the digest of a peer's replica from a heartbeat.
     *
     * @param peer the sender
     * @param digest its digest
     */
    public List<ConfigurationEffect> onPeerDigest(HostRecord peer, long digest, long nowMillis) {
        boolean requestInFlight =
                mRequestedMillis
                        .filter(requested -> nowMillis - requested < mSettings.peerTimeoutMillis())
                        .isPresent();
        if (requestInFlight || digest == mReplica.digest()) {
            return List.of();
        }
        mRequestedMillis = Optional.of(nowMillis);
        return List.of(new QueryPeer(peer, new ConfigurationRequest(mReplica.knownVersions())));
    }

    /** Processes a peer's request for newer objects. */
    public List<ConfigurationEffect> onPeerRequest(ConfigurationRequest request) {
        return List.of(
                new Respond(
                        new ConfigurationResponse(mReplica.newerThan(request.knownVersions()))));
    }

    /** Processes a peer's response, or objects that it pushed. */
    public List<ConfigurationEffect> onPeerResponse(ConfigurationResponse response) {
        mRequestedMillis = Optional.empty();
        return apply(response.objects());
    }

    /**
     * Processes a missing response of a peer; the next differing digest triggers another request.
     */
    public List<ConfigurationEffect> onPeerFailed() {
        mRequestedMillis = Optional.empty();
        return List.of();
    }

    /** Processes an object that this host itself has written to the platform. */
    public List<ConfigurationEffect> onWritten(ConfigurationObject object) {
        return apply(List.of(object));
    }

    /** Returns whether this host watches the platform. */
    public boolean watching() {
        return mPlatform != PlatformState.NOT_WATCHING;
    }

    private List<ConfigurationEffect> stop() {
        boolean inFlight =
                mPlatform == PlatformState.LISTING || mPlatform == PlatformState.WATCHING;
        mPlatform = PlatformState.NOT_WATCHING;
        mRevision = Optional.empty();
        return inFlight ? List.of(new StopWatch()) : List.of();
    }

    private List<ConfigurationEffect> resume() {
        mPlatform = mRevision.isPresent() ? PlatformState.WATCHING : PlatformState.LISTING;
        return List.of(
                mRevision.<ConfigurationEffect>map(StartWatch::new).orElseGet(ListPlatform::new));
    }

    private List<ConfigurationEffect> follow(long revision, List<ConfigurationObject> objects) {
        List<ConfigurationEffect> effects = new ArrayList<>(apply(objects));
        mFailures = 0;
        mRevision = Optional.of(Math.max(revision, mRevision.orElse(0L)));
        effects.addAll(resume());
        return effects;
    }

    private List<ConfigurationEffect> apply(List<ConfigurationObject> objects) {
        List<ConfigurationObject> accepted = mReplica.offerAll(objects);
        return accepted.isEmpty() ? List.of() : List.of(new Applied(accepted));
    }

    private long backoff() {
        long ceiling = mSettings.retryMillis();
        for (int i = 0; i < mFailures && ceiling < mSettings.maxRetryMillis(); i++) {
            ceiling *= 2;
        }
        ceiling = Math.min(ceiling, mSettings.maxRetryMillis());
        return ceiling / 2 + mRandom.nextLong(ceiling / 2 + 1);
    }
}
