package org.cyclamenpaddle.store.codec;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Either;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.config.ConfigurationObject;
import org.cyclamenpaddle.core.config.ConfigurationView;
import org.cyclamenpaddle.core.config.InForceSpec;
import org.cyclamenpaddle.core.config.ObjectKey;
import org.cyclamenpaddle.core.config.ObjectKind;
import org.cyclamenpaddle.core.config.PresetSpec;
import org.cyclamenpaddle.core.config.ServiceSpec;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.ChangeId;
import org.cyclamenpaddle.core.id.PresetName;
import org.cyclamenpaddle.core.id.ServiceName;

/**
 * Encodes and decodes configuration documents, {@code {"changeId", "spec"}}.
 *
 * <p>Decoding is strict: an unknown or duplicate member, a value of another type and a value that
 * its record rejects each give a left value with one sentence that names the member. Thread-safe.
 */
public final class ConfigurationCodec {

    private final JsonMapper mMapper = StrictMapper.create();

    private record StoredDocument(ChangeId changeId, JsonNode spec) {}

    private record SubmittedDocument(JsonNode version, JsonNode changeId, JsonNode spec) {}

    /** Decodes a stored service document, or returns why it is invalid. */
    public Either<String, ServiceSpec> service(String document) {
        return stored(document, ServiceSpec.class);
    }

    /** Decodes a stored backend server document, or returns why it is invalid. */
    public Either<String, BackendSpec> backend(String document) {
        return stored(document, BackendSpec.class);
    }

    /** Decodes a stored preset document, or returns why it is invalid. */
    public Either<String, PresetSpec> preset(String document) {
        return stored(document, PresetSpec.class);
    }

    /** Decodes a stored document that names the preset in force, or returns why it is invalid. */
    public Either<String, InForceSpec> inForce(String document) {
        return stored(document, InForceSpec.class);
    }

    /**
     * Decodes the spec that an operator submitted, or returns why it is invalid.
     *
     * @param key key of the object to write; its name must match the one in the spec
     * @param body {@code {"spec"}}; members {@code version} and {@code changeId} are ignored
     */
    public Either<String, Object> submitted(ObjectKey key, String body) {
        return read(body, SubmittedDocument.class)
                .flatMap(document -> spec(document.spec(), specType(key.kind())))
                .flatMap(spec -> named(key, spec));
    }

    /**
     * Returns the id of the change that wrote a stored document; empty if the document is
     * malformed.
     */
    public Optional<ChangeId> changeId(String document) {
        return read(document, StoredDocument.class).toJavaOptional().map(StoredDocument::changeId);
    }

    /** Returns the spec of a stored document as JSON text; empty if the document is malformed. */
    public Optional<String> specText(String document) {
        return read(document, StoredDocument.class)
                .toJavaOptional()
                .map(stored -> stored.spec().toString());
    }

    /**
     * Encodes the stored document of a spec.
     *
     * @param changeId id of the change that writes it
     * @param spec a service, backend server, preset or in-force spec
     */
    public String encode(ChangeId changeId, Object spec) {
        try {
            return mMapper.writeValueAsString(
                    new StoredDocument(changeId, mMapper.valueToTree(spec)));
        } catch (JsonProcessingException impossible) {
            throw new IllegalArgumentException(
                    "spec " + spec + " can't be encoded as JSON", impossible);
        }
    }

    /** Returns the view of all valid objects; {@link #parse} also reports the others. */
    public ConfigurationView view(Collection<ConfigurationObject> objects) {
        return parse(objects).view();
    }

    /**
     * Decodes a set of objects; tombstones count as absent.
     *
     * <p>An invalid document, or one whose spec has another name than its key, is skipped and
     * reported, so that one invalid object does not affect the others in force.
     */
    public ParsedConfiguration parse(Collection<ConfigurationObject> objects) {
        Map<ObjectKey, Object> specs = new HashMap<>();
        Map<ObjectKey, String> rejected = new HashMap<>();
        for (ConfigurationObject object : objects) {
            object.document()
                    .ifPresent(
                            document ->
                                    stored(document, specType(object.key().kind()))
                                            .flatMap(spec -> named(object.key(), spec))
                                            .peek(spec -> specs.put(object.key(), spec))
                                            .peekLeft(
                                                    reason -> rejected.put(object.key(), reason)));
        }
        return new ParsedConfiguration(viewOf(specs), rejected);
    }

