package org.cyclamenpaddle.http;

import com.linecorp.armeria.common.ProtocolViolationException;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AttributeKey;
import io.netty.util.NetUtil;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.Iterator;
import java.util.Map;
import java.util.regex.Pattern;

/**
 * Channel handler that rejects bytes which are not the response to the request on their connection,
 * and closes the connection.
 *
 * <p>A faulty server may send a response twice, or a part of it. Arriving between two requests,
 * such bytes stay unnoticed in the decoder if they are no complete head, and the next response is
 * appended to them: the caller would get the status of one response with the id, signature and body
 * of another.
 */
public final class ResponseCheck extends ChannelDuplexHandler {

    private static final AttributeKey<ResponseCheck> CHECK =
            AttributeKey.valueOf(ResponseCheck.class, "CHECK");

    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/\\d\\.\\d\\s+\\d{3}");

    private final ForeignBytes.Listener mListener;

    /** Number of requests written to the connection. */
    private int mRequests;

    private boolean mAwaitsResponse;
    private boolean mInterim;
    private boolean mClosed;
    private boolean mJoined;

    private ResponseCheck(ForeignBytes.Listener listener) {
        mListener = listener;
    }

    /**
     * Checks the connection of a channel that is about to connect.
     *
     * @param pipeline pipeline of the channel
     * @param listener notified of foreign bytes
     */
    public static void install(ChannelPipeline pipeline, ForeignBytes.Listener listener) {
        ResponseCheck check = new ResponseCheck(listener);
        pipeline.channel().attr(CHECK).set(check);
        pipeline.addFirst(check);
    }

    /** Returns the connection and the number of the last request on it, for logs. */
    public static String describe(Channel channel) {
        ResponseCheck check = channel.attr(CHECK).get();
        return channel.id().asShortText() + (check == null ? "" : "/" + check.mRequests);
    }

    /** Returns whether a connection was closed because a head on it was joined from two. */
    public static boolean foundJoinedHeads(Channel channel) {
        ResponseCheck check = channel.attr(CHECK).get();
        return check != null && check.mJoined;
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (mRequests == 0) {
            // The codec is added to the pipeline while the connection is opened.
            String codec = context.pipeline().context(StrictClientCodec.class).name();
            context.pipeline().addAfter(codec, null, new Messages());
            requestWritten();
        }
        context.write(message, promise);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (mAwaitsResponse || !(message instanceof ByteBuf)) {
            context.fireChannelRead(message);
        } else {
            closeUnrequested(context, message);
        }
    }

    /** Closes the connection, so that no request is written to it any more. */
    private void closeUnrequested(ChannelHandlerContext context, Object message) {
        ReferenceCountUtil.release(message);
        if (!mClosed) {
            mClosed = true;
            report(context, ForeignBytes.Kind.UNREQUESTED);
            context.close();
        }
    }

    private void requestWritten() {
        mRequests++;
        mAwaitsResponse = true;
    }

    private void report(ChannelHandlerContext context, ForeignBytes.Kind kind) {
        Channel channel = context.channel();
        mListener.found(new ForeignBytes(kind, address(channel), describe(channel)));
    }

    /** Returns the numeric address; the name that belongs to it is that of a caller's request. */
    private static String address(Channel channel) {
        return channel.remoteAddress() instanceof InetSocketAddress remote
                ? NetUtil.toSocketAddressString(
                        remote.getAddress().getHostAddress(), remote.getPort())
                : String.valueOf(channel.remoteAddress());
    }

    /** Observes the requests and responses of the connection in decoded form. */
    private final class Messages extends ChannelDuplexHandler {

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            if (message instanceof HttpRequest) {
                requestWritten();
            }
            context.write(message, promise);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (!mAwaitsResponse) {
                closeUnrequested(context, message);
                return;
            }
            if (message instanceof HttpResponse head) {
                mInterim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
                examine(context, head);
            }
            if (message instanceof LastHttpContent && !mInterim) {
                mAwaitsResponse = false;
            }
            context.fireChannelRead(message);
        }

        private void examine(ChannelHandlerContext context, HttpResponse head) {
            if (head.decoderResult().isFailure() || !isJoined(head)) {
                return;
            }
            mJoined = true;
            report(context, ForeignBytes.Kind.JOINED_HEADS);
            // The client ends the request and closes the connection.
            head.setDecoderResult(
                    DecoderResult.failure(
                            new ProtocolViolationException("two response heads joined")));
        }
    }

    /** Returns whether a head contains the status line of another response. */
    private static boolean isJoined(HttpResponse head) {
        if (hasStatusLine(head.status().reasonPhrase())) {
            return true;
        }
        Iterator<Map.Entry<CharSequence, CharSequence>> headers =
                head.headers().iteratorCharSequence();
        while (headers.hasNext()) {
            Map.Entry<CharSequence, CharSequence> header = headers.next();
            if (hasStatusLine(header.getKey()) || hasStatusLine(header.getValue())) {
                return true;
            }
        }
        return false;
    }

    private static boolean hasStatusLine(CharSequence text) {
        return STATUS_LINE.matcher(text).find();
    }
}
