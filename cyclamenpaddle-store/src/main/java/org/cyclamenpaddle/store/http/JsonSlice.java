package org.cyclamenpaddle.store.http;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.vavr.control.Either;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * A value within a JSON document, as bytes that have not been read yet.
 *
 * <p>A document is split by its quotes and brackets alone, without recursion and whatever its
 * values are, and each value is read by itself. So a value that cannot be read, or exceeds a limit,
 * affects no other one.
 */
public final class JsonSlice {

    /** Maximum size of a value that is read, in bytes: that of an object of the platform. */
    static final int MAX_BYTES = 1 << 20;

    /** Maximum nesting of a value that is read, far more than any document of a platform has. */
    static final int MAX_DEPTH = 64;

    /** Maximum number of characters of a number that is read. */
    static final int MAX_NUMBER_LENGTH = 64;

    private static final ObjectMapper MAPPER =
            new ObjectMapper(
                    JsonFactory.builder()
                            .streamReadConstraints(
                                    StreamReadConstraints.builder()
                                            .maxNestingDepth(MAX_DEPTH)
                                            .maxNumberLength(MAX_NUMBER_LENGTH)
                                            .build())
                            .build());

    private static final int NONE = -1;

    private final byte[] mBytes;
    private final int mFrom;
    private final int mTo;

    private JsonSlice(byte[] bytes, int from, int to) {
        mBytes = bytes;
        mFrom = from;
        mTo = to;
    }

    /** Returns a whole document. */
    public static JsonSlice of(byte[] document) {
        return new JsonSlice(document, 0, document.length);
    }

    /**
     * Returns a member of this object, the last one of several with its name; empty if there is
     * none, if this is no object, or if its end cannot be found.
     *
     * @param name name of the member, without characters that are escaped
     */
    public Optional<JsonSlice> member(String name) {
        byte[] wanted = ('"' + name + '"').getBytes(StandardCharsets.UTF_8);
        Optional<JsonSlice> found = Optional.empty();
        int at = open('{');
        while (at < mTo && mBytes[at] == '"') {
            int nameEnd = endOfString(at);
            int colon = nameEnd == NONE ? mTo : skipSpace(nameEnd);
            int value = colon < mTo && mBytes[colon] == ':' ? skipSpace(colon + 1) : mTo;
            int end = end(value);
            if (end == NONE) {
                return Optional.empty();
            }
            if (Arrays.equals(mBytes, at, nameEnd, wanted, 0, wanted.length)) {
                found = Optional.of(new JsonSlice(mBytes, value, end));
            }
            at = next(end);
        }
        return found;
    }

    /**
     * Returns the elements of this list; empty if this is no list, or if the end of an element
     * cannot be found.
     */
    public Optional<List<JsonSlice>> elements() {
        List<JsonSlice> elements = new ArrayList<>();
        int at = open('[');
        if (at == mTo) {
            return Optional.empty();
        }
        while (at < mTo && mBytes[at] != ']') {
            int end = end(at);
            if (end == NONE || end == at) {
                return Optional.empty();
            }
            elements.add(new JsonSlice(mBytes, at, end));
            at = next(end);
        }
        return Optional.of(elements);
    }

    /** Reads this value; left: why it cannot be read, without any of its content. */
    public Either<String, JsonNode> read() {
        if (mTo - mFrom > MAX_BYTES) {
            return Either.left("larger than " + MAX_BYTES + " bytes");
        }
        try {
            return Either.right(MAPPER.readTree(mBytes, mFrom, mTo - mFrom));
        } catch (IOException unreadable) {
            return Either.left("cannot be read: " + unreadable.getClass().getSimpleName());
        }
    }

    /** Reads a member of this object; a missing one is a missing node. */
    public Either<String, JsonNode> read(String name) {
        return member(name).map(JsonSlice::read).orElse(Either.right(MissingNode.getInstance()));
    }

    /** Returns this text; empty for any other value. */
    public Optional<String> text() {
        return read().toJavaOptional().map(JsonNode::textValue);
    }

    /** Returns this number; empty for any other value, and for one that is no 64-bit integer. */
    public Optional<Long> integer() {
        return read().toJavaOptional()
                .filter(value -> value.isIntegralNumber() && value.canConvertToLong())
                .map(JsonNode::longValue);
    }

    /** Returns whether this is the value {@code true}. */
    public boolean isTrue() {
        return read().exists(JsonNode::booleanValue);
    }

    /**
     * Returns the position after an opening bracket and space; the end if there is none, or if no
     * bracket closes it, as in a truncated document.
     */
    private int open(char bracket) {
        int at = skipSpace(mFrom);
        boolean closed = at < mTo && mBytes[at] == bracket && end(at) != NONE;
        return closed ? skipSpace(at + 1) : mTo;
    }

    /** Returns the position after the comma that follows a value; the end if there is none. */
    private int next(int end) {
        int at = skipSpace(end);
        if (at == mTo || mBytes[at] != ',') {
            return at < mTo && mBytes[at] == ']' ? at : mTo;
        }
        return skipSpace(at + 1);
    }

    /** Returns the end of the value that begins at a position. */
    private int end(int from) {
        int depth = 0;
        for (int at = from; at < mTo; at++) {
            byte next = mBytes[at];
            if (next == '"') {
                at = endOfString(at) - 1;
                if (at < from || depth == 0) {
                    return at < from ? NONE : at + 1;
                }
            } else if (next == '{' || next == '[') {
                depth++;
            } else if (depth == 0 && (next == ',' || next == '}' || next == ']' || next <= ' ')) {
                return at;
            } else if ((next == '}' || next == ']') && --depth == 0) {
                return at + 1;
            }
        }
        return depth == 0 && from < mTo ? mTo : NONE;
    }

    private int endOfString(int from) {
        for (int at = from + 1; at < mTo; at++) {
            if (mBytes[at] == '\\') {
                at++;
            } else if (mBytes[at] == '"') {
                return at + 1;
            }
        }
        return NONE;
    }

    private int skipSpace(int from) {
        int at = from;
        while (at < mTo && mBytes[at] >= 0 && mBytes[at] <= ' ') {
            at++;
        }
        return at;
    }
}
