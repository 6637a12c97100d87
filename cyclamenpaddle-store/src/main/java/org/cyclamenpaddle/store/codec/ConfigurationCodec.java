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
 * Converts configuration documents, {@code {"changeId", "spec"}}, to typed specs and back.
 *
 * <p>Strict: an unknown or doubled member, a value of another type and a value that its record
 * refuses all give a left value with one sentence that names the member. Thread-safe.
 */
public final class ConfigurationCodec {

    private final JsonMapper mMapper = StrictMapper.create();

    private record StoredDocument(ChangeId changeId, JsonNode spec) {}

    private record SubmittedDocument(JsonNode version, JsonNode changeId, JsonNode spec) {}

    /** Returns the service in a stored document, or what is wrong with it. */
    public Either<String, ServiceSpec> service(String document) {
        return stored(document, ServiceSpec.class);
    }

    /** Returns the backend server in a stored document, or what is wrong with it. */
    public Either<String, BackendSpec> backend(String document) {
        return stored(document, BackendSpec.class);
    }

    /** Returns the preset in a stored document, or what is wrong with it. */
    public Either<String, PresetSpec> preset(String document) {
        return stored(document, PresetSpec.class);
    }

    /** Returns the naming of the preset in force in a stored document, or what is wrong with it. */
    public Either<String, InForceSpec> inForce(String document) {
        return stored(document, InForceSpec.class);
    }

    /**
     * Returns the typed spec in what an operator submitted, or what is wrong with it.
     *
     * @param key the object to write; its name must be the one in the spec
     * @param body {@code {"spec"}}; members {@code version} and {@code changeId} are ignored
     */
    public Either<String, Object> submitted(ObjectKey key, String body) {
        return read(body, SubmittedDocument.class)
                .flatMap(document -> spec(document.spec(), specType(key.kind())))
                .flatMap(spec -> named(key, spec));
    }

    /** Returns the change that wrote a stored document; empty if the document is no such one. */
    public Optional<ChangeId> changeId(String document) {
        return read(document, StoredDocument.class).toJavaOptional().map(StoredDocument::changeId);
    }

    /** Returns the spec of a stored document as JSON text; empty if it is malformed. */
    public Optional<String> specText(String document) {
        return read(document, StoredDocument.class)
                .toJavaOptional()
                .map(stored -> stored.spec().toString());
    }

    /**
     * Returns the stored document of a spec.
     *
     * @param changeId the change that writes it
     * @param spec a service, backend server, preset or in-force spec
     */
    public String encode(ChangeId changeId, Object spec) {
        try {
            return mMapper.writeValueAsString(
                    new StoredDocument(changeId, mMapper.valueToTree(spec)));
        } catch (JsonProcessingException impossible) {
            throw new IllegalArgumentException("spec " + spec + " has no document", impossible);
        }
    }

    /** Returns the view of all objects that can be parsed; see {@link #parse} for the others. */
    public ConfigurationView view(Collection<ConfigurationObject> objects) {
        return parse(objects).view();
    }

    /**
     * Parses a set of objects; tombstones count as absent.
     *
     * <p>A document that fails to parse, or whose spec bears another name than its key, is left out
     * and reported, so that one bad object takes no other out of force.
     */
    public ParsedConfiguration parse(Collection<ConfigurationObject> objects) {
        Map<ObjectKey, Object> specs = new HashMap<>();
        Map<ObjectKey, String> refused = new HashMap<>();
        for (ConfigurationObject object : objects) {
            object.document()
                    .ifPresent(
                            document ->
                                    stored(document, specType(object.key().kind()))
                                            .flatMap(spec -> named(object.key(), spec))
                                            .peek(spec -> specs.put(object.key(), spec))
                                            .peekLeft(why -> refused.put(object.key(), why)));
        }
        return new ParsedConfiguration(viewOf(specs), refused);
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
                : Either.left("spec of " + key.path() + " bears the name '" + name + "'");
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
        Optional<String> wrong = SpecMembers.firstWrong(spec, type, "spec");
        if (wrong.isPresent()) {
            return Either.left(wrong.get());
        }
        try {
            return Either.right(mMapper.treeToValue(spec, type));
        } catch (JsonProcessingException refused) {
            return Either.left(reason(refused));
        }
    }

    private <T> Either<String, T> read(String text, Class<T> type) {
        try {
            return Optional.ofNullable(mMapper.readValue(text, type))
                    .<Either<String, T>>map(Either::right)
                    .orElseGet(() -> Either.left("the document is null"));
        } catch (JsonProcessingException refused) {
            return Either.left(reason(refused));
        }
    }

    private static String reason(JsonProcessingException refused) {
        Throwable cause = refused.getCause();
        String message =
                cause instanceof IllegalArgumentException
                        ? cause.getMessage()
                        : refused.getOriginalMessage();
        return refused instanceof JsonMappingException mapping && !mapping.getPath().isEmpty()
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
