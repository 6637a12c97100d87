package org.cyclamenpaddle.peer.net;

import static org.cyclamenpaddle.peer.net.PeerNetworkTest.claimAsk;
import static org.cyclamenpaddle.peer.net.PeerNetworkTest.ran;
import static org.cyclamenpaddle.peer.net.TestHosts.LOOPBACK;
import static org.cyclamenpaddle.peer.net.TestHosts.SILENT;
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
    private static final long PATIENCE_MILLIS = 20_000;
    private static final int SOCKET_PATIENCE_MILLIS = 20_000;
    private static final FrameCodec CODEC = new FrameCodec();

    private CountingPeers mCounters;
    private Node mAsker;
    private Node mTarget;

    @BeforeMethod
    public void start() {
        PeerListener listener =
                (from, message) ->
                        CompletableFuture.completedFuture(Optional.<PeerMessage>of(ran("yes")));
        mCounters = new CountingPeers();
        mAsker = node("a", SILENT);
        mTarget = node("b", listener, TestHosts.NO_SIGNS, mCounters);
    }

    @AfterMethod
    public void close() {
        mAsker.close();
        mTarget.close();
    }

    @DataProvider
    public Object[][] wrongFrames() {
        byte[] claim = frame(new Frame(9, claimAsk("key")));
        byte[] otherVersion = claim.clone();
        otherVersion[0] = FrameCodec.VERSION + 1;
        byte[] otherType = claim.clone();
        otherType[1] = 99;
        byte[] cut = java.util.Arrays.copyOf(claim, claim.length - 1);
        byte[] wrongField = claim.clone();
        wrongField[3] = (byte) 0xc0;
        return new Object[][] {
            {true, FrameCodec.MAX_FRAME_BYTES + 1, new byte[0], "TOO_LONG"},
            {true, -1, new byte[0], "TOO_LONG"},
            {true, cut.length, cut, "CUT_OFF"},
            {true, 0, new byte[0], "CUT_OFF"},
            {true, claim.length, cut, "CUT_OFF"},
            {true, claim.length, otherVersion, "WRONG_VERSION"},
            {true, claim.length, otherType, "UNKNOWN_TYPE"},
            {true, claim.length, wrongField, "BAD_FIELDS"},
            {false, claim.length, claim, "BAD_HELLO"},
        };
    }

    @Test(dataProvider = "wrongFrames")
    public void wrongFrameIsCountedAndEndsOnlyItsConnection(
            boolean helloFirst, int length, byte[] bytes, String error) throws Exception {
        // Callers of other hosts would lose their answers. A peer gone wrong sends a bad frame,
        // which is counted and ends its connection, while another host's asks are still answered
        // over the connection they had.
        assertAnswered();
        try (Socket socket = new Socket(LOOPBACK, mTarget.host().peerPort())) {
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            if (helloFirst) {
                write(out, frame(new Frame(1, new Hello(TestHosts.host("x", 0)))));
            }
            out.writeInt(length);
            out.write(bytes);
            socket.shutdownOutput();
            awaitEnd(socket);
        }
        assertEquals(mCounters.next(), "refused " + error);
        assertAnswered();
    }

    @Test
    public void mutatedFramesHarmNoOtherConnection() throws Exception {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(SEED);
        byte[] hello = frame(new Frame(1, new Hello(TestHosts.host("x", 0))));
        for (int i = 0; i < MUTANTS; i++) {
            byte[] claim = frame(new Frame(i, claimAsk("key-" + i)));
            try (Socket socket = new Socket(LOOPBACK, mTarget.host().peerPort())) {
                DataOutputStream out = new DataOutputStream(socket.getOutputStream());
                write(out, hello);
                out.writeInt(claim.length);
                out.write(Mutations.mutate(claim, random));
                socket.shutdownOutput();
                awaitEnd(socket);
            } catch (SocketException closedAlready) {
                continue;
            }
        }
        assertAnswered();
    }

    private void assertAnswered() throws Exception {
        Either<PeerError, PeerMessage> answer =
                mAsker.network().request(mTarget.host(), claimAsk("key"), PATIENCE_MILLIS).get();
        assertEquals(answer, Either.right(ran("yes")));
    }

    private static byte[] frame(Frame frame) {
        return CODEC.encode(frame).get();
    }

    private static void write(DataOutputStream out, byte[] frame) throws IOException {
        out.writeInt(frame.length);
        out.write(frame);
    }

    private static void awaitEnd(Socket socket) throws IOException {
        socket.setSoTimeout(SOCKET_PATIENCE_MILLIS);
        try {
            while (socket.getInputStream().read() >= 0) {
                continue;
            }
        } catch (SocketException reset) {
            // The other end closed while bytes were under way, which ends the connection as well.
        }
    }
}
