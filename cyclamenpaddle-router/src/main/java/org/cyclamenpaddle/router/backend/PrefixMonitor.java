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
 * What is believed of the engines' prefix caches.
 *
 * <p>Learned from this host's own prefills, and from the cache events of the prefill servers in its
 * own failure domain. Hosts do not exchange it: it is a hint, and the block hashes of all prompts
 * would take more than control may use.
 */
public final class PrefixMonitor implements PrefixHints, PrefixCacheListener {

    private static final int MOST_BLOCKS = 200_000;

    private final Blackboard mBlackboard;
    private final BackendClients mClients;
    private final Workers mWorkers;
    private final FailureDomain mDomain;
    private final PrefixIndex mIndex = new PrefixIndex(MOST_BLOCKS);
    private final Map<BackendId, Long> mLastSequence = new ConcurrentHashMap<>();
    private final Set<BackendId> mReading = ConcurrentHashMap.newKeySet();

    /**
     * Creates the monitor.
     *
     * @param blackboard tells which engines prefill
     * @param clients engines
     * @param workers pool
     * @param domain this host's failure domain
     */
    public PrefixMonitor(
            Blackboard blackboard, BackendClients clients, Workers workers, FailureDomain domain) {
        mBlackboard = blackboard;
        mClients = clients;
        mWorkers = workers;
        mDomain = domain;
    }

    /** Reads the latest cache events once. */
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
        if (!mReading.add(engine.id())) {
            return;
        }
        mWorkers.onResult(
                mClients.engine(engine).cacheEvents(mLastSequence.getOrDefault(engine.id(), 0L)),
                answer -> {
                    mReading.remove(engine.id());
                    answer.peek(events -> take(engine.id(), events));
                });
    }

    private void take(BackendId engine, CacheEvents events) {
        Long last = mLastSequence.put(engine, events.lastSequence());
        synchronized (mIndex) {
            // A sequence that went back is a new life of the engine, with an empty cache.
            if (last != null && events.lastSequence() < last) {
                mIndex.remove(engine);
            }
            mIndex.apply(engine, typed(events), events.lastSequence());
        }
    }

    private static List<CacheEvent> typed(CacheEvents events) {
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
