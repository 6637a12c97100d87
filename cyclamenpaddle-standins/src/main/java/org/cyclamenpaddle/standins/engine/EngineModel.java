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
 * Timing and state of one engine, without sockets and threads.
 *
 * <p>All calls run as tasks of its {@link EngineTimer}, one at a time.
 */
final class EngineModel implements EngineSignals {

    /** Prompt text that makes the prefill engine crash. */
    static final String CRASH_MARK = "CRASH-ENGINE";

    /** Prompt text that makes the decode engine crash. */
    static final String CRASH_DECODE_MARK = "CRASH-DECODE";

    private static final long MICROS_PER_MILLI = 1_000;
    private static final int TOMBSTONE_LIMIT = 100_000;

    private final EngineSettings mSettings;
    private final EngineCounters mCounters;
    private final Runnable mOnCrash;
    private final MemoryPieces mMemory;
    private final CacheEventLog mCacheEvents;
    private final PrefillUnit mPrefill;
    private final DecodeUnit mDecode;
    private final EngineOrders mOrders;
    private final LaggedLoad mLoad;
    private final Set<String> mTombstones = new LinkedHashSet<>();
    private boolean mRefusing;
    private boolean mLost;

    EngineModel(
            EngineTimer timer,
            EngineSettings settings,
            KvFetcher fetcher,
            EngineCounters counters,
            Runnable onCrash) {
        mSettings = settings;
        mCounters = counters;
        mOnCrash = onCrash;
        mMemory = new MemoryPieces(settings.pieces());
        mCacheEvents = new CacheEventLog(timer, settings);
        PrefixCache cache = new PrefixCache(settings.cachePieces(), mCacheEvents);
        mPrefill = new PrefillUnit(timer, settings, mMemory, cache, counters, this);
        mDecode = new DecodeUnit(timer, settings, mMemory, fetcher, counters, this);
        mOrders = new EngineOrders(timer, settings);
        mLoad = new LaggedLoad(timer, micros(settings.loadLagMillis()), load());
    }

    /** One line of the list of attempts. */
    record AttemptLine(String attempt, String role, int pieces, int nextIndex, boolean ended) {}

    static long micros(long millis) {
        return millis * MICROS_PER_MILLI;
    }

    static boolean crashes(String prompt) {
        return prompt.contains(CRASH_MARK);
    }

    static boolean crashesDecode(String prompt) {
        return prompt.contains(CRASH_DECODE_MARK);
    }

    void prefill(PrefillAsk ask, Consumer<Either<EngineRefusal, PrefillDone>> answer) {
        refusal(ask.attempt(), "prefill")
                .ifPresentOrElse(
                        reason -> answer.accept(Either.left(reason)),
                        () -> mPrefill.submit(ask, answer));
    }

    Either<EngineRefusal, DecodeAttempt> decode(DecodeAsk ask) {
        return refusal(ask.attempt(), "decode")
                .map(Either::<EngineRefusal, DecodeAttempt>left)
                .orElseGet(() -> mDecode.submit(ask));
    }

    Optional<Runnable> export(String attempt, Consumer<KvCache> done) {
        return mPrefill.export(attempt, done);
    }

    Optional<DecodeAttempt> decodeAttempt(String attempt) {
        return mDecode.find(attempt);
    }

    /** Cancels an attempt, also one that has not come yet. */
    void cancel(String attempt) {
        mTombstones.add(attempt);
        if (mTombstones.size() > TOMBSTONE_LIMIT) {
            mTombstones.remove(mTombstones.iterator().next());
        }
        mPrefill.cancel(attempt);
        mDecode.cancel(attempt);
    }

    List<AttemptLine> attempts() {
        Stream<AttemptLine> prefills =
                mPrefill.live().map(a -> new AttemptLine(a.id(), "prefill", a.pieces(), 0, false));
        Stream<AttemptLine> decodes =
                mDecode.known()
                        .map(
                                a ->
                                        new AttemptLine(
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

    /** Applies an order; attempts in flight are cut off if it changes what the engine serves. */
    Either<EngineOrders.Stale, EngineOrders.State> order(EngineOrders.Order order) {
        return mOrders.apply(order, this::cutOff);
    }

    EngineOrders.State state() {
        return mOrders.state();
    }

    int heldPieces() {
        return mMemory.used();
    }

    void refuse(boolean refusing) {
        mRefusing = refusing;
    }

    void stallTransfers(int transfers) {
        mPrefill.stallTransfers(transfers);
    }

    /** Ends all attempts of a crashed model, so that lost prefill work is counted. */
    void lose() {
        mLost = true;
        mPrefill.live().map(PrefillAttempt::id).collect(Collectors.toList()).forEach(this::cancel);
    }

    @Override
    public void changed() {
        mLoad.record(load());
    }

    @Override
    public void crash() {
        if (!mLost) {
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

    private Optional<EngineRefusal> refusal(String attempt, String role) {
        if (mTombstones.contains(attempt)) {
            return Optional.of(EngineRefusal.CANCELLED);
        }
        if (mPrefill.knows(attempt) || mDecode.find(attempt).isPresent()) {
            return Optional.of(EngineRefusal.EXISTS);
        }
        return mRefusing || !mOrders.serves(role)
                ? Optional.of(EngineRefusal.FULL)
                : Optional.empty();
    }

    private void cutOff() {
        List<String> live =
                Stream.concat(
                                mPrefill.live().map(PrefillAttempt::id),
                                mDecode.live().map(DecodeAttempt::id))
                        .collect(Collectors.toList());
        mCounters.cutOff(live.size());
        live.forEach(this::cancel);
    }
}
