package org.cyclamenpaddle.core.config;

import java.util.List;
import java.util.Optional;
import org.cyclamenpaddle.core.id.ServiceName;

/**
 * Declaration of a service by an operator.
 *
 * @param name name by which callers address the service
 * @param kind model or plain
 * @param model model that engines load; empty for a plain service
 * @param firstTokenMillis target for the time to first token, in milliseconds; 0 if plain
 * @param perTokenMillis target for the time between tokens, in milliseconds; 0 if plain
 * @param kvBytesPerToken bytes of KV cache for each token of the model; 0 if plain
 * @param calls calls of a plain service; empty for a model
 */
public record ServiceSpec(
        ServiceName name,
        ServiceKind kind,
        String model,
        long firstTokenMillis,
        long perTokenMillis,
        long kvBytesPerToken,
        List<PlainCall> calls) {

    public ServiceSpec {
        if (name == null || kind == null) {
            throw new IllegalArgumentException("service needs a name and a kind");
        }
        model = model == null ? "" : model;
        calls = calls == null ? List.of() : List.copyOf(calls);
        if (kind == ServiceKind.MODEL) {
            requireModel(name, model, firstTokenMillis, perTokenMillis);
        } else if (calls.isEmpty()) {
            throw new IllegalArgumentException("plain service " + name + " declares no calls");
        }
        if (kvBytesPerToken < 0) {
            throw new IllegalArgumentException(
                    "KV bytes per token "
                            + kvBytesPerToken
                            + " of "
                            + name
                            + " must not be negative");
        }
    }

    /** Returns the declared call for a method and path. */
    public Optional<PlainCall> call(String method, String path) {
        return calls.stream()
                .filter(call -> call.method().equals(method) && call.path().equals(path))
                .findFirst();
    }

    private static void requireModel(
            ServiceName name, String model, long firstTokenMillis, long perTokenMillis) {
        if (model.isEmpty()) {
            throw new IllegalArgumentException("model service " + name + " names no model");
        }
        if (firstTokenMillis <= 0 || perTokenMillis <= 0) {
            throw new IllegalArgumentException(
                    "targets of service "
                            + name
                            + " must be above 0 ms: first token "
                            + firstTokenMillis
                            + ", per token "
                            + perTokenMillis);
        }
    }
}
