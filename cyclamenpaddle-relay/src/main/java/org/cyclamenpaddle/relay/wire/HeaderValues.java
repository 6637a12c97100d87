package org.cyclamenpaddle.relay.wire;

import com.linecorp.armeria.common.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.regex.Pattern;

/** Reads the values of a header that may be spelled in several ways. */
public final class HeaderValues {

    private static final Pattern NUMBER = Pattern.compile("\\d{1,15}");

    private HeaderValues() {}

    /** Returns all values of a header. */
    public static List<String> all(HttpHeaders headers, AsciiString... names) {
        return Arrays.stream(names).flatMap(name -> headers.getAll(name).stream()).toList();
    }

    /** Returns the value of a header; empty unless it is a number of at most 15 digits. */
    public static OptionalLong number(HttpHeaders headers, AsciiString name) {
        String text = headers.get(name, "").strip();
        return NUMBER.matcher(text).matches()
                ? OptionalLong.of(Long.parseLong(text))
                : OptionalLong.empty();
    }

    /** Returns the value of a header; empty unless it has exactly one. */
    public static Optional<String> only(HttpHeaders headers, AsciiString... names) {
        List<String> values = all(headers, names);
        return values.size() == 1 ? Optional.of(values.get(0).strip()) : Optional.empty();
    }
}
