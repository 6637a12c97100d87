package org.cyclamenpaddle.peer.codec;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.core.message.HostRecord;
import org.cyclamenpaddle.core.message.HostState;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads the fields of a message and checks their bounds; the counterpart of {@link FieldWriter}.
 *
 * <p>Each method throws an unchecked MessagePack exception or an {@link IllegalArgumentException}
 * if the next field has another type or is out of bounds.
 */
final class FieldReader {

    /** Maximum length of a name, an address or another short text, in bytes. */
    private static final int MAX_SHORT_TEXT_BYTES = 1_024;

    /**
     * Maximum number of elements of a list or map; a fleet of 810 teams and 770 backend servers
     * stays far below it.
     */
    static final int MAX_ELEMENTS = 16_384;

    private static final int MAX_PORT = 65_535;

    private final MessageUnpacker mUnpacker;

    /** Reads one element of a list, a set or an optional. */
    @FunctionalInterface
    interface Element<T> {
        T read() throws IOException;
    }

    FieldReader(MessageUnpacker unpacker) {
        mUnpacker = unpacker;
    }

    long number() throws IOException {
        return mUnpacker.unpackLong();
    }

    int integer() throws IOException {
        return mUnpacker.unpackInt();
    }

    boolean flag() throws IOException {
        return mUnpacker.unpackBoolean();
    }

    String text() throws IOException {
        return text(MAX_SHORT_TEXT_BYTES);
    }

    /** Reads a text whose length is bounded only by the size of a frame. */
    String document() throws IOException {
        return text(FrameCodec.MAX_FRAME_BYTES);
    }

    <E extends Enum<E>> E constant(E[] constants) throws IOException {
        int ordinal = integer();
        check(ordinal >= 0 && ordinal < constants.length, "constant", ordinal);
        return constants[ordinal];
    }

    Incarnation incarnation() throws IOException {
        return new Incarnation(new HostId(text()), number());
    }

    HostRecord host() throws IOException {
        return new HostRecord(
                incarnation(),
                new FailureDomain(text()),
                text(),
                port(),
                port(),
                constant(HostState.values()));
    }

    <T> List<T> list(Element<T> element) throws IOException {
        int size = mUnpacker.unpackArrayHeader();
        check(size <= MAX_ELEMENTS, "list size", size);
        List<T> values = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            values.add(element.read());
        }
        return values;
    }

    <T> Set<T> set(Element<T> element) throws IOException {
        List<T> values = list(element);
        Set<T> distinct = new HashSet<>(values);
        check(distinct.size() == values.size(), "distinct elements", distinct.size());
        return distinct;
    }

    <T> Optional<T> optional(Element<T> element) throws IOException {
        return mUnpacker.tryUnpackNil() ? Optional.empty() : Optional.of(element.read());
    }

    Map<String, Long> versions() throws IOException {
        int size = mUnpacker.unpackMapHeader();
        check(size <= MAX_ELEMENTS, "map size", size);
        Map<String, Long> values = new HashMap<>();
        for (int i = 0; i < size; i++) {
            values.put(text(), number());
        }
        check(values.size() == size, "distinct keys", values.size());
        return values;
    }

    private int port() throws IOException {
        int port = integer();
        check(port >= 0 && port <= MAX_PORT, "port", port);
        return port;
    }

    private String text(int maxBytes) throws IOException {
        int length = mUnpacker.unpackRawStringHeader();
        check(length <= maxBytes, "text length", length);
        byte[] bytes = mUnpacker.readPayload(length);
        return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
    }

    private static void check(boolean valid, String field, long value) {
        if (!valid) {
            throw new IllegalArgumentException(field + " " + value + " is out of bounds");
        }
    }
}
