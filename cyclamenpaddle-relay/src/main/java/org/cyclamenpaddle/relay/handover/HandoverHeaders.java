package org.cyclamenpaddle.relay.handover;

import com.linecorp.armeria.common.HttpHeaderNames;
import com.linecorp.armeria.common.HttpHeaders;
import com.linecorp.armeria.common.HttpStatus;
import com.linecorp.armeria.common.RequestHeaders;
import com.linecorp.armeria.common.RequestHeadersBuilder;
import com.linecorp.armeria.common.ResponseHeaders;
import com.linecorp.armeria.common.ResponseHeadersBuilder;
import io.netty.util.AsciiString;
import io.vavr.control.Either;
import io.vavr.control.Try;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.cyclamenpaddle.core.id.HostId;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.core.id.SoftwareVersion;
import org.cyclamenpaddle.core.id.TeamName;
import org.cyclamenpaddle.routing.handover.HandoverRefusal;
import org.cyclamenpaddle.routing.stream.StreamBinding;

/**
 * Headers between two hosts for a request that is handed over.
 *
 * <p>They are read on the port for other hosts only, and removed before the request goes to a
 * backend server.
 */
public final class HandoverHeaders {

    private static final AsciiString FROM = HttpHeaderNames.of("x-handover-from");
    private static final AsciiString SERVICE = HttpHeaderNames.of("x-handover-service");
    private static final AsciiString VERSION = HttpHeaderNames.of("x-handover-version");
    private static final AsciiString TREATMENT = HttpHeaderNames.of("x-handover-treatment");
    private static final AsciiString TEAM = HttpHeaderNames.of("x-handover-team");
    private static final AsciiString TIMEOUT = HttpHeaderNames.of("x-handover-timeout-ms");
    private static final AsciiString ATTEMPTS = HttpHeaderNames.of("x-handover-attempts");
    private static final AsciiString COUNTED = HttpHeaderNames.of("x-handover-counted");
    private static final AsciiString RESUME_AFTER = HttpHeaderNames.of("x-handover-resume-after");
    private static final AsciiString FINGERPRINT = HttpHeaderNames.of("x-handover-fingerprint");
    private static final AsciiString BINDING = HttpHeaderNames.of("x-handover-binding");
    private static final AsciiString SERVED = HttpHeaderNames.of("x-handover-served-version");
    private static final AsciiString REFUSED = HttpHeaderNames.of("x-handover-refused");
    private static final AsciiString REACHES = HttpHeaderNames.of("x-handover-reaches");

    private static final List<AsciiString> REQUEST_HEADERS =
            List.of(
                    FROM,
                    SERVICE,
                    VERSION,
                    TREATMENT,
                    TEAM,
                    TIMEOUT,
                    ATTEMPTS,
                    COUNTED,
                    RESUME_AFTER,
                    BINDING,
                    FINGERPRINT);

    private static final String MARK = "=";

    private HandoverHeaders() {}

    /** Returns the headers of a request with the terms of handing it over. */
    public static RequestHeaders write(RequestHeaders headers, HandoverTerms terms) {
        RequestHeadersBuilder builder = strip(headers).toBuilder();
        builder.set(FROM, terms.from().value());
        builder.set(SERVICE, terms.service().value());
        builder.setLong(VERSION, terms.version());
        terms.treatment().ifPresent(value -> builder.set(TREATMENT, Long.toHexString(value)));
        terms.team().ifPresent(team -> builder.set(TEAM, team.value()));
        builder.setLong(TIMEOUT, terms.timeoutMillis());
        builder.setInt(ATTEMPTS, terms.attempts());
        builder.set(COUNTED, String.valueOf(terms.counted()));
        terms.resumeAfter().ifPresent(id -> builder.set(RESUME_AFTER, id));
        terms.binding().version().ifPresent(version -> builder.set(BINDING, text(version)));
        terms.fingerprint().ifPresent(value -> builder.set(FINGERPRINT, Long.toHexString(value)));
        return builder.build();
    }

