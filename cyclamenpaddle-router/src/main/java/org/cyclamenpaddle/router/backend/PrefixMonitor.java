package org.cyclamenpaddle.router.backend;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.cyclamenpaddle.core.config.Assignment;
import org.cyclamenpaddle.core.config.BackendRole;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.config.ConfigurationView;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.engine.model.CacheEvents;
import org.cyclamenpaddle.router.blackboard.Blackboard;
import org.cyclamenpaddle.router.request.PrefixCacheListener;
import org.cyclamenpaddle.router.worker.Workers;
import org.cyclamenpaddle.routing.placement.CacheEvent;
import org.cyclamenpaddle.routing.placement.PrefixHints;
import org.cyclamenpaddle.routing.placement.PrefixIndex;

/**
 * Estimates the contents of the engines' prefix caches.
 *
 * <p>The estimate is derived from this host's own prefills and from the cache events of the prefill
 * engines in its failure domain. Hosts do not exchange it: it is only a hint, and the block hashes
 * of all prompts would exceed the bandwidth allotted to control traffic.
 */
public final class PrefixMonitor implements PrefixHints, PrefixCacheListener {

    private static final int MAX_INDEXED_BLOCKS = 200_000;

    private final Blackboard mBlackboard;
    private final BackendClients mClients;
    private final Workers mWorkers;
    private final FailureDomain mDomain;
    private final PrefixIndex mIndex = new PrefixIndex(MAX_INDEXED_BLOCKS);
    private final Map<BackendId, Long> mLastSequence = new ConcurrentHashMap<>();
    private final Set<BackendId> mPolling = ConcurrentHashMap.newKeySet();

    /**
     * Creates the monitor.
     *
     * @param blackboard provides the engines with the prefill role
     * @param clients engine clients
     * @param workers worker pool
     * @param domain this host's failure domain
     */
    public PrefixMonitor(
            Blackboard blackboard, BackendClients clients, Workers workers, FailureDomain domain) {
        mBlackboard = blackboard;
        mClients = clients;
        mWorkers = workers;
        mDomain = domain;
    }

    /** Polls the latest cache events once. */
    public void tick() {
        ConfigurationView view = mBlackboard.view();
        view.assignments().values().stream()
                .filter(assignment -> assignment.role() == BackendRole.PREFILL)
                .map(Assignment::backend)
                .map(view.backends()::get)
                .filter(spec -> spec != null && spec.failureDomain().equals(mDomain))
                .forEach(this::read);
    }

    @Override
    public int cachedTokens(BackendId backend, List<Long> blockHashes) {
        synchronized (mIndex) {
            return mIndex.cachedTokens(backend, blockHashes);
        }
    }

    @Override
    public void onPrefilled(BackendId backend, List<Long> blockHashes) {
        synchronized (mIndex) {
            mIndex.prefilled(backend, blockHashes);
        }
    }

    private void read(BackendSpec engine) {
        if (!mPolling.add(engine.id())) {
            return;
        }
        mWorkers.onResult(
                mClients.engine(engine).cacheEvents(mLastSequence.getOrDefault(engine.id(), 0L)),
                response -> {
                    mPolling.remove(engine.id());
                    response.peek(events -> onCacheEvents(engine.id(), events));
                });
    }

    private void onCacheEvents(BackendId engine, CacheEvents events) {
        Long last = mLastSequence.put(engine, events.lastSequence());
        synchronized (mIndex) {
            // A lower sequence number means that the engine has restarted with an empty cache.
            if (last != null && events.lastSequence() < last) {
                mIndex.remove(engine);
            }
            mIndex.apply(engine, toIndexEvents(events), events.lastSequence());
        }
    }

    private static List<CacheEvent> toIndexEvents(CacheEvents events) {
        return events.events().stream()
                .map(
                        event ->
                                new CacheEvent(
                                        event.sequence(),
                                        event.stored()
                                                ? CacheEvent.Kind.STORED
                                                : CacheEvent.Kind.EVICTED,
                                        event.hash()))
                .collect(Collectors.toList());
    }
}
