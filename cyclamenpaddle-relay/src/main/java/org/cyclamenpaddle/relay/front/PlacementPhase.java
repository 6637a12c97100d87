package org.cyclamenpaddle.relay.front;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.BackendQuery;
import org.cyclamenpaddle.relay.backend.SendOutcome;
import org.cyclamenpaddle.relay.wire.PromptHandle;

/**
 * Finds a server for one send of a request and prefills its prompt, if it is a generation.
 *
 * <p>Owns the search, the reservation and the prefill until the listener is notified; {@link
 * #cancel} releases what is held until then. All methods run on the event loop of the caller's
 * connection.
 */
final class PlacementPhase {

    /** Notified once of the result, unless the phase is cancelled. */
    interface Listener {

        /** Called when the request can be sent. */
        void placed(Placed placed);

        /** Called when no server can take the request. */
        void notPlaced(String reason);
    }

    /**
     * Server for a send, with what is held for the request on it and elsewhere.
     *
     * @param backend server that will run the request
     * @param reservation name of the reservation there; empty if none is needed
     * @param prefillEngine engine that was to prefill the prompt; empty if the server does
     * @param prompt handle of the prefilled prompt; empty if there is none
     * @param reservedMillis clock reading at which the reservation was granted; empty if none is
     *     needed
     */
    record Placed(
            Backend backend,
            Optional<String> reservation,
            Optional<Backend> prefillEngine,
            Optional<PromptHandle> prompt,
            OptionalLong reservedMillis) {

        /** Returns a placement on a server without a prefilled prompt. */
        static Placed on(Backend backend, Optional<String> reservation) {
            return new Placed(
                    backend, reservation, Optional.empty(), Optional.empty(), OptionalLong.empty());
        }

        /** Releases the reservation, the prompt and the place of a request that is not sent. */
        void release(RelayContext relay, RelayRequest request) {
            releaseMemory(relay);
            relay.registry()
                    .recordOutcome(
                            backend,
                            request.caller().size(),
                            true,
                            SendOutcome.ABANDONED,
                            relay.clock().millis());
        }

        /** Releases the reservation and the prompt of a request that has not left this host. */
        void releaseMemory(RelayContext relay) {
            reservation.ifPresent(name -> ReserveCall.cancel(relay, backend, name));
            releasePrompt(relay);
        }

        /** Releases the engine memory that the server has not used in an attempt. */
        void releaseUnused(RelayContext relay, SendOutcome outcome) {
            if (outcome.unsent()) {
                releaseMemory(relay);
            } else if (!outcome.mayHaveRun()) {
                releasePrompt(relay);
            }
        }

        /** Releases the prefilled prompt, which no server will fetch. */
        void releasePrompt(RelayContext relay) {
            prefillEngine.ifPresent(
                    engine ->
                            prompt.ifPresent(
                                    handle ->
                                            ReserveCall.sendIgnoringFailure(
                                                    relay,
                                                    engine,
                                                    relay.engineMessages()
                                                            .release(engine, handle))));
        }

        private Placed with(Optional<PromptHandle> handle) {
            return new Placed(backend, reservation, prefillEngine, handle, reservedMillis);
        }
    }

    private final RelayContext mRelay;
    private final RelayRequest mRequest;
    private final Predicate<BackendId> mFitsAt;
    private final EventLoop mLoop;
    private final BackendQuery mQuery;
    private final boolean mSentBefore;
    private final BooleanSupplier mRetryBudget;
    private final CrashGuard mCrashGuard;
    private final ReachedServers mReached;
    private final Consumer<SearchInputs> mSearched;
    private final Listener mListener;
    private Optional<BackendSearch> mSearch = Optional.empty();
    private Optional<PrefillExchange> mPrefill = Optional.empty();
    private Optional<Placed> mReserved = Optional.empty();
    private boolean mPrefillCounted;

    /**
     * Creates the phase; {@link #start} starts it.
     *
     * @param bytes bytes held for the request
     * @param query what the request needs of a server
     * @param sentBefore whether the request was sent to a server before
     * @param retryBudget takes one retry from the shared budget; false if there is none left
     * @param crashGuard decides whether the request may be sent
     * @param reached servers to which the request was sent
     * @param searched gets the inputs of a search for engine memory when it has ended
     */
    PlacementPhase(
            RelayContext relay,
            RelayRequest request,
            Predicate<BackendId> fitsAt,
            EventLoop loop,
            BackendQuery query,
            boolean sentBefore,
            BooleanSupplier retryBudget,
            CrashGuard crashGuard,
            ReachedServers reached,
            Consumer<SearchInputs> searched,
            Listener listener) {
        mRelay = relay;
        mRequest = request;
        mLoop = loop;
        mFitsAt = fitsAt;
        mQuery = query;
        mSentBefore = sentBefore;
        mRetryBudget = retryBudget;
        mCrashGuard = crashGuard;
        mReached = reached;
        mSearched = searched;
        mListener = listener;
    }

