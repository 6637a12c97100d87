package org.cyclamenpaddle.peer.codec;

import java.io.IOException;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import org.cyclamenpaddle.core.id.Incarnation;
import org.cyclamenpaddle.core.message.HostRecord;
import org.msgpack.core.MessagePacker;

/** Writes the fields of a message; the counterpart of {@link FieldReader}. */
final class FieldWriter {

    private final MessagePacker mPacker;

    /** Writes one element of a list or an optional. */
    @FunctionalInterface
    interface Element<T> {
        void write(T value) throws IOException;
    }

    FieldWriter(MessagePacker packer) {
        mPacker = packer;
    }

    void number(long value) throws IOException {
        mPacker.packLong(value);
    }

    void flag(boolean value) throws IOException {
        mPacker.packBoolean(value);
    }

    void text(String value) throws IOException {
        mPacker.packString(value);
    }

    /** Writes an enum constant as its ordinal. */
    void constant(Enum<?> value) throws IOException {
        mPacker.packInt(value.ordinal());
    }

    void incarnation(Incarnation value) throws IOException {
        text(value.host().value());
        number(value.number());
    }

    void host(HostRecord value) throws IOException {
        incarnation(value.incarnation());
        text(value.domain().value());
        text(value.address());
        number(value.peerPort());
        number(value.httpPort());
        constant(value.state());
    }

    <T> void list(Collection<T> values, Element<T> element) throws IOException {
        mPacker.packArrayHeader(values.size());
        for (T value : values) {
            element.write(value);
        }
    }

    <T> void optional(Optional<T> value, Element<T> element) throws IOException {
        if (value.isPresent()) {
            element.write(value.get());
        } else {
            mPacker.packNil();
        }
    }

    void versions(Map<String, Long> values) throws IOException {
        mPacker.packMapHeader(values.size());
        for (Map.Entry<String, Long> entry : values.entrySet()) {
            text(entry.getKey());
            number(entry.getValue());
        }
    }
}
