package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.client.RequestOptions;
import com.linecorp.armeria.common.AggregatedHttpResponse;
import com.linecorp.armeria.common.HttpRequest;
import io.vavr.control.Either;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.table.Table;
import org.cyclamenpaddle.core.table.TableOrder;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.engine.http.BackendConnections;
import org.cyclamenpaddle.relay.backend.Backend;
import org.cyclamenpaddle.relay.backend.BackendBoard;
import org.cyclamenpaddle.relay.log.DecisionLog;
import org.cyclamenpaddle.relay.log.RelayEvent;
import org.cyclamenpaddle.relay.wire.EngineMessages;

/**
 * Finds the engines that still hold prompts which were read for this caller before.
 *
 * <p>A loss of power or the end of a host breaks all of its streams, and their callers come back
 * within a second, mostly at other hosts. What engines had read for them still lies in their
 * memories. Not knowing where, hosts had all of it read once more, and the prompt engines were busy
 * for seconds with it. Engines are asked for their lists only when such a request comes, and one
 * answer serves all that come within a second.
 */
public final class KeptPrompts {

    /** How long a list is used, in milliseconds. */
    private static final long FRESH_MILLIS = 1_000;

    /** Longest wait for an engine's list, in milliseconds. */
    private static final long CALL_MILLIS = 150;

    /** Time after a start in which callers may come back that another life had served. */
    private static final long YOUNG_MILLIS = 5_000;

    /** An engine with the tokens that it holds of one part. */
    private record Holder(Backend engine, long tokens) {

        private static Holder better(Holder one, Holder other) {
            return one.tokens >= other.tokens ? one : other;
        }
    }

    private record Listing(long readMillis, CompletableFuture<Map<String, Holder>> holders) {}

    private final BackendBoard mBoard;
    private final BackendConnections mConnections;
    private final EngineMessages mMessages;
    private final DecisionLog mLog;
    private final Clock mClock;
    private final long mStartMillis;
    private final Table<Map<ServiceName, Listing>> mListings =
            new Table<>(TableOrder.KEPT_PROMPTS, new HashMap<>());

    /** Creates the finder of a process that starts now. */
    public KeptPrompts(
            BackendBoard board,
            BackendConnections connections,
            EngineMessages messages,
            DecisionLog log,
            Clock clock) {
        mBoard = board;
        mConnections = connections;
        mMessages = messages;
        mLog = log;
        mClock = clock;
        mStartMillis = clock.millis();
    }

    /** Returns whether an engine may hold the prompt of a request that has just come. */
    boolean mayBeHeld(RelayRequest request) {
        boolean young = mClock.millis() - mStartMillis < YOUNG_MILLIS;
        return request.engine().isPresent()
                && request.caller().ownPart().isPresent()
                && (young || request.caller().resumeAfter().isPresent());
    }

    /** Returns the engine that holds most of a request's own part of its prompt. */
    CompletableFuture<Optional<Backend>> holder(RelayRequest request) {
        String part = request.caller().ownPart().orElseThrow();
        return holders(request.service())
                .thenApply(holders -> Optional.ofNullable(holders.get(part)).map(Holder::engine));
    }

    private CompletableFuture<Map<String, Holder>> holders(ServiceName service) {
        long now = mClock.millis();
        Optional<Listing> fresh =
                mListings
                        .read(listings -> Optional.ofNullable(listings.get(service)))
                        .filter(listing -> now - listing.readMillis() < FRESH_MILLIS);
        if (fresh.isPresent()) {
            return fresh.get().holders();
        }
        Listing read = new Listing(now, read(mBoard.usable(service)));
        mListings.write(listings -> listings.put(service, read));
        return read.holders();
    }

    private CompletableFuture<Map<String, Holder>> read(List<Backend> engines) {
        return engines.stream()
                .map(this::read)
                .reduce(
                        CompletableFuture.completedFuture(Map.of()),
                        (all, next) -> all.thenCombine(next, KeptPrompts::merged));
    }

    private CompletableFuture<Map<String, Holder>> read(Backend engine) {
        return mConnections
                .keptClient(engine.address(), engine.port())
                .execute(
                        HttpRequest.of(mMessages.keptParts(engine)),
                        RequestOptions.builder().responseTimeoutMillis(CALL_MILLIS).build())
                .aggregate()
                .handle((answer, failure) -> held(engine, answer, failure));
    }

    private Map<String, Holder> held(
            Backend engine, AggregatedHttpResponse answer, Throwable failure) {
        Either<String, Map<String, Long>> parts =
                failure == null
                        ? mMessages.keptParts(answer)
                        : Either.left(String.valueOf(failure));
        parts.peekLeft(cause -> mLog.log(RelayEvent.REPORT_NOT_READ, engine.id(), cause));
        Map<String, Holder> holders = new HashMap<>();
        parts.getOrElse(Map.of())
                .forEach((part, tokens) -> holders.put(part, new Holder(engine, tokens)));
        return holders;
    }

    private static Map<String, Holder> merged(Map<String, Holder> one, Map<String, Holder> other) {
        Map<String, Holder> all = new HashMap<>(one);
        other.forEach((part, holder) -> all.merge(part, holder, Holder::better));
        return all;
    }
}
