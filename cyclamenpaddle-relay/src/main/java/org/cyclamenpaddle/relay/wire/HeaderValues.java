package org.cyclamenpaddle.relay.wire;

import com.linecorp.armeria.common.HttpHeaders;
import io.netty.util.AsciiString;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** Reads the values of a header that may be spelled in several ways. */
public final class HeaderValues {

    private HeaderValues() {}

    /** Returns all values of a header. */
    public static List<String> all(HttpHeaders headers, AsciiString... names) {
        return Arrays.stream(names).flatMap(name -> headers.getAll(name).stream()).toList();
    }

    /** Returns the value of a header; empty unless it has exactly one. */
    public static Optional<String> only(HttpHeaders headers, AsciiString... names) {
        List<String> values = all(headers, names);
        return values.size() == 1 ? Optional.of(values.get(0).strip()) : Optional.empty();
    }
}
