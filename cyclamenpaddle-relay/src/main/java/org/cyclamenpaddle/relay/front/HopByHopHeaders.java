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

/** Removes hop-by-hop headers, which must not be forwarded. */
final class HopByHopHeaders {

    private static final List<CharSequence> HOP_BY_HOP =
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

    private HopByHopHeaders() {}

    static RequestHeaders strip(RequestHeaders headers) {
        RequestHeadersBuilder forwarded = headers.toBuilder();
        hopByHop(headers).forEach(forwarded::remove);
        return forwarded.build();
    }

    static ResponseHeaders strip(ResponseHeaders headers) {
        ResponseHeadersBuilder forwarded = headers.toBuilder();
        hopByHop(headers).forEach(forwarded::remove);
        return forwarded.build();
    }

    /** The {@code Connection} header names further hop-by-hop headers. */
    private static Stream<CharSequence> hopByHop(HttpHeaders headers) {
        Stream<CharSequence> named =
                headers.getAll(HttpHeaderNames.CONNECTION).stream()
                        .flatMap(value -> Arrays.stream(value.split(",")))
                        .<CharSequence>map(String::strip)
                        .filter(name -> name.length() > 0 && name.charAt(0) != ':');
        return Stream.concat(HOP_BY_HOP.stream(), named);
    }
}
