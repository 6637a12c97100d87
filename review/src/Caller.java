import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of a client; each request has a connection of its own. */
final class Caller {

    static final String HOST = "ficu95.example";

    /** An answer; status 0 is a connection that ended without a complete one. */
    record Answer(int status, Map<String, String> headers, String body, boolean complete) {}

    private Caller() {}

    static String request(String method, String path, String id, long deadlineMillis, String more, String body) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nCyclamenpaddle-Attempt-Id: " + id
                + "\r\nCyclamenpaddle-Deadline-Ms: " + deadlineMillis + "\r\n" + more
                + (method.equals("GET") ? "" : "Content-Length: " + body.length() + "\r\n") + "\r\n" + body;
    }

    static Answer send(int port, String request, long timeoutMillis) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout((int) timeoutMillis);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            return read(new BufferedInputStream(socket.getInputStream()));
        } catch (IOException failure) {
            return new Answer(0, Map.of(), String.valueOf(failure), false);
        }
    }

    private static Answer read(InputStream in) throws IOException {
        String first = Runner.line(in);
        if (first == null) {
            return new Answer(0, Map.of(), "closed", false);
        }
        Map<String, String> headers = new TreeMap<>();
        for (String header = Runner.line(in); header != null && !header.isEmpty(); header = Runner.line(in)) {
            int colon = header.indexOf(':');
            headers.put(header.substring(0, colon).toLowerCase(), header.substring(colon + 1).strip());
        }
        int status = Integer.parseInt(first.split(" ")[1]);
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete = false;
        try {
            if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
                String size = Runner.line(in);
                while (size != null && Integer.parseInt(size.strip(), 16) > 0) {
                    body.writeBytes(in.readNBytes(Integer.parseInt(size.strip(), 16)));
                    Runner.line(in);
                    size = Runner.line(in);
                }
                complete = size != null;
            } else {
                int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
                body.writeBytes(in.readNBytes(length));
                complete = body.size() == length;
            }
        } catch (IOException brokenOff) {
            complete = false;
        }
        return new Answer(status, headers, body.toString(StandardCharsets.ISO_8859_1), complete);
    }
}
