package org.cyclamenpaddle.peer.net;

import static org.cyclamenpaddle.peer.net.PeerNetworkTest.claimRequest;
import static org.cyclamenpaddle.peer.net.PeerNetworkTest.ran;
import static org.cyclamenpaddle.peer.net.TestHosts.LOOPBACK;
import static org.cyclamenpaddle.peer.net.TestHosts.NO_RESPONSE;
import static org.cyclamenpaddle.peer.net.TestHosts.node;
import static org.testng.Assert.assertEquals;

import io.vavr.control.Either;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenpaddle.core.message.Hello;
import org.cyclamenpaddle.core.message.PeerMessage;
import org.cyclamenpaddle.peer.codec.Frame;
import org.cyclamenpaddle.peer.codec.FrameCodec;
import org.cyclamenpaddle.peer.codec.Mutations;
import org.cyclamenpaddle.peer.net.TestHosts.Node;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class WrongFramesTest {

    private static final long SEED = 20_261_204L;
    private static final int MUTANTS = 300;
    private static final long TIMEOUT_MILLIS = 20_000;
    private static final int SOCKET_TIMEOUT_MILLIS = 20_000;
    private static final FrameCodec CODEC = new FrameCodec();

    private RecordingPeerCounters mCounters;
    private Node mRequester;
    private Node mTarget;

    @BeforeMethod
    public void start() {
        PeerListener listener =
                (from, message) ->
                        CompletableFuture.completedFuture(Optional.<PeerMessage>of(ran("yes")));
        mCounters = new RecordingPeerCounters();
        mRequester = node("a", NO_RESPONSE);
        mTarget = node("b", listener, TestHosts.NO_LIVENESS_CHECKS, mCounters);
    }

    @AfterMethod
    public void close() {
        mRequester.close();
        mTarget.close();
    }

    @DataProvider
    public Object[][] invalidFrames() {
        byte[] claim = frame(new Frame(9, claimRequest("key")));
        byte[] unknownVersion = claim.clone();
        unknownVersion[0] = FrameCodec.VERSION + 1;
        byte[] unknownType = claim.clone();
        unknownType[1] = 99;
        byte[] truncated = java.util.Arrays.copyOf(claim, claim.length - 1);
        byte[] invalidField = claim.clone();
        invalidField[3] = (byte) 0xc0;
        return new Object[][] {
            {true, FrameCodec.MAX_FRAME_BYTES + 1, new byte[0], "TOO_LONG"},
            {true, -1, new byte[0], "TOO_LONG"},
            {true, truncated.length, truncated, "CUT_OFF"},
            {true, 0, new byte[0], "CUT_OFF"},
            {true, claim.length, truncated, "CUT_OFF"},
            {true, claim.length, unknownVersion, "WRONG_VERSION"},
            {true, claim.length, unknownType, "UNKNOWN_TYPE"},
            {true, claim.length, invalidField, "BAD_FIELDS"},
            {false, claim.length, claim, "BAD_HELLO"},
        };
    }

    @Test(dataProvider = "invalidFrames")
    public void invalidFrameIsCountedAndClosesOnlyItsConnection(
            boolean helloFirst, int length, byte[] bytes, String error) throws Exception {
        // A faulty peer sends a malformed frame, which must be counted and close only its own
        // connection. Requests of another host must still get their responses over their existing
        // connection.
        assertResponds();
        try (Socket socket = new Socket(LOOPBACK, mTarget.host().peerPort())) {
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            if (helloFirst) {
                write(out, frame(new Frame(1, new Hello(TestHosts.host("x", 0)))));
            }
            out.writeInt(length);
            out.write(bytes);
            socket.shutdownOutput();
            awaitClose(socket);
        }
        assertEquals(mCounters.next(), "rejected " + error);
        assertResponds();
    }

    @Test
    public void mutatedFramesAffectNoOtherConnection() throws Exception {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(SEED);
        byte[] hello = frame(new Frame(1, new Hello(TestHosts.host("x", 0))));
        for (int i = 0; i < MUTANTS; i++) {
            byte[] claim = frame(new Frame(i, claimRequest("key-" + i)));
            try (Socket socket = new Socket(LOOPBACK, mTarget.host().peerPort())) {
                DataOutputStream out = new DataOutputStream(socket.getOutputStream());
                write(out, hello);
                out.writeInt(claim.length);
                out.write(Mutations.mutate(claim, random));
                socket.shutdownOutput();
                awaitClose(socket);
            } catch (SocketException alreadyClosed) {
                continue;
            }
        }
        assertResponds();
    }

    private void assertResponds() throws Exception {
        Either<PeerError, PeerMessage> response =
                mRequester
                        .network()
                        .request(mTarget.host(), claimRequest("key"), TIMEOUT_MILLIS)
                        .get();
        assertEquals(response, Either.right(ran("yes")));
    }

    private static byte[] frame(Frame frame) {
        return CODEC.encode(frame).get();
    }

    private static void write(DataOutputStream out, byte[] frame) throws IOException {
        out.writeInt(frame.length);
        out.write(frame);
    }

    private static void awaitClose(Socket socket) throws IOException {
        socket.setSoTimeout(SOCKET_TIMEOUT_MILLIS);
        try {
            while (socket.getInputStream().read() >= 0) {
                continue;
            }
        } catch (SocketException reset) {
            // The other end closed while bytes were in flight, which closes the connection as well.
        }
    }
}
