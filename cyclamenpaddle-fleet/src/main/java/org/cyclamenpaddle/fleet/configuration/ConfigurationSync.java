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
 * Keeps a {@link ConfigurationReplica} in line with the platform and with peers.
 *
 * <p>Two hosts of each failure domain watch the platform; the rest pull from any peer whose
 * heartbeat shows another digest. A host that starts while the platform is away gets the replica
 * the same way, and so does one whose domain is cut off from the platform but not from its peers.
 *
 * <p>Each host sends heartbeats to its watchers and to one partner by chance, so that most hosts
 * learn of a change within a few rounds, and the rest soon after. If both watchers of a domain have
 * just died, the suspicion has to be confirmed first, and one listing follows.
 *
 * <p>Not thread-safe. Every event returns the effects to carry out, in order.
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
    private Optional<Long> mAskedMillis = Optional.empty();

    /**
     * Creates the state machine of a host that neither watches nor asks.
     *
     * @param self this host
     * @param replica the replica to keep in line
     * @param settings timings
     * @param random jitter of retries
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
     * Starts or stops watching as the view of the hosts asks, and retries what is due.
     *
     * @param alive the hosts of the current view
     * @param nowMillis reading of this host's clock
     */
    public List<ConfigurationEffect> tick(Collection<HostRecord> alive, long nowMillis) {
        boolean chosen =
                Ownership.watchers(mSelf.domain(), alive, mSettings.watchersPerDomain()).stream()
                        .anyMatch(host -> host.incarnation().equals(mSelf.incarnation()));
        if (!chosen) {
            return stop();
        }
        boolean due = mPlatform == PlatformState.WAITING && nowMillis >= mRetryAtMillis;
        return mPlatform == PlatformState.NOT_WATCHING || due ? resume() : List.of();
    }

    /** Takes in a whole listing of the platform. */
    public List<ConfigurationEffect> onListing(long revision, List<ConfigurationObject> listed) {
        if (mPlatform != PlatformState.LISTING) {
            return List.of();
        }
        List<ConfigurationObject> all = new ArrayList<>(listed);
        all.addAll(mReplica.tombstonesForMissing(revision, listed));
        return follow(revision, all);
    }

    /** Takes in the events after the revision that the watch started from. */
    public List<ConfigurationEffect> onEvents(long revision, List<ConfigurationObject> events) {
        return mPlatform == PlatformState.WATCHING ? follow(revision, events) : List.of();
    }

    /** Takes in that the platform no longer has the events asked for. */
    public List<ConfigurationEffect> onCompacted() {
        if (mPlatform != PlatformState.WATCHING) {
            return List.of();
        }
        // Deletions among the lost events would never be seen; only a listing shows them.
        mRevision = Optional.empty();
        return resume();
    }

    /** Takes in that the listing or watch under way failed. */
    public List<ConfigurationEffect> onPlatformFailed(long nowMillis) {
        if (mPlatform == PlatformState.LISTING || mPlatform == PlatformState.WATCHING) {
            mPlatform = PlatformState.WAITING;
            mRetryAtMillis = nowMillis + backoff();
            mFailures++;
        }
        return List.of();
    }

    /**
     * Takes in the digest of a peer's replica, as its heartbeat said.
     *
     * @param peer the sender
     * @param digest its digest
     */
    public List<ConfigurationEffect> onPeerDigest(HostRecord peer, long digest, long nowMillis) {
        boolean asking =
                mAskedMillis
                        .filter(asked -> nowMillis - asked < mSettings.peerTimeoutMillis())
                        .isPresent();
        if (asking || digest == mReplica.digest()) {
            return List.of();
        }
        mAskedMillis = Optional.of(nowMillis);
        return List.of(new QueryPeer(peer, new ConfigurationRequest(mReplica.knownVersions())));
    }

    /** Answers a peer that asks for what it lacks. */
    public List<ConfigurationEffect> onPeerRequest(ConfigurationRequest ask) {
        return List.of(
                new Respond(new ConfigurationResponse(mReplica.newerThan(ask.knownVersions()))));
    }

    /** Takes in a peer's answer, or objects that it pushed. */
    public List<ConfigurationEffect> onPeerResponse(ConfigurationResponse answer) {
        mAskedMillis = Optional.empty();
        return apply(answer.objects());
    }

    /** Takes in that a peer did not answer; the next digest leads to another ask. */
    public List<ConfigurationEffect> onPeerFailed() {
        mAskedMillis = Optional.empty();
        return List.of();
    }

    /** Takes in an object that this host itself has just written to the platform. */
    public List<ConfigurationEffect> onWritten(ConfigurationObject object) {
        return apply(List.of(object));
    }

    /** Returns whether this host is one of those that watch the platform. */
    public boolean watching() {
        return mPlatform != PlatformState.NOT_WATCHING;
    }

    private List<ConfigurationEffect> stop() {
        boolean underWay =
                mPlatform == PlatformState.LISTING || mPlatform == PlatformState.WATCHING;
        mPlatform = PlatformState.NOT_WATCHING;
        mRevision = Optional.empty();
        return underWay ? List.of(new StopWatch()) : List.of();
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
        List<ConfigurationObject> taken = mReplica.offerAll(objects);
        return taken.isEmpty() ? List.of() : List.of(new Applied(taken));
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
