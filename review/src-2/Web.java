import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server on a loopback address, with one thread for each connection. */
final class Web implements AutoCloseable {

    /** A request that has arrived completely. */
    record Request(
            String method,
            String target,
            String path,
            String query,
            Map<String, String> headers,
            byte[] body,
            Connection connection) {
        String header(String name) {
            return headers.getOrDefault(name, "");
        }

        String parameter(String name) {
            for (String part : query.split("&")) {
                if (part.startsWith(name + "=")) {
                    return part.substring(name.length() + 1);
                }
            }
            return "";
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    interface Handler {
        void handle(Request request) throws Exception;
    }

    /** One accepted connection. */
    static final class Connection {
        final Socket socket;
        private final OutputStream mOut;

        /** Nothing more is read from or written to a silent connection; it is never closed. */
        volatile boolean silent;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            mOut = socket.getOutputStream();
        }

        void write(String text) throws IOException {
            write(text.getBytes(StandardCharsets.UTF_8));
        }

        void write(byte[] bytes) throws IOException {
            if (!silent) {
                mOut.write(bytes);
                mOut.flush();
            }
        }

        void respond(int status, String headers, String body) throws IOException {
            int length = body.getBytes(StandardCharsets.UTF_8).length;
            write(
                    "HTTP/1.1 " + status + " Status\r\n" + headers + "Content-Length: " + length
                            + "\r\n\r\n" + body);
        }

        void json(int status, Object body) throws IOException {
            respond(status, "Content-Type: application/json\r\n", Json.write(body));
        }

        /** Ends the connection in an orderly way. */
        void end() throws IOException {
            socket.close();
        }

        /** Ends the connection with a reset. */
        void reset() {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException closed) {
                // It is closed already.
            }
        }
    }

    private final ServerSocket mServer = new ServerSocket();
    private final Handler mHandler;
    private final Set<Connection> mOpen = ConcurrentHashMap.newKeySet();

    Web(int port, Handler handler) throws IOException {
        mHandler = handler;
        mServer.setReuseAddress(true);
        int chosen = port == 0 ? Ports.next() : port;
        mServer.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), chosen), 512);
        daemon(this::accept);
    }

    static Thread daemon(Runnable work) {
        Thread thread = new Thread(null, work, "stand-in", 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    int port() {
        return mServer.getLocalPort();
    }

    /** Makes all connections silent that are open now; new ones work. */
    int silenceOpen() {
        mOpen.forEach(connection -> connection.silent = true);
        return mOpen.size();
    }

    private void accept() {
        while (!mServer.isClosed()) {
            try {
                Socket socket = mServer.accept();
                socket.setTcpNoDelay(true);
                Connection connection = new Connection(socket);
                mOpen.add(connection);
                daemon(() -> serve(connection));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Connection connection) {
        try {
            InputStream in = connection.socket.getInputStream();
            for (Request request = read(in, connection);
                    request != null && !connection.silent;
                    request = read(in, connection)) {
                mHandler.handle(request);
            }
        } catch (Exception ended) {
            // The connection has ended.
        }
        if (!connection.silent) {
            mOpen.remove(connection);
            try {
                connection.socket.close();
            } catch (IOException closed) {
                // It is closed already.
            }
        }
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                if (line.size() == 0) {
                    return null;
                }
                throw new EOFException("end within a line");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.UTF_8);
    }

    static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).strip(), line.substring(colon + 1).strip());
        }
        return headers;
    }

    private static Request read(InputStream in, Connection connection) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        String[] parts = first.split(" ");
        Map<String, String> headers = headers(in);
        byte[] body = body(in, headers);
        int mark = parts[1].indexOf('?');
        return new Request(
                parts[0],
                parts[1],
                mark < 0 ? parts[1] : parts[1].substring(0, mark),
                mark < 0 ? "" : parts[1].substring(mark + 1),
                headers,
                body,
                connection);
    }

    /** Reads a body with a length or in chunks; an empty one if neither is stated. */
    static byte[] body(InputStream in, Map<String, String> headers) throws IOException {
        if (headers.getOrDefault("Transfer-Encoding", "").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (int size = chunk(in); size > 0; size = chunk(in)) {
                body.write(exactly(in, size));
                line(in);
            }
            line(in);
            return body.toByteArray();
        }
        return exactly(in, Integer.parseInt(headers.getOrDefault("Content-Length", "0")));
    }

    private static int chunk(InputStream in) throws IOException {
        String size = line(in);
        if (size == null) {
            throw new EOFException("end between two chunks");
        }
        return Integer.parseInt(size, 16);
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("end within a body");
        }
        return bytes;
    }

    /** Closes the port and all connections. */
    @Override
    public void close() throws IOException {
        mServer.close();
        for (Connection connection : mOpen) {
            connection.reset();
        }
    }
}
