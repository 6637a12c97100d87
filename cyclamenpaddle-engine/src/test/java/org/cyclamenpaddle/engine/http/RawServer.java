package org.cyclamenpaddle.engine.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.config.FencingSupport;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.FailureDomain;

/** TCP server whose connections are scripted byte by byte. */
public final class RawServer implements AutoCloseable {

    private static final Pattern CONTENT_LENGTH =
            Pattern.compile("content-length: (\\d+)", Pattern.CASE_INSENSITIVE);

    private final ServerSocket mSocket;
    private final ExecutorService mThreads = Executors.newCachedThreadPool();
    private final AtomicInteger mConnections = new AtomicInteger();
    private final CompletableFuture<Void> mClosed = new CompletableFuture<>();

    /** Script of a connection; connections are numbered from 1. */
    @FunctionalInterface
    public interface Script {
        void run(Socket socket, int number) throws IOException;
    }

    public RawServer(Script script) throws IOException {
        mSocket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        mThreads.execute(() -> acceptAll(script));
    }

    public BackendSpec spec() {
        return spec(mSocket.getLocalPort());
    }

    public static BackendSpec spec(int port) {
        return new BackendSpec(
                new BackendId("runner-1"),
                new FailureDomain("ahm"),
                "127.0.0.1",
                port,
                1,
                0,
                0,
                0,
                0,
                FencingSupport.IGNORES,
                false);
    }

    public int connections() {
        return mConnections.get();
    }

    /** Blocks a script until the test ends. */
    public void holdUntilClosed() {
        mClosed.join();
    }

    /** Reads the request line and headers, including the empty line that ends them. */
    public static String readHeaders(Socket socket) throws IOException {
        InputStream in = socket.getInputStream();
        StringBuilder text = new StringBuilder();
        while (text.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                break;
            }
            text.append((char) next);
        }
        return text.toString();
    }

    /** Reads a complete request and returns its method, path and body. */
    public static String readRequest(Socket socket) throws IOException {
        String head = readHeaders(socket);
        Matcher length = CONTENT_LENGTH.matcher(head);
        int bytes = length.find() ? Integer.parseInt(length.group(1)) : 0;
        String body = new String(socket.getInputStream().readNBytes(bytes), StandardCharsets.UTF_8);
        return head.substring(0, head.indexOf(" HTTP/")) + " " + body;
    }

    /** Writes a complete response. */
    public static void respond(Socket socket, int status, String body) throws IOException {
        int length = body.getBytes(StandardCharsets.UTF_8).length;
        write(socket, "HTTP/1.1 " + status + " X\r\nContent-Length: " + length + "\r\n\r\n" + body);
    }

    public static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
    }

    /** Writes the headers of a chunked event stream. */
    public static void writeStreamHeaders(Socket socket) throws IOException {
        write(
                socket,
                "HTTP/1.1 200 OK\r\nContent-Type: application/x-ndjson\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n");
    }

    public static void writeChunk(Socket socket, String text) throws IOException {
        int length = text.getBytes(StandardCharsets.UTF_8).length;
        write(socket, Integer.toHexString(length) + "\r\n" + text + "\r\n");
    }

    public static void writeLastChunk(Socket socket) throws IOException {
        write(socket, "0\r\n\r\n");
    }

    @Override
    public void close() throws IOException {
        mClosed.complete(null);
        mSocket.close();
        mThreads.shutdownNow();
    }

    private void acceptAll(Script script) {
        while (!mSocket.isClosed()) {
            try {
                Socket socket = mSocket.accept();
                int number = mConnections.incrementAndGet();
                mThreads.execute(() -> run(script, socket, number));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private static void run(Script script, Socket socket, int number) {
        try (socket) {
            script.run(socket, number);
        } catch (IOException broken) {
            // The client closed the connection first, as some tests do.
        }
    }
}