    /**
     * Starts the search.
     *
     * @param timeoutMillis clock reading at which the request times out
     */
    void start(long timeoutMillis) {
        if (!mRequest.fitsEngine()) {
            mListener.notPlaced("larger than the memory of an engine");
            return;
        }
        BackendSearch search =
                mRequest.engine().isPresent()
                        ? new ReservationSearch(
                                mRelay,
                                mRequest,
                                mLoop,
                                mQuery,
                                mSentBefore,
                                found -> reserved(found, timeoutMillis))
                        : new PlainSearch(mRelay, mLoop, mQuery, this::serverFound);
        mSearch = Optional.of(search);
        search.find();
    }

    /** Ends the phase and releases what it holds. */
    void cancel() {
        mPrefill.ifPresent(PrefillExchange::cancel);
        mPrefill = Optional.empty();
        mReserved.ifPresent(placed -> placed.release(mRelay, mRequest));
        mReserved = Optional.empty();
        mSearch.ifPresent(BackendSearch::cancel);
        mSearch = Optional.empty();
    }

    private void serverFound(Optional<Backend> found) {
        mSearch = Optional.empty();
        if (found.isEmpty()) {
            mListener.notPlaced(reason("no backend server available"));
        } else {
            mListener.placed(Placed.on(found.get(), Optional.empty()));
        }
    }

    private void reserved(Optional<ReservationSearch.Placement> found, long timeoutMillis) {
        Optional<SearchInputs> inputs = mSearch.flatMap(BackendSearch::inputs);
        inputs.ifPresent(mSearched);
        mSearch = Optional.empty();
        if (found.isEmpty()) {
            boolean reachedNone = inputs.map(SearchInputs::reachedNone).orElse(false);
            mListener.notPlaced(
                    reason(reachedNone ? "no engine was reached" : "no engine has room"));
            return;
        }
        long now = mRelay.clock().millis();
        Backend engine = found.get().backend();
        Placed placed =
                new Placed(
                        engine,
                        found.get().reservation(),
                        mRelay.registry()
                                .selectPrefillEngine(engine, mRequest.caller().size(), now)
                                .filter(this::prefillFits),
                        Optional.empty(),
                        OptionalLong.of(now));
        // A quarantine may have begun during the search.
        if (placed.prefillEngine().isEmpty() || !mCrashGuard.mayRun() || !mayPrefill()) {
            placed.prefillEngine().ifPresent(this::releasePrefillEngine);
            mListener.placed(placed);
            return;
        }
        PrefillExchange prefill =
                new PrefillExchange(
                        mRelay,
                        mRequest,
                        placed.prefillEngine().get(),
                        engine,
                        mCrashGuard,
                        mReached,
                        this::prefillEnded);
        mPrefill = Optional.of(prefill);
        mReserved = Optional.of(placed);
        prefill.start(mLoop, Math.max(0, timeoutMillis - now));
    }

    /**
     * Takes a retry for the prefill of a request that was sent before, which its engine counts as a
     * further arrival, and returns whether there was one. Without one the decode engine prefills
     * the prompt itself, as part of a send that is paid for.
     */
    private boolean mayPrefill() {
        mPrefillCounted = mSentBefore;
        return !mSentBefore || mRetryBudget.getAsBoolean();
    }

    /**
     * Returns whether the body fits at a prefill engine. If it does not, the decode engine prefills
     * the prompt itself.
     */
    private boolean prefillFits(Backend engine) {
        boolean fits = mFitsAt.test(engine.id());
        if (!fits) {
            BytesRefusal.ofServer(mRelay, mRequest, engine.id());
            releasePrefillEngine(engine);
        }
        return fits;
    }

    private void releasePrefillEngine(Backend engine) {
        mRelay.registry()
                .recordOutcome(
                        engine,
                        mRequest.caller().size(),
                        false,
                        SendOutcome.ABANDONED,
                        mRelay.clock().millis());
    }

    private void prefillEnded(Optional<PromptHandle> handle) {
        boolean rejected = mPrefill.map(PrefillExchange::rejected).orElse(false);
        Placed placed = mReserved.orElseThrow();
        mPrefill = Optional.empty();
        mReserved = Optional.empty();
        if (rejected && !mPrefillCounted && !mRetryBudget.getAsBoolean()) {
            placed.release(mRelay, mRequest);
            mListener.notPlaced("prefill engine full, retry budget empty");
            return;
        }
        mListener.placed(placed.with(handle));
    }

    private String reason(String otherwise) {
        boolean limited =
                mRelay.registry()
                        .directives()
                        .waitMillis(mQuery, mRelay.clock().millis())
                        .isPresent();
        return limited ? "all backend servers ask for fewer requests" : otherwise;
    }
}
