package org.cyclamenpaddle.store.codec;

import com.fasterxml.jackson.databind.JsonNode;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

/**
 * Validates the members of a document against the components of the record that it is bound to.
 *
 * <p>Jackson creates a record before it reports unknown members, so a misspelt member would be
 * reported as a missing value of another one; and it reads null as 0 for a number.
 */
final class SpecMembers {

    private SpecMembers() {}

    /** Returns an error message for the first unknown or null member, if any. */
    static Optional<String> firstInvalid(JsonNode node, Type type, String path) {
        if (node.isNull()) {
            return Optional.of("member '" + path + "' must not be null");
        }
        if (node.isArray() && type instanceof ParameterizedType list) {
            Type element = list.getActualTypeArguments()[0];
            return IntStream.range(0, node.size())
                    .mapToObj(i -> firstInvalid(node.get(i), element, path + "[" + i + "]"))
                    .flatMap(Optional::stream)
                    .findFirst();
        }
        return node.isObject() && type instanceof Class<?> record && record.isRecord()
                ? firstInvalidMember(node, record, path)
                : Optional.empty();
    }

    private static Optional<String> firstInvalidMember(
            JsonNode node, Class<?> record, String path) {
        Map<String, RecordComponent> components =
                Arrays.stream(record.getRecordComponents())
                        .collect(Collectors.toMap(RecordComponent::getName, Function.identity()));
        return node.properties().stream()
                .map(
                        member -> {
                            String name = path + "." + member.getKey();
                            RecordComponent component = components.get(member.getKey());
                            return component == null
                                    ? Optional.of("member '" + name + "' is unknown")
                                    : firstInvalid(
                                            member.getValue(), component.getGenericType(), name);
                        })
                .flatMap(Optional::stream)
                .findFirst();
    }
}
