package org.cyclamenpaddle.router.booking;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.cyclamenpaddle.core.config.PlainCall;
import org.cyclamenpaddle.core.config.ServiceSpec;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.RequestId;
import org.cyclamenpaddle.core.message.ClaimRequest;
import org.cyclamenpaddle.core.message.ClaimResponse;
import org.cyclamenpaddle.core.message.PeerMessage;
import org.cyclamenpaddle.fleet.claim.BookingMachine;
import org.cyclamenpaddle.fleet.claim.BookingReply;
import org.cyclamenpaddle.fleet.claim.BookingSettings;
import org.cyclamenpaddle.fleet.claim.BookingTable;
import org.cyclamenpaddle.fleet.claim.ClaimKey;
import org.cyclamenpaddle.fleet.claim.ClaimRecord;
import org.cyclamenpaddle.fleet.claim.ClaimState;
import org.cyclamenpaddle.fleet.claim.RequestFingerprint;
import org.cyclamenpaddle.router.worker.SerialExecutor;

/**
 * The keyed calls of this host: at most one run by key.
 *
 * <p>All of them pass through one serial executor, since an ask about a key reads the machines of
 * other calls. They are few beside model requests, and their work is short.
 */
public final class Bookings {

    private static final int MOST_KEPT = 20_000;

    private final BookingServices mServices;
    private final long mRetentionMillis;
    private final BookingTable mTable;
    private final SerialExecutor mSerial;
    private final AtomicInteger mOpen = new AtomicInteger();

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
     * @param retentionMillis how long claims are kept, and so callers may send a call again
     */
    public Bookings(BookingServices services, long retentionMillis) {
        mServices = services;
        mRetentionMillis = retentionMillis;
        mTable = new BookingTable(MOST_KEPT, retentionMillis);
        mSerial = new SerialExecutor(services.workers());
    }

    /** Starts a keyed call; the future never fails. */
    public CompletableFuture<BookingReply> start(KeyedCall call) {
        long now = mServices.clock().millis();
        BookingMachine machine =
                new BookingMachine(
                        claim(call), BookingSettings.DEFAULTS, now + call.call().timeoutMillis());
        BookingRun run = new BookingRun(call, mServices, machine, mSerial, this::answer);
        mOpen.incrementAndGet();
        mSerial.execute(
                () -> {
                    mTable.add(machine, now);
                    run.start();
                });
        return run.reply().whenComplete((reply, failure) -> mOpen.decrementAndGet());
    }

    /** Answers a peer that met a claim of this host, or that can't read claims. */
    public CompletableFuture<PeerMessage> onClaimRequest(ClaimRequest ask) {
        CompletableFuture<PeerMessage> answer = new CompletableFuture<>();
        mSerial.execute(() -> answer.complete(answer(ask, Optional.empty())));
        return answer;
    }

    /** Lets what waits for the platform try again. */
    public void tick() {
        mServices.claims().tick();
    }

    /** Returns calls without an answer, and outcomes that the platform has not kept yet. */
    public int pending() {
        return mOpen.get() + mServices.claims().pending();
    }

    private ClaimRecord claim(KeyedCall call) {
        return new ClaimRecord(
                new ClaimKey(call.service().name(), call.key()),
                RequestFingerprint.of(call.call().method(), call.pathAndQuery(), call.body()),
                mServices.newAttempt().get(),
                ClaimState.CLAIMED,
                mServices.epochMillis().getAsLong());
    }

    private ClaimResponse answer(ClaimRequest ask, Optional<AttemptId> asking) {
        return mTable.claimResponse(
                new ClaimKey(ask.service(), ask.key()),
                asking,
                mServices.claimHolders().hostLostWithin(mRetentionMillis),
                mServices.clock().millis());
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
