import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** Free ports below the range from which outgoing connections take theirs. */
final class Ports {
    private static final int FIRST = 12_000;
    private static final int COUNT = 20_000;

    private static final AtomicInteger NEXT =
            new AtomicInteger(ThreadLocalRandom.current().nextInt(COUNT));

    private Ports() {}

    static int next() throws IOException {
        for (int tries = 0; tries < COUNT; tries++) {
            int port = FIRST + Math.floorMod(NEXT.getAndIncrement(), COUNT);
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port));
                return port;
            } catch (IOException taken) {
                // Try the next one.
            }
        }
        throw new IOException("no free port");
    }
}
