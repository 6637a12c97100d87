import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Stand-in of a runner on plain sockets; a script decides what it answers. */
class Runner implements AutoCloseable {

    /** A request as received. */
    record Arrival(String method, String path, Map<String, String> headers, String body) {
        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(), "");
        }

        String id() {
            return header("cyclamenpaddle-attempt-id");
        }
    }

    /** A connection of a caller. */
    static final class Link {
        final Socket socket;
        /** Requests that have arrived on the connection so far. */
        int requests;

        Link(Socket socket) {
            this.socket = socket;
        }

        void send(String text) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    /** Answers a request. */
    interface Script {
        void answer(Arrival arrival, Link link) throws Exception;
    }

    final String id;
    final ServerSocket server;
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();
    volatile Script script;
    String zone = "z1";
    /** Whether the runner says in all its answers that it leaves. */
    volatile boolean leaving;

    Runner(String id) throws IOException {
        this.id = id;
        server = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
        Thread acceptor = new Thread(this::accept);
        acceptor.setDaemon(true);
        acceptor.start();
    }

    int port() {
        return server.getLocalPort();
    }

    /** Returns the store's entry of this runner. */
    String entry(String service, String state, String stage) {
        return "{\"service\":\"" + service + "\",\"address\":\"127.0.0.1:" + port() + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\","
                + "\"slots\":64,\"state\":\"" + state + "\",\"cold_remaining_ms\":0,"
                + (stage.isEmpty() ? "" : "\"stage\":\"" + stage + "\",")
                + "\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"seq\":4,\"born\":1700000000000}";
    }

    /** Returns the head of an answer without the empty line that ends it. */
    String head(int status) {
        return "HTTP/1.1 " + status + " Status\r\n" + (leaving ? "Server-Leaving: 1\r\n" : "");
    }

    /** Returns a complete signed answer of a request that was run. */
    String ran(Arrival arrival, String body) {
        return head(200) + "Cyclamenpaddle-Attempt-Id: " + arrival.id() + "\r\nCyclamenpaddle-Server-Signature: 3e1b." + id
                + "\r\nContent-Type: text/plain\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Returns an answer which states that the request was not run. */
    String notRun(Arrival arrival, int status) {
        return head(status) + "Cyclamenpaddle-Attempt-Id: " + arrival.id()
                + "\r\nCyclamenpaddle-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    }

    String json(int status, String body) {
        return head(status) + "Content-Type: application/json\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                mSockets.add(socket);
                Thread thread = new Thread(() -> serve(socket));
                thread.setDaemon(true);
                thread.start();
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Link link = new Link(socket);
            for (Arrival arrival = read(in); arrival != null; arrival = read(in)) {
                link.requests++;
                String expected = arrival.header("cyclamenpaddle-expect-instance");
                if (!expected.isEmpty() && !expected.equals(id)) {
                    link.send(notRun(arrival, 421));
                } else if (arrival.path().equals("/health")) {
                    link.send("HTTP/1.1 " + (leaving ? 503 : 200) + " Health\r\n" + (leaving ? "Server-Leaving: 1\r\n" : "")
                            + "Cyclamenpaddle-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
                } else {
                    script.answer(arrival, link);
                }
                if (socket.isClosed()) {
                    return;
                }
            }
        } catch (Exception broken) {
            // The caller has closed the connection.
        } finally {
            mSockets.remove(socket);
        }
    }

    /** Ends like a process that crashes: the port is closed and all connections are reset. */
    void crash() throws IOException {
        server.close();
        for (Socket socket : mSockets) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                return null;
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    private static Arrival read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>();
        for (String header = line(in); header != null && !header.isEmpty(); header = line(in)) {
            int colon = header.indexOf(':');
            headers.put(header.substring(0, colon).toLowerCase(), header.substring(colon + 1).strip());
        }
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(length);
        String[] words = first.split(" ");
        return new Arrival(words[0], words[1], headers, new String(body, StandardCharsets.ISO_8859_1));
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
