package org.cyclamenpaddle.fleet.simulation;

import static org.cyclamenpaddle.core.invariant.Invariants.require;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenpaddle.core.config.ConfigurationObject;
import org.cyclamenpaddle.core.config.ObjectKey;
import org.cyclamenpaddle.core.config.ObjectKind;
import org.cyclamenpaddle.core.message.ConfigurationResponse;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.fleet.configuration.ConfigurationEffect;
import org.cyclamenpaddle.fleet.configuration.ConfigurationReplica;
import org.cyclamenpaddle.fleet.configuration.ConfigurationSync;
import org.cyclamenpaddle.fleet.configuration.ConfigurationSyncSettings;
import org.cyclamenpaddle.fleet.simulation.SimulatedPlatform.Stored;

/**
 * Simulation of replicas in several domains, while operators write and delete objects, domains are
 * partitioned from each other and from the platform, responses are lost or late, watches are
 * compacted and hosts start with empty replicas.
 *
 * <p>Invariants: the version of an object never decreases on any host; once everything is reachable
 * all replicas equal the platform, and a further change reaches every replica within 7 s.
 */
final class ConfigurationRun {

    private static final int DOMAINS = 3;
    private static final int HOSTS = 9;
    private static final int KEYS = 8;
    private static final long CONVERGENCE_MILLIS = 7_000;

    private final EventQueue mQueue = new EventQueue();
    private final UniformRandomProvider mRandom;
    private final SimulatedPlatform<String> mPlatform;
    private final List<Replica> mReplicas = new ArrayList<>();
    private final boolean[] mPartitionedFromPlatform = new boolean[DOMAINS];
    private final boolean[] mPartitionedFromPeers = new boolean[DOMAINS];
    private double mLossRate;
    private long mCompacted;
    private long mWrites;

    ConfigurationRun(long seed) {
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        mPlatform = new SimulatedPlatform<>(mQueue, mRandom);
        for (int i = 0; i < HOSTS; i++) {
            mReplicas.add(new Replica(i));
        }
        mQueue.every(100, () -> mReplicas.forEach(Replica::tick));
        mQueue.every(500, () -> mReplicas.forEach(Replica::sendDigest));
    }

    void steps(int steps) {
        for (int i = 0; i < steps; i++) {
            mQueue.runFor(mRandom.nextInt(400));
            step(mRandom.nextInt(20));
        }
        heal();
        mQueue.runFor(CONVERGENCE_MILLIS);
        requireEqual();
        write();
        mQueue.runFor(CONVERGENCE_MILLIS);
        requireEqual();
    }

    private void step(int choice) {
        switch (choice) {
            case 0 -> mPartitionedFromPlatform[mRandom.nextInt(DOMAINS)] ^= true;
            case 1 -> mPartitionedFromPeers[mRandom.nextInt(DOMAINS)] ^= true;
            case 2 -> mPlatform.mUnavailable = !mPlatform.mUnavailable;
            case 3 -> mLossRate = mRandom.nextDouble() / 2;
            case 4 -> mCompacted = mPlatform.revision();
            case 5 -> {
                int index = mRandom.nextInt(HOSTS);
                mReplicas.set(index, new Replica(index));
            }
            case 6 -> heal();
            default -> write();
        }
    }

    private void heal() {
        for (int i = 0; i < DOMAINS; i++) {
            mPartitionedFromPlatform[i] = false;
            mPartitionedFromPeers[i] = false;
        }
        mPlatform.mUnavailable = false;
        mLossRate = 0;
    }

    private void write() {
        ObjectKey key = new ObjectKey(ObjectKind.SERVICE, "service-" + mRandom.nextInt(KEYS));
        boolean delete = mRandom.nextInt(4) == 0;
        mWrites++;
        String text = "document " + mWrites;
        mPlatform.write(key.path(), delete ? Optional.empty() : Optional.of(text));
    }

    private void requireEqual() {
        for (Replica replica : mReplicas) {
            Map<ObjectKey, String> live =
                    replica.mReplica.objects().stream()
                            .filter(object -> !object.tombstone())
                            .collect(
                                    Collectors.toMap(
                                            ConfigurationObject::key,
                                            o -> o.version() + o.document().get()));
            Map<ObjectKey, String> expected =
                    mPlatform.objects().stream()
                            .map(ConfigurationRun::object)
                            .collect(
                                    Collectors.toMap(
                                            ConfigurationObject::key,
                                            o -> o.version() + o.document().get()));
            require(live.equals(expected), () -> replica.mSelf + ": " + live + " not " + expected);
            require(
                    replica.mReplica.digest() == mReplicas.get(0).mReplica.digest(),
                    () -> replica.mSelf + " has a different digest");
        }
    }