    private static ConfigurationView viewOf(Map<ObjectKey, Object> specs) {
        return new ConfigurationView(
                byName(specs, ObjectKind.SERVICE, ServiceName::new, ServiceSpec.class),
                byName(specs, ObjectKind.BACKEND, BackendId::new, BackendSpec.class),
                byName(specs, ObjectKind.PRESET, PresetName::new, PresetSpec.class),
                Optional.ofNullable(specs.get(ObjectKey.inForce()))
                        .map(spec -> ((InForceSpec) spec).preset()));
    }

    private static <K, V> Map<K, V> byName(
            Map<ObjectKey, Object> specs,
            ObjectKind kind,
            Function<String, K> name,
            Class<V> type) {
        return specs.entrySet().stream()
                .filter(entry -> entry.getKey().kind() == kind)
                .collect(
                        Collectors.toMap(
                                entry -> name.apply(entry.getKey().name()),
                                entry -> type.cast(entry.getValue())));
    }

    private static Class<?> specType(ObjectKind kind) {
        return switch (kind) {
            case SERVICE -> ServiceSpec.class;
            case BACKEND -> BackendSpec.class;
            case PRESET -> PresetSpec.class;
            case IN_FORCE -> InForceSpec.class;
        };
    }

    private static Either<String, Object> named(ObjectKey key, Object spec) {
        String name =
                switch (key.kind()) {
                    case SERVICE -> ((ServiceSpec) spec).name().value();
                    case BACKEND -> ((BackendSpec) spec).id().value();
                    case PRESET -> ((PresetSpec) spec).name().value();
                    case IN_FORCE -> ObjectKey.IN_FORCE_NAME;
                };
        return name.equals(key.name())
                ? Either.right(spec)
                : Either.left("spec of " + key.path() + " has the name '" + name + "'");
    }

    private <T> Either<String, T> stored(String document, Class<T> type) {
        return read(document, StoredDocument.class)
                .flatMap(
                        stored ->
                                stored.changeId() == null
                                        ? Either.left("member 'changeId' is missing")
                                        : spec(stored.spec(), type));
    }

    private <T> Either<String, T> spec(JsonNode spec, Class<T> type) {
        if (spec == null || !spec.isObject()) {
            return Either.left("member 'spec' must be an object");
        }
        Optional<String> invalid = SpecMembers.firstInvalid(spec, type, "spec");
        if (invalid.isPresent()) {
            return Either.left(invalid.get());
        }
        try {
            return Either.right(mMapper.treeToValue(spec, type));
        } catch (JsonProcessingException rejected) {
            return Either.left(reason(rejected));
        }
    }

    private <T> Either<String, T> read(String text, Class<T> type) {
        try {
            return Optional.ofNullable(mMapper.readValue(text, type))
                    .<Either<String, T>>map(Either::right)
                    .orElseGet(() -> Either.left("the document must not be null"));
        } catch (JsonProcessingException rejected) {
            return Either.left(reason(rejected));
        }
    }

    private static String reason(JsonProcessingException rejected) {
        Throwable cause = rejected.getCause();
        String message =
                cause instanceof IllegalArgumentException
                        ? cause.getMessage()
                        : rejected.getOriginalMessage();
        return rejected instanceof JsonMappingException mapping && !mapping.getPath().isEmpty()
                ? "at '" + path(mapping) + "': " + message
                : message;
    }

    private static String path(JsonMappingException mapping) {
        return mapping.getPath().stream()
                .map(
                        step ->
                                step.getFieldName() == null
                                        ? "[" + step.getIndex() + "]"
                                        : step.getFieldName())
                .collect(Collectors.joining("."));
    }
}
