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
 * Runs the keyed calls of this host, at most once per key.
 *
 * <p>All calls share one serial executor, since a query for a key reads the state machines of other
 * calls. Keyed calls are few compared with model requests, and their work is short.
 */
public final class Bookings {

    private static final int MAX_RETAINED_BOOKINGS = 20_000;

    private final BookingServices mServices;
    private final long mRetentionMillis;
    private final BookingTable mTable;
    private final SerialExecutor mSerial;
    private final AtomicInteger mInFlight = new AtomicInteger();

    /**
     * A keyed call as parsed by the HTTP front end.
     *
     * @param request identifier assigned by the HTTP front end
     * @param service the plain service
     * @param call the declared call
     * @param key the caller's Idempotency-Key
     * @param pathAndQuery path and query below the service
     * @param contentType media type of the body, if given
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
     * Creates an instance without calls.
     *
     * @param services services used by every call
     * @param retentionMillis how long claims are retained, and so for how long callers may resend a
     *     call
     */
    public Bookings(BookingServices services, long retentionMillis) {
        mServices = services;
        mRetentionMillis = retentionMillis;
        mTable = new BookingTable(MAX_RETAINED_BOOKINGS, retentionMillis);
        mSerial = new SerialExecutor(services.workers());
    }

    /** Starts a keyed call; the future never completes exceptionally. */
    public CompletableFuture<BookingReply> start(KeyedCall call) {
        long now = mServices.clock().millis();
        BookingMachine machine =
                new BookingMachine(
                        claim(call), BookingSettings.DEFAULTS, now + call.call().timeoutMillis());
        KeyedCallRun run = new KeyedCallRun(call, mServices, machine, mSerial, this::lookUp);
        mInFlight.incrementAndGet();
        mSerial.execute(
                () -> {
                    mTable.add(machine, now);
                    run.start();
                });
        return run.reply().whenComplete((reply, failure) -> mInFlight.decrementAndGet());
    }

    /** Responds to a peer that found a claim of this host, or that cannot read claims. */
    public CompletableFuture<PeerMessage> onClaimRequest(ClaimRequest request) {
        CompletableFuture<PeerMessage> response = new CompletableFuture<>();
        mSerial.execute(() -> response.complete(lookUp(request, Optional.empty())));
        return response;
    }

    /** Retries changes that wait for the platform. */
    public void tick() {
        mServices.claims().tick();
    }

    /**
     * Returns the number of in-flight calls plus the claim changes not yet confirmed by the
     * platform.
     */
    public int pending() {
        return mInFlight.get() + mServices.claims().pending();
    }

    private ClaimRecord claim(KeyedCall call) {
        return new ClaimRecord(
                new ClaimKey(call.service().name(), call.key()),
                RequestFingerprint.of(call.call().method(), call.pathAndQuery(), call.body()),
                mServices.newAttempt().get(),
                ClaimState.CLAIMED,
                mServices.epochMillis().getAsLong());
    }

    private ClaimResponse lookUp(ClaimRequest request, Optional<AttemptId> querying) {
        return mTable.claimResponse(
                new ClaimKey(request.service(), request.key()),
                querying,
                mServices.claimHolders().hostLostWithin(mRetentionMillis),
                mServices.clock().millis());
    }

    /** Encodes a body losslessly as text, one character per byte. */
    static String text(byte[] body) {
        return new String(body, StandardCharsets.ISO_8859_1);
    }

    /** Decodes a text encoded by {@link #text}. */
    public static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }
}
