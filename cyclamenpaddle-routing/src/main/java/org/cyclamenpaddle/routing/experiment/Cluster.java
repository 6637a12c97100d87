package org.cyclamenpaddle.routing.experiment;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenpaddle.core.config.BackendRole;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.config.FencingSupport;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.message.LedgerSummary;
import org.cyclamenpaddle.routing.expect.TokenIntervalModel;
import org.cyclamenpaddle.routing.grant.GrantLedger;
import org.cyclamenpaddle.routing.placement.BackendView;
import org.cyclamenpaddle.routing.placement.CacheEvent;
import org.cyclamenpaddle.routing.placement.CostFactors;
import org.cyclamenpaddle.routing.placement.PlacementView;
import org.cyclamenpaddle.routing.placement.PrefixIndex;

/** The engines of the model, the ledgers over them, and what hosts know of both. */
final class Cluster {

    static final FailureDomain DOMAIN = new FailureDomain("model");

    private static final long LOAD_LAG_MILLIS = 200;
    private static final long OBSERVE_MILLIS = 1_000;
    private static final long CACHE_EVENT_MILLIS = 300;
    private static final double CACHE_EVENT_LOSS = 0.05;
    private static final int INDEX_BLOCKS = 512;
    private static final int MEMORY_PIECES = 400;

    private final Scenario mScenario;
    private final EventLoop mLoop;
    private final UniformRandomProvider mRandom;
    private final Map<BackendId, PrefillModel> mPrefill = new LinkedHashMap<>();
    private final Map<BackendId, DecodeModel> mDecode = new LinkedHashMap<>();
    private final Map<BackendId, GrantLedger> mLedgers = new HashMap<>();
    private final List<Map<BackendId, GrantLedger>> mShares = new ArrayList<>();
    private final Map<BackendId, Long> mSequences = new HashMap<>();
    private final PrefixIndex mPrefixes = new PrefixIndex(INDEX_BLOCKS);

    private final TokenIntervalModel mPace = new TokenIntervalModel();

    private Map<BackendId, LedgerSummary> mHints = Map.of();
    private long mHintsAt;

    Cluster(Scenario scenario, EventLoop loop) {
        mScenario = scenario;
        mLoop = loop;
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(scenario.seed());
        for (int i = 0; i < scenario.prefillServers(); i++) {
            addPrefill(spec("prefill-" + i, Scenario.SLOTS));
        }
        for (int i = 0; i < scenario.decodeServers(); i++) {
            addDecode(spec("decode-" + i, Scenario.SLOTS));
        }
        if (scenario.strategy() == Strategy.SPLIT_SLOTS) {
            splitSlots();
        }
        loop.every(scenario.hintMillis(), this::tellHints);
        loop.every(OBSERVE_MILLIS, this::observe);
    }

    PrefillModel prefill(BackendId id) {
        return mPrefill.get(id);
    }

    DecodeModel decode(BackendId id) {
        return mDecode.get(id);
    }

    GrantLedger ledger(BackendId id) {
        return mLedgers.get(id);
    }

    /** Returns the ledger of a host's own share of a decode server. */
    Optional<GrantLedger> share(int host, BackendId id) {
        return Optional.ofNullable(mShares.get(host).get(id));
    }

    PlacementView view(int host, long turn) {
        List<BackendView> prefill = new ArrayList<>();
        mPrefill.values().forEach(server -> prefill.add(hinted(server.spec())));
        List<BackendView> decode = new ArrayList<>();
        if (mShares.isEmpty()) {
            mDecode.values().forEach(server -> decode.add(hinted(server.spec())));
        } else {
            mShares.get(host).forEach((id, share) -> decode.add(own(id, share)));
        }
        return new PlacementView(prefill, decode, mPrefixes, CostFactors.NEUTRAL, turn);
    }

    TokenIntervalModel pace() {
        return mPace;
    }

    double wastedShare() {
        long computed = mPrefill.values().stream().mapToLong(PrefillModel::computedTokens).sum();
        long used = mPrefill.values().stream().mapToLong(PrefillModel::usedTokens).sum();
        return computed == 0 ? 0 : (double) (computed - used) / computed;
    }

    private void addPrefill(BackendSpec spec) {
        mPrefill.put(
                spec.id(),
                new PrefillModel(mLoop, spec, mRandom, hashes -> cached(spec.id(), hashes)));
        mLedgers.put(
                spec.id(), new GrantLedger(spec, BackendRole.PREFILL, mScenario.ledgerSettings()));
    }