    /** Returns the terms of a request, or why they cannot be read. */
    public static Either<String, HandoverTerms> read(RequestHeaders headers) {
        return Try.of(
                        () ->
                                new HandoverTerms(
                                        new HostId(headers.get(FROM)),
                                        new ServiceName(headers.get(SERVICE)),
                                        headers.getLong(VERSION, -1),
                                        hash(headers, TREATMENT),
                                        Optional.ofNullable(headers.get(TEAM)).map(TeamName::new),
                                        headers.getLong(TIMEOUT, -1),
                                        headers.getInt(ATTEMPTS, 0),
                                        Boolean.parseBoolean(headers.get(COUNTED)),
                                        Optional.ofNullable(headers.get(RESUME_AFTER)),
                                        binding(headers),
                                        hash(headers, FINGERPRINT)))
                .toEither()
                .mapLeft(String::valueOf);
    }

    /** A stream that its caller has begun is bound in any case; of what version may be missing. */
    private static StreamBinding binding(HttpHeaders headers) {
        return headers.contains(RESUME_AFTER)
                ? StreamBinding.to(version(headers.get(BINDING)))
                : StreamBinding.ANY;
    }

    /** Returns the head of a response with the version of the server that sent it. */
    public static ResponseHeaders withServedVersion(
            ResponseHeaders headers, Optional<SoftwareVersion> version) {
        return version.map(known -> headers.toBuilder().set(SERVED, text(known)).build())
                .orElse(headers);
    }

    /** Returns the version of the server whose response a host has passed on. */
    public static Optional<SoftwareVersion> servedVersion(ResponseHeaders headers) {
        return version(headers.get(SERVED));
    }

    /** Removes the headers of a response that concern only two hosts. */
    public static ResponseHeaders stripServed(ResponseHeaders headers) {
        if (!headers.contains(SERVED)) {
            return headers;
        }
        ResponseHeadersBuilder builder = headers.toBuilder();
        builder.remove(SERVED);
        return builder.build();
    }

    /** Encodes a version; a mark precedes it, since a version may be empty. */
    private static String text(SoftwareVersion version) {
        return MARK + URLEncoder.encode(version.value(), StandardCharsets.UTF_8);
    }

    private static Optional<SoftwareVersion> version(String text) {
        return Optional.ofNullable(text)
                .filter(marked -> marked.startsWith(MARK))
                .flatMap(
                        marked ->
                                Try.of(
                                                () ->
                                                        new SoftwareVersion(
                                                                URLDecoder.decode(
                                                                        marked.substring(
                                                                                MARK.length()),
                                                                        StandardCharsets.UTF_8)))
                                        .toJavaOptional());
    }

    private static OptionalLong hash(HttpHeaders headers, AsciiString name) {
        String text = headers.get(name);
        return text == null
                ? OptionalLong.empty()
                : OptionalLong.of(Long.parseUnsignedLong(text, 16));
    }

    /** Removes the headers that concern only two hosts. */
    public static RequestHeaders strip(RequestHeaders headers) {
        if (REQUEST_HEADERS.stream().noneMatch(headers::contains)) {
            return headers;
        }
        RequestHeadersBuilder builder = headers.toBuilder();
        REQUEST_HEADERS.forEach(builder::remove);
        return builder.build();
    }

    /**
     * Returns the response to a request that is not taken.
     *
     * @param reaches host that is known to reach the service; empty if none is
     */
    public static ResponseHeaders refusal(HandoverRefusal refusal, Optional<HostId> reaches) {
        ResponseHeadersBuilder builder =
                ResponseHeaders.builder(HttpStatus.SERVICE_UNAVAILABLE)
                        .set(HttpHeaderNames.CONTENT_LENGTH, "0")
                        .set(REFUSED, refusal.name());
        reaches.ifPresent(host -> builder.set(REACHES, host.value()));
        return builder.build();
    }

    /** Returns why a host has not taken a request; empty if it has. */
    public static Optional<HandoverRefusal> refusal(ResponseHeaders headers) {
        String name = headers.get(REFUSED);
        return Arrays.stream(HandoverRefusal.values())
                .filter(refusal -> refusal.name().equals(name))
                .findAny();
    }

    /** Returns the host that another one has named as reaching the service. */
    public static Optional<HostId> reaches(ResponseHeaders headers) {
        return Optional.ofNullable(headers.get(REACHES))
                .flatMap(name -> Try.of(() -> new HostId(name)).toJavaOptional());
    }
}