    private static ConfigurationObject object(Stored<String> stored) {
        return new ConfigurationObject(
                ObjectKey.fromPath(stored.key()).orElseThrow(), stored.version(), stored.value());
    }

    private final class Replica {

        private final int mDomain;
        private final HostRecord mSelf;
        private final ConfigurationReplica mReplica = new ConfigurationReplica();
        private final ConfigurationSync mSync;
        private Map<String, Long> mLastVersions = Map.of();
        private long mWatch;

        private Replica(int index) {
            mDomain = index % DOMAINS;
            mSelf = MembershipFleet.record("host-" + index, "domain-" + mDomain, 1);
            mSync =
                    new ConfigurationSync(
                            mSelf, mReplica, ConfigurationSyncSettings.DEFAULTS, mRandom);
        }

        private boolean reaches(Replica other) {
            return mDomain == other.mDomain
                    || !mPartitionedFromPeers[mDomain] && !mPartitionedFromPeers[other.mDomain];
        }

        private void tick() {
            List<HostRecord> alive =
                    mReplicas.stream()
                            .filter(this::reaches)
                            .map(replica -> replica.mSelf)
                            .collect(Collectors.toList());
            apply(mSync.tick(alive, mQueue.now()));
        }

        private void sendDigest() {
            long digest = mReplica.digest();
            for (Replica other : mReplicas) {
                if (other != this && reaches(other) && arrives()) {
                    mQueue.after(
                            1 + mRandom.nextInt(300),
                            () ->
                                    other.apply(
                                            other.mSync.onPeerDigest(mSelf, digest, mQueue.now())));
                }
            }
        }

        private void apply(List<ConfigurationEffect> effects) {
            requireMonotonicVersions();
            for (ConfigurationEffect effect : effects) {
                if (effect instanceof ConfigurationEffect.ListPlatform) {
                    mWatch++;
                    list(mWatch);
                } else if (effect instanceof ConfigurationEffect.StartWatch watch) {
                    mWatch++;
                    watch(watch.afterRevision(), mWatch, mQueue.now() + 2_000);
                } else if (effect instanceof ConfigurationEffect.StopWatch) {
                    mWatch++;
                } else if (effect instanceof ConfigurationEffect.QueryPeer query) {
                    query(query);
                }
            }
        }

        private void requireMonotonicVersions() {
            Map<String, Long> known = mReplica.knownVersions();
            mLastVersions.forEach(
                    (key, version) ->
                            require(
                                    known.getOrDefault(key, 0L) >= version,
                                    () -> key + " decreased from version " + version));
            mLastVersions = known;
        }

        private void report(long watch, Runnable report) {
            int late = 1 + mRandom.nextInt(mRandom.nextInt(10) == 0 ? 1_000 : 10);
            mQueue.after(
                    late,
                    () -> {
                        if (watch == mWatch) {
                            report.run();
                        }
                    });
        }

        private void list(long watch) {
            if (!platformResponds()) {
                report(watch, () -> apply(mSync.onPlatformFailed(mQueue.now())));
                return;
            }
            long revision = mPlatform.revision();
            List<ConfigurationObject> listed =
                    mPlatform.objects().stream()
                            .map(ConfigurationRun::object)
                            .collect(Collectors.toList());
            report(watch, () -> apply(mSync.onListing(revision, listed)));
        }

        private void watch(long after, long watch, long until) {
            if (watch != mWatch) {
                return;
            }
            if (!platformResponds()) {
                report(watch, () -> apply(mSync.onPlatformFailed(mQueue.now())));
            } else if (after < mCompacted) {
                report(watch, () -> apply(mSync.onCompacted()));
            } else if (after < mPlatform.revision() || mQueue.now() >= until) {
                long revision = mPlatform.revision();
                List<ConfigurationObject> events =
                        mPlatform.log().subList((int) after, (int) revision).stream()
                                .map(ConfigurationRun::object)
                                .collect(Collectors.toList());
                report(watch, () -> apply(mSync.onEvents(revision, events)));
            } else {
                mQueue.after(50, () -> watch(after, watch, until));
            }
        }

        private boolean platformResponds() {
            return !mPlatform.mUnavailable && !mPartitionedFromPlatform[mDomain] && arrives();
        }

        private boolean arrives() {
            return mRandom.nextDouble() >= mLossRate;
        }

        private void query(ConfigurationEffect.QueryPeer query) {
            Replica peer =
                    mReplicas.stream()
                            .filter(r -> r.mSelf.equals(query.peer()))
                            .findFirst()
                            .orElseThrow();
            if (!reaches(peer) || !arrives()) {
                return;
            }
            ConfigurationResponse response =
                    ((ConfigurationEffect.Respond) peer.mSync.onPeerRequest(query.request()).get(0))
                            .response();
            mQueue.after(1 + mRandom.nextInt(800), () -> apply(mSync.onPeerResponse(response)));
        }
    }
}
