package org.cyclamenpaddle.peer.net;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** TCP relay that can blackhole its open connections without closing them. */
final class SilencingRelay implements AutoCloseable {

    private final ServerSocket mSocket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final ExecutorService mThreads = Executors.newCachedThreadPool();

    private volatile int mConnections;
    private volatile int mSilencedBefore;

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

    /** Makes the connections that are open now drop all they receive; later ones relay normally. */
    void silence() {
        mSilencedBefore = mConnections;
    }

    private void acceptAll(int targetPort) {
        while (!mSocket.isClosed()) {
            try {
                Socket from = mSocket.accept();
                Socket to = new Socket(InetAddress.getLoopbackAddress(), targetPort);
                int number = mConnections++;
                mThreads.execute(() -> pump(from, to, number));
                mThreads.execute(() -> pump(to, from, number));
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void pump(Socket from, Socket to, int number) {
        byte[] buffer = new byte[4_096];
        try (from;
                to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                if (number >= mSilencedBefore) {
                    out.write(buffer, 0, read);
                }
            }
        } catch (IOException ended) {
            // One end closed its connection, and both sockets are closed with it.
        }
    }
}
