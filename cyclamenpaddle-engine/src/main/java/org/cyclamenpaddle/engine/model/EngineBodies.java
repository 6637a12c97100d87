package org.cyclamenpaddle.engine.model;

import io.vavr.control.Either;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Supplier;
import org.cyclamenpaddle.core.config.BackendRole;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.ServiceName;

/** JSON bodies of the engine protocol, before validation. */
final class EngineBodies {

    private static final int HEX_RADIX = 16;

    private EngineBodies() {}

    record PrefillRequest(
            String attempt, String prompt, List<String> prior, int priority, long timeoutMillis) {
        static PrefillRequest of(PrefillCall call) {
            return new PrefillRequest(
                    call.attempt().value(),
                    call.prompt(),
                    call.prior(),
                    call.priority(),
                    call.timeoutMillis());
        }
    }

    record PrefillResponse(
            String attempt, int tokens, int cachedTokens, int pieces, long resultMillis) {
        Either<EngineFailure, PrefillResult> result() {
            return checked(
                    () ->
                            new PrefillResult(
                                    new AttemptId(attempt),
                                    tokens,
                                    cachedTokens,
                                    pieces,
                                    resultMillis));
        }
    }

    record DecodeSource(String address, int port, String attempt) {}

    record DecodeRequest(
            String attempt,
            DecodeSource source,
            int firstIndex,
            int maxTokens,
            int priority,
            long transferMillis) {
        static DecodeRequest of(DecodeCall call) {
            PrefillSource source = call.source();
            return new DecodeRequest(
                    call.attempt().value(),
                    new DecodeSource(source.address(), source.port(), source.attempt().value()),
                    call.firstIndex(),
                    call.maxTokens(),
                    call.priority(),
                    call.transferMillis());
        }
    }

    record CancelResponse(Integer heldPieces) {
        boolean confirms() {
            return heldPieces != null && heldPieces == 0;
        }
    }

    record AttemptsResponse(List<AttemptEntry> attempts) {
        Either<EngineFailure, List<EngineAttempt>> result() {
            return checked(
                    () ->
                            attempts.stream()
                                    .map(AttemptEntry::typed)
                                    .flatMap(Optional::stream)
                                    .toList());
        }
    }

    record AttemptEntry(String attempt, String role, int pieces, int nextIndex, boolean ended) {
        // An attempt of another client may have an id that is invalid in this system. Failing on it
        // would hide all other attempts from the owner, which could then free no memory. So it is
        // skipped; it could not be cancelled by that id anyway.
        private Optional<EngineAttempt> typed() {
            try {
                return Optional.of(
                        new EngineAttempt(new AttemptId(attempt), role, pieces, nextIndex, ended));
            } catch (IllegalArgumentException foreign) {
                return Optional.empty();
            }
        }
    }

    record CacheEventsResponse(long lastSequence, List<CacheEventEntry> events) {
        Either<EngineFailure, CacheEvents> result() {
            return checked(
                    () ->
                            new CacheEvents(
                                    lastSequence,
                                    events.stream().map(CacheEventEntry::typed).toList()));
        }
    }

    record CacheEventEntry(long sequence, CacheEventKind kind, String hash) {
        private CacheEvents.CacheEvent typed() {
            if (kind == null) {
                throw new IllegalArgumentException("cache event " + sequence + " must have a kind");
            }
            return new CacheEvents.CacheEvent(
                    sequence,
                    kind == CacheEventKind.STORED,
                    Long.parseUnsignedLong(hash, HEX_RADIX));
        }
    }

    enum CacheEventKind {
        @com.fasterxml.jackson.annotation.JsonProperty("stored")
        STORED,
        @com.fasterxml.jackson.annotation.JsonProperty("evicted")
        EVICTED
    }

    record OrderRequest(long fence, String service, String model, String role, long timeoutMillis) {
        static OrderRequest of(EngineOrder order) {
            return new OrderRequest(
                    order.fence(),
                    order.service().value(),
                    order.model(),
                    order.role().code(),
                    order.timeoutMillis());
        }
    }

    record StateResponse(
            String service,
            String model,
            String role,
            long fence,
            boolean busy,
            Boolean servesUnordered) {
        Either<EngineFailure, EngineState> result() {
            return checked(
                    () ->
                            new EngineState(
                                    text(service).map(ServiceName::new),
                                    text(model),
                                    text(role)
                                            .map(code -> code.toUpperCase(Locale.ROOT))
                                            .map(BackendRole::valueOf),
                                    fence,
                                    busy,
                                    Boolean.TRUE.equals(servesUnordered)));
        }
    }

    private static Optional<String> text(String value) {
        return Optional.ofNullable(value).filter(text -> !text.isEmpty());
    }

    private static <T> Either<EngineFailure, T> checked(Supplier<T> typed) {
        try {
            return Either.right(typed.get());
        } catch (IllegalArgumentException | NullPointerException malformed) {
            return Either.left(new EngineFailure.Protocol(String.valueOf(malformed)));
        }
    }
}
