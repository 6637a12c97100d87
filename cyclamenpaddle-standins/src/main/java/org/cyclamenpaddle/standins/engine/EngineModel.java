package org.cyclamenpaddle.standins.engine;

import io.vavr.control.Either;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Simulates the timing and state of one engine, without sockets or threads.
 *
 * <p>Not thread-safe: all calls must run as tasks of its {@link EngineTimer}, one at a time.
 */
final class EngineModel implements EngineListener {

    /** Marker in a prompt that crashes the prefill engine. */
    static final String CRASH_MARK = "CRASH-ENGINE";

    /** Marker in a prompt that crashes the decode engine. */
    static final String CRASH_DECODE_MARK = "CRASH-DECODE";

    private static final long MICROS_PER_MILLI = 1_000;
    private static final int MAX_TOMBSTONES = 100_000;

    private final EngineSettings mSettings;
    private final EngineCounters mCounters;
    private final Runnable mOnCrash;
    private final KvMemory mMemory;
    private final CacheEventLog mCacheEvents;
    private final PrefillUnit mPrefill;
    private final DecodeUnit mDecode;
    private final EngineOrders mOrders;
    private final LaggedLoad mLoad;
    private final Set<String> mTombstones = new LinkedHashSet<>();
    private boolean mRejecting;
    private boolean mDiscarded;

    EngineModel(
            EngineTimer timer,
            EngineSettings settings,
            KvFetcher fetcher,
            EngineCounters counters,
            Runnable onCrash) {
        mSettings = settings;
        mCounters = counters;
        mOnCrash = onCrash;
        mMemory = new KvMemory(settings.pieces());
        mCacheEvents = new CacheEventLog(timer, settings);
        PrefixCache cache = new PrefixCache(settings.cachePieces(), mCacheEvents);
        mPrefill = new PrefillUnit(timer, settings, mMemory, cache, counters, this);
        mDecode = new DecodeUnit(timer, settings, mMemory, fetcher, counters, this);
        mOrders = new EngineOrders(timer, settings);
        mLoad = new LaggedLoad(timer, micros(settings.loadLagMillis()), load());
    }

    /** Status of an attempt in {@code GET /v1/attempts}. */
    record AttemptStatus(String attempt, String role, int pieces, int nextIndex, boolean ended) {}

    static long micros(long millis) {
        return millis * MICROS_PER_MILLI;
    }

    static boolean crashes(String prompt) {
        return prompt.contains(CRASH_MARK);
    }

    static boolean crashesDecode(String prompt) {
        return prompt.contains(CRASH_DECODE_MARK);
    }

    void prefill(
            PrefillRequest request, Consumer<Either<EngineRejection, PrefillResponse>> callback) {
        rejection(request.attempt(), "prefill")
                .ifPresentOrElse(
                        reason -> callback.accept(Either.left(reason)),
                        () -> mPrefill.submit(request, callback));
    }

    Either<EngineRejection, DecodeAttempt> decode(DecodeRequest request) {
        return rejection(request.attempt(), "decode")
                .map(Either::<EngineRejection, DecodeAttempt>left)
                .orElseGet(() -> mDecode.submit(request));
    }

    Optional<Runnable> export(String attempt, Consumer<KvCache> done) {
        return mPrefill.export(attempt, done);
    }

    Optional<DecodeAttempt> decodeAttempt(String attempt) {
        return mDecode.find(attempt);
    }

    /** Cancels an attempt; one that arrives after its cancel is rejected. */
    void cancel(String attempt) {
        mTombstones.add(attempt);
        if (mTombstones.size() > MAX_TOMBSTONES) {
            mTombstones.remove(mTombstones.iterator().next());
        }
        mPrefill.cancel(attempt);
        mDecode.cancel(attempt);
    }

    List<AttemptStatus> attempts() {
        Stream<AttemptStatus> prefills =
                mPrefill.live()
                        .map(a -> new AttemptStatus(a.id(), "prefill", a.pieces(), 0, false));
        Stream<AttemptStatus> decodes =
                mDecode.retained()
                        .map(
                                a ->
                                        new AttemptStatus(
                                                a.id(),
                                                "decode",
                                                a.pieces(),
                                                a.nextIndex(),
                                                a.ended()));
        return Stream.concat(prefills, decodes).collect(Collectors.toList());
    }

    EngineLoad publishedLoad() {
        return mLoad.published();
    }

    void loadLag(long millis) {
        mLoad.lag(micros(millis));
    }

    CacheEventLog.CacheEvents cacheEvents(long after) {
        return mCacheEvents.after(after);
    }

    /** Applies an order; cancels in-flight attempts if it changes service, model or role. */
    Either<EngineOrders.Stale, EngineOrders.State> order(EngineOrders.Order order) {
        return mOrders.apply(order, this::cancelAll);
    }

    EngineOrders.State state() {
        return mOrders.state();
    }

    int heldPieces() {
        return mMemory.used();
    }

    void rejectNewWork(boolean rejecting) {
        mRejecting = rejecting;
    }

    void stallTransfers(int transfers) {
        mPrefill.stallTransfers(transfers);
    }

    /**
     * Cancels all prefills of a crashed model, so that lost prefill tokens are counted as wasted.
     */
    void discard() {
        mDiscarded = true;
        mPrefill.live().map(PrefillAttempt::id).collect(Collectors.toList()).forEach(this::cancel);
    }

    @Override
    public void loadChanged() {
        mLoad.record(load());
    }

    @Override
    public void crashed() {
        if (!mDiscarded) {
            mOnCrash.run();
        }
    }

    private EngineLoad load() {
        return new EngineLoad(
                mSettings.slots(),
                mDecode.slotsUsed(),
                mSettings.pieces(),
                mMemory.used(),
                mPrefill.queuedTokens());
    }

    private Optional<EngineRejection> rejection(String attempt, String role) {
        if (mTombstones.contains(attempt)) {
            return Optional.of(EngineRejection.CANCELLED);
        }
        if (mPrefill.contains(attempt) || mDecode.find(attempt).isPresent()) {
            return Optional.of(EngineRejection.EXISTS);
        }
        return mRejecting || !mOrders.serves(role)
                ? Optional.of(EngineRejection.FULL)
                : Optional.empty();
    }

    private void cancelAll() {
        List<String> live =
                Stream.concat(
                                mPrefill.live().map(PrefillAttempt::id),
                                mDecode.live().map(DecodeAttempt::id))
                        .collect(Collectors.toList());
        mCounters.cutOff(live.size());
        live.forEach(this::cancel);
    }
}
