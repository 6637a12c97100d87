package org.cyclamenpaddle.relay.assembly;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.BackendRegistry;
import org.cyclamenpaddle.relay.crash.CrashDetector;
import org.cyclamenpaddle.relay.front.ConfigurationCell;
import org.cyclamenpaddle.relay.front.StartupGate;
import org.cyclamenpaddle.relay.log.RelayEvent;
import org.cyclamenpaddle.relay.log.RelayEventLog;
import org.cyclamenpaddle.relay.metric.RelayMetrics;
import org.cyclamenpaddle.relay.route.RelayConfiguration;
import org.cyclamenpaddle.relay.store.EntryListener;
import org.cyclamenpaddle.relay.store.ListingAge;
import org.cyclamenpaddle.relay.store.StoreEntry;
import org.cyclamenpaddle.relay.store.StoreFailure;
import org.cyclamenpaddle.relay.store.UnusableEntries;

/**
 * Applies changes from the store to the configuration and the backend registry, and logs each of
 * them.
 */
final class StateUpdater {

    private final RelayEventLog mLog;
    private final ConfigurationCell mConfiguration;
    private final BackendRegistry mRegistry;
    private final CrashDetector mCrashes;
    private final StoreOutages mOutages;
    private final ListingAge mListing;
    private final UnusableEntries mUnusableConfigurations;
    private final UnusableEntries mUnusableBackends;
    private final Clock mClock;
    private final StartupGate mStartupGate;
    private final Runnable mOnComplete;
    private volatile boolean mBackendsListed;
    private boolean mCompletionReported;

    /**
     * Creates an updater without any state.
     *
     * @param startupGate opened as soon as requests can be routed, or a store call fails
     * @param onComplete run once, as soon as requests can be routed
     */
    StateUpdater(
            RelayEventLog log,
            ConfigurationCell configuration,
            BackendRegistry registry,
            CrashDetector crashes,
            StoreOutages outages,
            ListingAge listing,
            RelayMetrics metrics,
            Clock clock,
            StartupGate startupGate,
            Runnable onComplete) {
        mStartupGate = startupGate;
        mOnComplete = onComplete;
        mLog = log;
        mConfiguration = configuration;
        mRegistry = registry;
        mCrashes = crashes;
        mOutages = outages;
        mListing = listing;
        mUnusableConfigurations = new UnusableEntries("configuration", log, metrics);
        mUnusableBackends = new UnusableEntries("backends", log, metrics);
        mClock = clock;
    }

    /**
     * Returns whether requests can be routed: a configuration is in force and the backend servers
     * are known.
     */
    boolean complete() {
        return mBackendsListed && mConfiguration.inForce().isPresent();
    }

    /** Reports completion once. Both followers call this on their one thread. */
    private void reportIfComplete() {
        if (complete() && !mCompletionReported) {
            mCompletionReported = true;
            mStartupGate.open();
            mOnComplete.run();
        }
    }

    EntryListener<RelayConfiguration> configurations() {
        return new ConfigurationListener();
    }

    EntryListener<Backend> backends() {
        return new BackendListener();
    }

    private final class ConfigurationListener implements EntryListener<RelayConfiguration> {

        @Override
        public void onListing(List<StoreEntry<RelayConfiguration>> entries) {
            entries.forEach(this::onChange);
            mConfiguration.confirmed(true);
            reportIfComplete();
        }

        @Override
        public void onChange(StoreEntry<RelayConfiguration> entry) {
            mUnusableConfigurations.report(entry);
            long previousVersion = mConfiguration.version();
            if (entry.value().isLeft()) {
                mLog.log(
                        RelayEvent.CONFIGURATION_IGNORED, entry.value().getLeft(), previousVersion);
                return;
            }
            RelayConfiguration offered = entry.value().get();
            if (mConfiguration.offer(offered)) {
                mLog.log(
                        RelayEvent.CONFIGURATION_IN_FORCE,
                        offered.version(),
                        previousVersion,
                        offered.routes());
                reportIfComplete();
            }
        }

        @Override
        public void onStoreAnswer(long asOfMillis) {
            mOutages.answered(asOfMillis);
        }

        @Override
        public void onStoreUnavailable(StoreFailure failure) {
            mOutages.begun();
            mStartupGate.open();
            mConfiguration.confirmed(false);
            mLog.log(RelayEvent.STORE_UNAVAILABLE, "configuration", failure);
        }

        @Override
        public void onStoreAvailable(long unavailableMillis) {
            mOutages.ended(unavailableMillis);
            mConfiguration.confirmed(true);
            mLog.log(RelayEvent.STORE_AVAILABLE, "configuration", unavailableMillis);
        }
    }

    private final class BackendListener implements EntryListener<Backend> {

        @Override
        public void onListing(List<StoreEntry<Backend>> entries) {
            entries.forEach(mUnusableBackends::report);
            Map<BackendId, Backend> named = new HashMap<>();
            entries.forEach(
                    entry -> entry.value().forEach(backend -> named.put(backend.id(), backend)));
            mRegistry.applyListing(named, mClock.millis());
            mCrashes.serversListed(named);
            mBackendsListed = true;
            mLog.log(RelayEvent.BACKENDS_LISTED, named.size(), entries.size() - named.size());
            reportIfComplete();
        }

        @Override
        public void onChange(StoreEntry<Backend> entry) {
            mUnusableBackends.report(entry);
            Optional<Backend> backend = entry.value().toJavaOptional();
            backendId(entry.name())
                    .ifPresent(
                            id -> {
                                mRegistry.applyChange(id, backend, mClock.millis());
                                mCrashes.serverChanged(id, backend);
                            });
            if (backend.isPresent()) {
                Backend now = backend.get();
                mLog.log(
                        RelayEvent.BACKEND_CHANGED,
                        now.id(),
                        now.endpoint(),
                        now.version(),
                        now.stage(),
                        now.draining());
            } else {
                mLog.log(RelayEvent.BACKEND_REMOVED, entry.name(), entry.value().getLeft());
            }
        }

        @Override
        public void onStoreAnswer(long asOfMillis) {
            mOutages.answered(asOfMillis);
            mListing.confirm();
        }

        @Override
        public void onStoreUnavailable(StoreFailure failure) {
            mOutages.begun();
            mStartupGate.open();
            mLog.log(RelayEvent.STORE_UNAVAILABLE, "backends", failure);
        }

        @Override
        public void onStoreAvailable(long unavailableMillis) {
            mOutages.ended(unavailableMillis);
            mLog.log(RelayEvent.STORE_AVAILABLE, "backends", unavailableMillis);
        }

        private Optional<BackendId> backendId(String name) {
            try {
                return Optional.of(new BackendId(name));
            } catch (IllegalArgumentException invalidId) {
                // An invalid id cannot belong to a known backend server.
                return Optional.empty();
            }
        }
    }
}
