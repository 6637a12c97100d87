import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

/** One connection of a client to a relay. */
final class Caller implements AutoCloseable {
    record Answer(int status, Map<String, String> headers, String body) {
        String header(String name) {
            return headers.getOrDefault(name, "");
        }
    }

    private final Socket mSocket = new Socket();
    private final InputStream mIn;

    Caller(int port, int timeoutMillis) throws IOException {
        mSocket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
        mSocket.setSoTimeout(timeoutMillis);
        mSocket.setTcpNoDelay(true);
        mIn = new BufferedInputStream(mSocket.getInputStream());
    }

    /** Sends a request with these headers, each with its line end. */
    void send(String method, String path, String headers, String body) throws IOException {
        String length =
                body.isEmpty() && method.equals("GET")
                        ? ""
                        : "Content-Length: " + body.length() + "\r\n";
        mSocket.getOutputStream()
                .write(
                        (method + " " + path + " HTTP/1.1\r\nHost: desk.example\r\n" + headers
                                        + length + "\r\n" + body)
                                .getBytes(StandardCharsets.UTF_8));
    }

    Answer call(String method, String path, String headers, String body) throws IOException {
        send(method, path, headers, body);
        return answer();
    }

    /** Reads an answer; throws if the connection ends within it or before it. */
    Answer answer() throws IOException {
        String first = Web.line(mIn);
        if (first == null) {
            throw new IOException("connection closed without an answer");
        }
        int status = Integer.parseInt(first.split(" ")[1]);
        Map<String, String> headers = Web.headers(mIn);
        if (!headers.containsKey("Content-Length") && !headers.containsKey("Transfer-Encoding")) {
            ByteArrayOutputStream rest = new ByteArrayOutputStream();
            mIn.transferTo(rest);
            return new Answer(status, headers, rest.toString(StandardCharsets.UTF_8));
        }
        return new Answer(
                status,
                headers,
                new String(Web.body(mIn, headers), StandardCharsets.UTF_8));
    }

    InputStream input() {
        return mIn;
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
