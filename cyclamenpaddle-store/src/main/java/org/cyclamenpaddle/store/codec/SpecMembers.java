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
 * Compares the members of a document with the components of the record that it stands for.
 *
 * <p>Jackson builds a record before it looks at unknown members, so a misspelt one would be told as
 * the missing value of another; and it takes null for a number as 0.
 */
final class SpecMembers {

    private SpecMembers() {}

    /** Returns what is wrong with the first member that is unknown or null, if any. */
    static Optional<String> firstWrong(JsonNode node, Type type, String path) {
        if (node.isNull()) {
            return Optional.of("member '" + path + "' must not be null");
        }
        if (node.isArray() && type instanceof ParameterizedType list) {
            Type element = list.getActualTypeArguments()[0];
            return IntStream.range(0, node.size())
                    .mapToObj(i -> firstWrong(node.get(i), element, path + "[" + i + "]"))
                    .flatMap(Optional::stream)
                    .findFirst();
        }
        return node.isObject() && type instanceof Class<?> record && record.isRecord()
                ? firstWrongOf(node, record, path)
                : Optional.empty();
    }

    private static Optional<String> firstWrongOf(JsonNode node, Class<?> record, String path) {
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
                                    : firstWrong(
                                            member.getValue(), component.getGenericType(), name);
                        })
                .flatMap(Optional::stream)
                .findFirst();
    }
}
