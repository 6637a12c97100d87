package org.cyclamenpaddle.relay.front;

import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpHeaders;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;

/** Drops the headers that concern one connection only and must not be forwarded. */
final class ConnectionHeaders {

    private static final List<CharSequence> ALWAYS =
            List.of(
                    HttpHeaderNames.CONNECTION,
                    HttpHeaderNames.KEEP_ALIVE,
                    HttpHeaderNames.PROXY_AUTHENTICATE,
                    HttpHeaderNames.PROXY_AUTHORIZATION,
                    HttpHeaderNames.of("proxy-connection"),
                    HttpHeaderNames.TE,
                    HttpHeaderNames.TRAILER,
                    HttpHeaderNames.TRANSFER_ENCODING,
                    HttpHeaderNames.UPGRADE,
                    HttpHeaderNames.HTTP2_SETTINGS,
                    HttpHeaderNames.EXPECT);

    private ConnectionHeaders() {}

    static RequestHeaders without(RequestHeaders headers) {
        RequestHeadersBuilder rest = headers.toBuilder();
        dropped(headers).forEach(rest::remove);
        return rest.build();
    }

    static ResponseHeaders without(ResponseHeaders headers) {
        ResponseHeadersBuilder rest = headers.toBuilder();
        dropped(headers).forEach(rest::remove);
        return rest.build();
    }

    /** A connection header names further ones that hold for its connection only. */
    private static Stream<CharSequence> dropped(HttpHeaders headers) {
        Stream<CharSequence> named =
                headers.getAll(HttpHeaderNames.CONNECTION).stream()
                        .flatMap(value -> Arrays.stream(value.split(",")))
                        .<CharSequence>map(String::strip)
                        .filter(name -> name.length() > 0 && name.charAt(0) != ':');
        return Stream.concat(ALWAYS.stream(), named);
    }
}
