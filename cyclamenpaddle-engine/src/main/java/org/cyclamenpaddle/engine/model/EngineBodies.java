package org.cyclamenpaddle.engine.model;

import io.vavr.control.Either;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Supplier;
import org.cyclamenpaddle.core.config.BackendRole;
import org.cyclamenpaddle.core.id.AttemptId;
import org.cyclamenpaddle.core.id.ServiceName;

/** Bodies of the engine protocol as they are in JSON, before their checks. */
final class EngineBodies {

    private static final int HEX = 16;

    private EngineBodies() {}

    record PrefillAsk(
            String attempt, String prompt, List<String> prior, int priority, long timeoutMillis) {
        static PrefillAsk of(PrefillCall call) {
            return new PrefillAsk(
                    call.attempt().value(),
                    call.prompt(),
                    call.prior(),
                    call.priority(),
                    call.timeoutMillis());
        }
    }

    record PrefillAnswer(
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

    record SourceAsk(String address, int port, String attempt) {}

    record DecodeAsk(
            String attempt,
            SourceAsk source,
            int firstIndex,
            int maxTokens,
            int priority,
            long transferMillis) {
        static DecodeAsk of(DecodeCall call) {
            PrefillSource source = call.source();
            return new DecodeAsk(
                    call.attempt().value(),
                    new SourceAsk(source.address(), source.port(), source.attempt().value()),
                    call.firstIndex(),
                    call.maxTokens(),
                    call.priority(),
                    call.transferMillis());
        }
    }

    record CancelAnswer(Integer heldPieces) {
        boolean confirms() {
            return heldPieces != null && heldPieces == 0;
        }
    }

    record AttemptsAnswer(List<AttemptAnswer> attempts) {
        Either<EngineFailure, List<EngineAttempt>> result() {
            return checked(
                    () ->
                            attempts.stream()
                                    .map(AttemptAnswer::typed)
                                    .flatMap(Optional::stream)
                                    .toList());
        }
    }

    record AttemptAnswer(String attempt, String role, int pieces, int nextIndex, boolean ended) {
        // Failure: an attempt of another client bears an id that none of this system can have, and
        // hides every other one from the owner, which could free no memory any more. So it is left
        // out; it could not be cancelled by that id anyway.
        private Optional<EngineAttempt> typed() {
            try {
                return Optional.of(
                        new EngineAttempt(new AttemptId(attempt), role, pieces, nextIndex, ended));
            } catch (IllegalArgumentException foreign) {
                return Optional.empty();
            }
        }
    }

    record CacheEventsAnswer(long lastSequence, List<CacheEventAnswer> events) {
        Either<EngineFailure, CacheEvents> result() {
            return checked(
                    () ->
                            new CacheEvents(
                                    lastSequence,
                                    events.stream().map(CacheEventAnswer::typed).toList()));
        }
    }

    record CacheEventAnswer(long sequence, CacheEventKind kind, String hash) {
        private CacheEvents.CacheEvent typed() {
            if (kind == null) {
                throw new IllegalArgumentException("cache event " + sequence + " lacks a kind");
            }
            return new CacheEvents.CacheEvent(
                    sequence, kind == CacheEventKind.STORED, Long.parseUnsignedLong(hash, HEX));
        }
    }

    enum CacheEventKind {
        @com.fasterxml.jackson.annotation.JsonProperty("stored")
        STORED,
        @com.fasterxml.jackson.annotation.JsonProperty("evicted")
        EVICTED
    }

    record OrderAsk(long fence, String service, String model, String role, long timeoutMillis) {
        static OrderAsk of(EngineOrder order) {
            return new OrderAsk(
                    order.fence(),
                    order.service().value(),
                    order.model(),
                    order.role().code(),
                    order.timeoutMillis());
        }
    }

    record StateAnswer(
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