    private void addDecode(BackendSpec spec) {
        mDecode.put(spec.id(), new DecodeModel(mLoop, spec, mScenario.idleShare()));
        mLedgers.put(
                spec.id(), new GrantLedger(spec, BackendRole.DECODE, mScenario.ledgerSettings()));
    }

    private void splitSlots() {
        int hosts = mScenario.hosts();
        List<Map<BackendId, Integer>> slots = new ArrayList<>();
        for (int host = 0; host < hosts; host++) {
            slots.add(new LinkedHashMap<>());
        }
        int next = 0;
        for (BackendId id : mDecode.keySet()) {
            for (int slot = 0; slot < Scenario.SLOTS; slot++) {
                slots.get(next++ % hosts).merge(id, 1, Integer::sum);
            }
        }
        for (Map<BackendId, Integer> own : slots) {
            Map<BackendId, GrantLedger> shares = new LinkedHashMap<>();
            own.forEach(
                    (id, count) ->
                            shares.put(
                                    id,
                                    new GrantLedger(
                                            spec(id.value(), count),
                                            BackendRole.DECODE,
                                            mScenario.ledgerSettings())));
            mShares.add(shares);
        }
    }

    private void tellHints() {
        boolean owners = mScenario.strategy().usesOwners();
        Map<BackendId, LedgerSummary> told = new HashMap<>();
        mPrefill.forEach((id, server) -> told.put(id, owners ? summary(id) : reported(server)));
        mDecode.forEach((id, server) -> told.put(id, owners ? summary(id) : reported(server)));
        long takenAt = mLoop.now();
        mLoop.after(
                owners ? Scenario.HOP_MILLIS : LOAD_LAG_MILLIS,
                () -> {
                    mHints = told;
                    mHintsAt = takenAt;
                });
    }

    private LedgerSummary summary(BackendId id) {
        return mLedgers.get(id).summary(mLoop.now());
    }

    private static LedgerSummary reported(PrefillModel server) {
        int free = Math.max(0, Scenario.SLOTS - server.attempts().size());
        return new LedgerSummary(
                server.spec().id(), server.queuedMillis(), free, MEMORY_PIECES, true);
    }

    private static LedgerSummary reported(DecodeModel server) {
        return new LedgerSummary(server.spec().id(), 0, server.freeSlots(), MEMORY_PIECES, true);
    }

    private void observe() {
        if (!mScenario.strategy().usesOwners()) {
            return;
        }
        mPrefill.forEach((id, server) -> ledger(id).observe(server.attempts(), mLoop.now()));
        mDecode.forEach((id, server) -> ledger(id).observe(server.attempts(), mLoop.now()));
        mDecode.keySet().forEach(id -> ledger(id).limitSlots(mostSlots(id)));
    }

    private int mostSlots(BackendId id) {
        return mPace.maxBatchWithin(id, Scenario.PER_TOKEN_MILLIS, Scenario.SLOTS);
    }

    private void cached(BackendId id, List<Long> hashes) {
        for (long hash : hashes) {
            long sequence = mSequences.merge(id, 1L, Long::sum);
            boolean lost = mRandom.nextDouble() < CACHE_EVENT_LOSS;
            List<CacheEvent> events =
                    lost
                            ? List.of()
                            : List.of(new CacheEvent(sequence, CacheEvent.Kind.STORED, hash));
            mLoop.after(CACHE_EVENT_MILLIS, () -> mPrefixes.apply(id, events, sequence));
        }
    }

    private BackendView hinted(BackendSpec spec) {
        long age = mLoop.now() - mHintsAt;
        return view(spec, Optional.ofNullable(mHints.get(spec.id())), age);
    }

    private BackendView own(BackendId id, GrantLedger share) {
        return view(mDecode.get(id).spec(), Optional.of(share.summary(mLoop.now())), 0);
    }

    private static BackendView view(BackendSpec spec, Optional<LedgerSummary> hint, long age) {
        return new BackendView(spec, hint, age, 0, false, false, 0);
    }

    private BackendSpec spec(String name, int slots) {
        return new BackendSpec(
                new BackendId(name),
                DOMAIN,
                "127.0.0.1",
                1,
                slots,
                MEMORY_PIECES,
                Scenario.PREFILL_RATE,
                mScenario.tokenMillis(),
                Scenario.LINK_RATE,
                FencingSupport.IGNORES,
                false);
    }
}
