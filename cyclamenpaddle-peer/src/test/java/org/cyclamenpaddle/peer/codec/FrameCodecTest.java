package org.cyclamenpaddle.peer.codec;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.io.IOException;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.cyclamenpaddle.core.config.ConfigurationObject;
import org.cyclamenpaddle.core.config.ObjectKey;
import org.cyclamenpaddle.core.config.ObjectKind;
import org.cyclamenpaddle.core.message.ConfigurationResponse;
import org.cyclamenpaddle.core.message.PeerMessage;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.testng.annotations.Test;

public class FrameCodecTest {

    private static final long SEED = 20_261_203L;
    private static final int MUTANTS = 200_000;

    private final FrameCodec mCodec = new FrameCodec();

    @Test
    public void everyMessageSurvivesItsFrame() {
        for (PeerMessage message : Samples.ALL) {
            Frame frame = new Frame(1L << 40, message);
            assertEquals(mCodec.decode(encoded(frame)), Either.right(frame));
        }
        assertEquals(
                Samples.ALL.stream().map(Object::getClass).collect(Collectors.toSet()),
                Arrays.stream(PeerMessage.class.getPermittedSubclasses())
                        .collect(Collectors.toSet()));
    }

    @Test
    public void everyCutAndEveryLeftoverIsRefused() {
        for (PeerMessage message : Samples.ALL) {
            byte[] whole = encoded(new Frame(0, message));
            for (int length = 0; length < whole.length; length++) {
                assertRefused(Arrays.copyOf(whole, length), FrameError.CUT_OFF);
            }
            assertRefused(Arrays.copyOf(whole, whole.length + 1), FrameError.BAD_FIELDS);
        }
    }

    @Test
    public void otherVersionAndTypeAreRefused() throws IOException {
        byte[] bytes = encoded(new Frame(0, Samples.ALL.get(0)));
        bytes[0] = FrameCodec.VERSION + 1;
        assertRefused(bytes, FrameError.WRONG_VERSION);
        assertRefused(packed(packer -> packer.packInt(99).packLong(0)), FrameError.UNKNOWN_TYPE);
    }

    @Test
    public void fieldsOutOfBoundsAreRefusedWithoutTakingMemory() throws IOException {
        int heldAsks = MessageType.GRANT_REGISTER.code();
        int claim = MessageType.CLAIM_REQUEST.code();
        int state = MessageType.CLAIM_RESPONSE.code();
        List<byte[]> wrong =
                List.of(
                        packed(p -> p.packInt(heldAsks).packLong(0).packArrayHeader(1 << 30)),
                        packed(p -> p.packInt(heldAsks).packLong(0).packString("list")),
                        packed(p -> p.packInt(claim).packLong(0).packRawStringHeader(1 << 30)),
                        packed(p -> p.packInt(claim).packLong(0).packLong(5).packString("key")),
                        packed(p -> p.packInt(claim).packLong(0).packString("a/b").packString("k")),
                        packed(p -> p.packInt(claim).packString("0")),
                        packed(p -> p.packInt(state).packLong(0).packInt(99).packNil()),
                        packed(p -> p.packInt(state).packLong(0).packInt(-1).packNil()),
                        packed(p -> p.packString("type")));
        wrong.forEach(bytes -> assertRefused(bytes, FrameError.BAD_FIELDS));
    }

    @Test
    public void messageLongerThanFrameIsNotEncoded() {
        PeerMessage message = configuration(1, FrameCodec.MAX_FRAME_BYTES);
        assertEquals(mCodec.encode(new Frame(0, message)).getLeft(), FrameError.TOO_LONG);
        assertRefused(new byte[FrameCodec.MAX_FRAME_BYTES + 1], FrameError.TOO_LONG);
    }

    @Test
    public void configurationThatDoesNotFitIsSentInParts() {
        // A host that starts while the platform is away would never serve: all objects together
        // don't fit into a frame. Each answer brings the first of those that the asker lacks.
        ConfigurationResponse whole = configuration(3_000, 1_000);
        List<ConfigurationObject> lacking = whole.objects();
        int asks = 0;
        while (!lacking.isEmpty()) {
            Frame part = new Frame(1, new ConfigurationResponse(lacking));
            PeerMessage read = mCodec.decode(encoded(part)).get().message();
            int brought = ((ConfigurationResponse) read).objects().size();
            assertEquals(((ConfigurationResponse) read).objects(), lacking.subList(0, brought));
            lacking = lacking.subList(brought, lacking.size());
            asks++;
        }
        assertEquals(asks, 4);
    }

    private static ConfigurationResponse configuration(int objects, int documentBytes) {
        Optional<String> document = Optional.of("x".repeat(documentBytes));
        return new ConfigurationResponse(
                IntStream.range(0, objects)
                        .mapToObj(i -> new ObjectKey(ObjectKind.BACKEND, "runner-" + i))
                        .map(key -> new ConfigurationObject(key, 1, document))
                        .collect(Collectors.toList()));
    }

    @Test
    public void mutatedFramesNeverThrowAndWhatIsReadIsSound() {
        // A host would lose its I/O thread, or act on garbage. Any bytes may come from a peer gone
        // wrong; each must be refused as a value, or be a message that itself encodes and decodes.
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(SEED);
        int refused = 0;
        for (int i = 0; i < MUTANTS; i++) {
            PeerMessage message = Samples.ALL.get(random.nextInt(Samples.ALL.size()));
            byte[] bytes = Mutations.mutate(encoded(new Frame(i, message)), random);
            Either<FrameError, Frame> frame = mCodec.decode(bytes);
            refused += frame.isLeft() ? 1 : 0;
            frame.forEach(read -> assertEquals(mCodec.decode(encoded(read)), Either.right(read)));
        }
        assertTrue(refused > MUTANTS / 2, refused + " refused");
        assertTrue(refused < MUTANTS, "no mutant was read, so soundness was not tried");
    }

    private byte[] encoded(Frame frame) {
        return mCodec.encode(frame).get();
    }

    private void assertRefused(byte[] bytes, FrameError error) {
        assertEquals(mCodec.decode(bytes).getLeft(), error);
    }

    private interface Packing {
        void pack(MessageBufferPacker packer) throws IOException;
    }

    private static byte[] packed(Packing packing) throws IOException {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.addPayload(new byte[] {FrameCodec.VERSION});
            packing.pack(packer);
            return packer.toByteArray();
        }
    }
}
