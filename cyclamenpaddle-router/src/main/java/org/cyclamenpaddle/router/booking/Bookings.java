package org.cyclamenpaddle.router.booking;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.cyclamenpaddle.core.config.PlainCall;
import org.cyclamenpaddle.core.config.ServiceSpec;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.RequestId;
import org.cyclamenpaddle.core.message.ClaimAnswer;
import org.cyclamenpaddle.core.message.ClaimAsk;
import org.cyclamenpaddle.core.message.PeerMessage;
import org.cyclamenpaddle.fleet.claim.BookingMachine;
import org.cyclamenpaddle.fleet.claim.BookingReply;
import org.cyclamenpaddle.fleet.claim.BookingSettings;
import org.cyclamenpaddle.fleet.claim.ClaimKey;
import org.cyclamenpaddle.fleet.claim.ClaimRecord;
import org.cyclamenpaddle.fleet.claim.ClaimState;
import org.cyclamenpaddle.fleet.claim.RequestFingerprint;

/**
 * The keyed calls of this host: at most one run by key.
 *
 * <p>Machines of ended calls are kept, bounded in number, since a resend at another host asks the
 * claimer for the answer. One that was dropped answers "unknown".
 */
public final class Bookings {

    private static final int MOST_KEPT = 20_000;

    private final BookingServices mServices;
    private final AtomicInteger mOpen = new AtomicInteger();
    private final Map<ClaimKey, BookingRun> mRuns =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<ClaimKey, BookingRun> eldest) {
                    return size() > MOST_KEPT && eldest.getValue().finished();
                }
            };

    /**
     * A keyed call as the front parsed it.
     *
     * @param request identity given by the front
     * @param service the plain service
     * @param call the declared call
     * @param key the caller's Idempotency-Key
     * @param pathAndQuery path and query below the service
     * @param contentType media type of the body, if said
     * @param body the body
     */
    public record KeyedCall(
            RequestId request,
            ServiceSpec service,
            PlainCall call,
            String key,
            String pathAndQuery,
            Optional<String> contentType,
            byte[] body) {}

    /**
     * Creates the bookings of a host that has none yet.
     *
     * @param services what runs use
     */
    public Bookings(BookingServices services) {
        mServices = services;
    }

    /** Starts a keyed call; the future never fails. */
    public CompletableFuture<BookingReply> start(KeyedCall call) {
        ClaimKey key = new ClaimKey(call.service().name(), call.key());
        AttemptId attempt = mServices.newAttempt().get();
        ClaimRecord claim =
                new ClaimRecord(
                        key,
                        RequestFingerprint.of(
                                call.call().method(), call.pathAndQuery(), call.body()),
                        attempt,
                        ClaimState.CLAIMED,
                        mServices.epochMillis().getAsLong());
        long deadline = mServices.clock().millis() + call.call().timeoutMillis();
        BookingRun run =
                new BookingRun(
                        call,
                        mServices,
                        new BookingMachine(claim, BookingSettings.DEFAULTS, deadline),
                        this::answer);
        mOpen.incrementAndGet();
        return run.start(() -> keep(key, run))
                .whenComplete((reply, failure) -> mOpen.decrementAndGet());
    }

    /** Answers a peer, or this host itself, that met a claim of this host. */
    public CompletableFuture<PeerMessage> onClaimAsk(ClaimAsk ask) {
        return answer(ask).thenApply(answer -> answer);
    }

    /** Lets what waits for the platform try again. */
    public void tick() {
        mServices.claims().tick();
    }

    /** Returns calls without an answer, and outcomes that the platform has not kept yet. */
    public int open() {
        return mOpen.get() + mServices.claims().pending();
    }

    private CompletableFuture<ClaimAnswer> answer(ClaimAsk ask) {
        return run(new ClaimKey(ask.service(), ask.key()))
                .map(BookingRun::answer)
                .orElseGet(
                        () ->
                                CompletableFuture.completedFuture(
                                        new ClaimAnswer(
                                                ClaimAnswer.State.UNKNOWN, Optional.empty())));
    }

    private synchronized Optional<BookingRun> run(ClaimKey key) {
        return Optional.ofNullable(mRuns.get(key));
    }

    /** The run that holds the claim answers for the key; one that only asked must not hide it. */
    private synchronized void keep(ClaimKey key, BookingRun run) {
        mRuns.remove(key);
        mRuns.put(key, run);
    }

    /** Returns the text of a body that keeps each of its bytes. */
    static String text(byte[] body) {
        return new String(body, StandardCharsets.ISO_8859_1);
    }

    /** Returns the bytes of a text made by {@link #text}. */
    public static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
