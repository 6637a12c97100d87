package org.cyclamenpaddle.http;

import com.linecorp.armeria.common.Flags;
import com.linecorp.armeria.common.ProtocolViolationException;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.channel.CombinedChannelDuplexHandler;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.net.SocketAddress;
import java.util.BitSet;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import java.util.stream.IntStream;

/**
 * HTTP/1.1 codec of a client that accepts responses only in the form of RFC 9112.
 *
 * <p>The decoder of the library is lenient: it takes any number for a status, such as {@code 000}
 * or {@code +200}, and ends the name of a header at its first blank, so that {@code Content-Length
 * x: 5} states a length. A caller would get a status, a header or a body that its server did not
 * send. Here such a response is malformed, for which the library fails the request and closes the
 * connection.
 *
 * <p>A response without a length and without chunks ends with its connection, and the library
 * accepts any end. Here only an orderly one completes the response.
 *
 * <p>One request is sent at a time.
 */
public final class StrictClientCodec
        extends CombinedChannelDuplexHandler<HttpResponseDecoder, HttpRequestEncoder> {

    private static final Pattern VERSION = Pattern.compile("HTTP/1\\.\\d");
    private static final Pattern CONTROL = Pattern.compile("[\\x00-\\x08\\x0a-\\x1f\\x7f]");
    private static final Pattern STATUS = Pattern.compile("[1-5]\\d\\d");
    private static final BitSet TOKEN = tokenBytes();

    /** Whether the response has no body because of the method of its request. */
    private boolean mHeadRequest;

    private StrictClientCodec() {
        init(new Decoder(), new Encoder());
    }

    /**
     * Uses this codec on a channel that is about to connect, in place of that of the library.
     *
     * @param pipeline pipeline of the channel
     */
    public static void install(ChannelPipeline pipeline) {
        pipeline.addFirst(new Installer());
    }

    /** Replaces the codec of the library, which adds its own when it begins to connect. */
    private static final class Installer extends ChannelOutboundHandlerAdapter {

        @Override
        public void connect(
                ChannelHandlerContext context,
                SocketAddress remote,
                SocketAddress local,
                ChannelPromise promise) {
            ChannelPipeline pipeline = context.pipeline();
            pipeline.replace(HttpClientCodec.class, null, new StrictClientCodec());
            context.connect(remote, local, promise);
            pipeline.remove(this);
        }
    }

    /** Records the method of each request. */
    private final class Encoder extends HttpRequestEncoder {

        @Override
        protected void encode(ChannelHandlerContext context, Object message, List<Object> out)
                throws Exception {
            if (message instanceof HttpRequest request) {
                mHeadRequest = HttpMethod.HEAD.equals(request.method());
            }
            super.encode(context, message, out);
        }
    }

    /** Decodes responses. What it throws for a message marks that message as malformed. */
    private final class Decoder extends HttpResponseDecoder {

        private boolean mWithinHead = true;
        private boolean mHeadBegun;
        private byte mLastHeadByte;
        private boolean mBytesBeforeHead;
        private boolean mFolded;
        private boolean mConnectionFailed;

        Decoder() {
            super(
                    Flags.defaultHttp1MaxInitialLineLength(),
                    Flags.defaultHttp1MaxHeaderSize(),
                    Flags.defaultHttp1MaxChunkSize());
        }

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> out)
                throws Exception {
            int start = bytes.readerIndex();
            int decoded = out.size();
            super.decode(context, bytes, out);
            if (mWithinHead) {
                readHead(bytes, start, bytes.readerIndex());
            }
            out.subList(decoded, out.size()).forEach(this::decoded);
        }

        /**
         * Looks for what the superclass does not pass on: bytes before the status line, which it
         * skips, and headers that are continued on the next line, which it joins. A name that is
         * indented would become part of the value before it, such as the signature.
         */
        private void readHead(ByteBuf bytes, int start, int end) {
            for (int i = start; i < end; i++) {
                byte next = bytes.getByte(i);
                mBytesBeforeHead |= !mHeadBegun && next != 'H';
                mHeadBegun = true;
                mFolded |= mLastHeadByte == '\n' && (next == ' ' || next == '\t');
                mLastHeadByte = next;
            }
        }

        /**
         * Called at the end of the connection, which is also the end of a response without a length
         * and without chunks.
         *
         * <p>Safeguard: a server that crashes within a response resets its connection, and the
         * caller would get a part of the response as a complete one. Where the kernel reports the
         * reset to a write, the library fails the response by itself.
         */
        @Override
        protected void decodeLast(ChannelHandlerContext context, ByteBuf bytes, List<Object> out)
                throws Exception {
            super.decodeLast(context, bytes, out);
            if (mConnectionFailed) {
                // The library fails a response that has no end.
                out.removeIf(LastHttpContent.class::isInstance);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            mConnectionFailed = true;
            context.fireExceptionCaught(cause);
        }

        private void decoded(Object message) {
            if (message instanceof HttpResponse head) {
                mWithinHead = false;
                if (head.decoderResult().isSuccess()) {
                    violation(head)
                            .map(ProtocolViolationException::new)
                            .ifPresent(
                                    found -> head.setDecoderResult(DecoderResult.failure(found)));
                }
            }
            if (message instanceof LastHttpContent) {
                mWithinHead = true;
                mHeadBegun = false;
                mBytesBeforeHead = false;
                mFolded = false;
            }
        }

        /** Returns why a head is malformed that the superclass accepts; empty if it is not. */
        private Optional<String> violation(HttpResponse head) {
            if (mBytesBeforeHead) {
                return Optional.of("bytes before the status line");
            }
            if (mFolded) {
                return Optional.of("header continued on the next line");
            }
            return hasUnknownFraming(head)
                    ? Optional.of("framing by an unknown or a second coding")
                    : Optional.empty();
        }

        @Override
        protected HttpMessage createMessage(String[] statusLine) {
            if (!VERSION.matcher(statusLine[0]).matches()) {
                throw new IllegalArgumentException("version is not HTTP/1");
            }
            if (!STATUS.matcher(statusLine[1]).matches()) {
                throw new IllegalArgumentException("status is no number from 100 to 599");
            }
            if (CONTROL.matcher(statusLine[2]).find()) {
                throw new IllegalArgumentException("control byte in the reason phrase");
            }
            return super.createMessage(statusLine);
        }

        /** Called for chunks beside a length, where the superclass drops the length. */
        @Override
        protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
            throw new IllegalArgumentException("length beside chunks");
        }

        /** Called for headers and trailers; the superclass ends a name at its first blank. */
        @Override
        protected AsciiString splitHeaderName(byte[] line, int start, int length) {
            if (line[start + length] != ':' || !isToken(line, start, length)) {
                throw new IllegalArgumentException("name of a header is no token");
            }
            return super.splitHeaderName(line, start, length);
        }

        @Override
        protected boolean isContentAlwaysEmpty(HttpMessage message) {
            boolean interim =
                    message instanceof HttpResponse response
                            && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            return mHeadRequest && !interim || super.isContentAlwaysEmpty(message);
        }
    }

    /**
     * Returns whether the body is coded in another way than in chunks, which no request asks for.
     * Chunks are not part of HTTP/1.0.
     */
    private static boolean hasUnknownFraming(HttpResponse head) {
        List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        boolean chunked =
                codings.size() == 1
                        && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0))
                        && !head.protocolVersion().equals(HttpVersion.HTTP_1_0);
        return !codings.isEmpty() && !chunked;
    }

    private static boolean isToken(byte[] text, int start, int length) {
        return length > 0
                && IntStream.range(start, start + length).allMatch(i -> TOKEN.get(text[i] & 0xff));
    }

    /** Returns the bytes of which RFC 9110 allows a token to consist. */
    private static BitSet tokenBytes() {
        BitSet bytes = new BitSet();
        "!#$%&'*+-.^_`|~".chars().forEach(bytes::set);
        bytes.set('0', '9' + 1);
        bytes.set('A', 'Z' + 1);
        bytes.set('a', 'z' + 1);
        return bytes;
    }
}
