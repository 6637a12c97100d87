package org.cyclamenpaddle.peer.net;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** Relay whose first connection passes the hellos and then goes silent but stays open. */
final class SilencingRelay implements AutoCloseable {

    private final ServerSocket mSocket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final ExecutorService mThreads = Executors.newCachedThreadPool();

    SilencingRelay(int targetPort) throws IOException {
        mThreads.execute(() -> acceptAll(targetPort));
    }

    int port() {
        return mSocket.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
        mThreads.shutdownNow();
    }

    private void acceptAll(int targetPort) {
        for (boolean first = true; !mSocket.isClosed(); first = false) {
            try {
                Socket from = mSocket.accept();
                Socket to = new Socket(InetAddress.getLoopbackAddress(), targetPort);
                boolean silent = first;
                mThreads.execute(() -> pump(from, to, silent));
                mThreads.execute(() -> pump(to, from, false));
            } catch (IOException closed) {
                return;
            }
        }
    }

    /** Passes bytes on; if {@code silent} only the first, which are the hello. */
    private static void pump(Socket from, Socket to, boolean silent) {
        byte[] buffer = new byte[4_096];
        boolean passes = true;
        try (from;
                to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                if (passes) {
                    out.write(buffer, 0, read);
                }
                passes = !silent;
            }
        } catch (IOException ended) {
            // One end went, and both sockets are closed with it.
        }
    }
}
