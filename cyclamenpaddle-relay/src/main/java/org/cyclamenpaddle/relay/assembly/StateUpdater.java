package org.cyclamenpaddle.relay.assembly;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.BackendRegistry;
import org.cyclamenpaddle.relay.front.ConfigurationCell;
import org.cyclamenpaddle.relay.front.StartupGate;
import org.cyclamenpaddle.relay.log.DecisionLog;
import org.cyclamenpaddle.relay.log.RelayEvent;
import org.cyclamenpaddle.relay.route.RelayConfiguration;
import org.cyclamenpaddle.relay.store.Entry;
import org.cyclamenpaddle.relay.store.EntryListener;
import org.cyclamenpaddle.relay.store.StoreFailure;

/** Brings what the store says to the tables that requests are decided by, one log line each. */
final class StateUpdater {

    private final DecisionLog mLog;
    private final ConfigurationCell mConfiguration;
    private final BackendRegistry mBoard;
    private final Clock mClock;
    private final StartupGate mStartupGate;
    private final Runnable mCompleted;
    private volatile boolean mBackendsListed;
    private boolean mCompleteSaid;

    /**
     * Creates an updater before anything is known.
     *
     * @param startWait ended as soon as requests can be decided, or the store fails a call
     * @param completed run once, as soon as requests can be decided
     */
    StateUpdater(
            DecisionLog log,
            ConfigurationCell configuration,
            BackendRegistry board,
            Clock clock,
            StartupGate startWait,
            Runnable completed) {
        mStartupGate = startWait;
        mCompleted = completed;
        mLog = log;
        mConfiguration = configuration;
        mBoard = board;
        mClock = clock;
    }

    /** Returns whether requests can be decided: there are routes and known backend servers. */
    boolean complete() {
        return mBackendsListed && mConfiguration.inForce().isPresent();
    }

    /** Both followers call this on their one thread. */
    private void learned() {
        if (complete() && !mCompleteSaid) {
            mCompleteSaid = true;
            mStartupGate.open();
            mCompleted.run();
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
        public void onListing(List<Entry<RelayConfiguration>> entries) {
            entries.forEach(this::onChange);
            mConfiguration.confirmed(true);
            learned();
        }

        @Override
        public void onChange(Entry<RelayConfiguration> entry) {
            long was = mConfiguration.version();
            if (entry.value().isLeft()) {
                mLog.log(RelayEvent.CONFIGURATION_IGNORED, entry.value().getLeft(), was);
                return;
            }
            RelayConfiguration offered = entry.value().get();
            if (mConfiguration.offer(offered)) {
                mLog.log(
                        RelayEvent.CONFIGURATION_IN_FORCE,
                        offered.version(),
                        was,
                        offered.routes());
                learned();
            }
        }

        @Override
        public void onStoreUnavailable(StoreFailure failure) {
            mStartupGate.open();
            mConfiguration.confirmed(false);
            mLog.log(RelayEvent.STORE_UNREACHABLE, "configuration", failure);
        }

        @Override
        public void onStoreAvailable(long awayMillis) {
            mConfiguration.confirmed(true);
            mLog.log(RelayEvent.STORE_REACHABLE, "configuration", awayMillis);
        }
    }

    private final class BackendListener implements EntryListener<Backend> {

        @Override
        public void onListing(List<Entry<Backend>> entries) {
            Map<BackendId, Backend> named = new HashMap<>();
            entries.forEach(
                    entry -> entry.value().forEach(backend -> named.put(backend.id(), backend)));
            mBoard.applyListing(named, mClock.millis());
            mBackendsListed = true;
            mLog.log(RelayEvent.BACKENDS_LISTED, named.size(), entries.size() - named.size());
            learned();
        }

        @Override
        public void onChange(Entry<Backend> entry) {
            Optional<Backend> backend = entry.value().toJavaOptional();
            backendId(entry.name())
                    .ifPresent(id -> mBoard.applyChange(id, backend, mClock.millis()));
            if (backend.isPresent()) {
                Backend now = backend.get();
                mLog.log(
                        RelayEvent.BACKEND_CHANGED,
                        now.id(),
                        now.endpoint(),
                        now.stage(),
                        now.draining());
            } else {
                mLog.log(RelayEvent.BACKEND_REMOVED, entry.name(), entry.value().getLeft());
            }
        }

        @Override
        public void onStoreUnavailable(StoreFailure failure) {
            mStartupGate.open();
            mLog.log(RelayEvent.STORE_UNREACHABLE, "backends", failure);
        }

        @Override
        public void onStoreAvailable(long awayMillis) {
            mLog.log(RelayEvent.STORE_REACHABLE, "backends", awayMillis);
        }

        private Optional<BackendId> backendId(String name) {
            try {
                return Optional.of(new BackendId(name));
            } catch (IllegalArgumentException noName) {
                // No backend server can have been known by it.
                return Optional.empty();
            }
        }
    }
}
