package org.cyclamenpaddle.store.codec;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.cyclamenpaddle.core.config.Assignment;
import org.cyclamenpaddle.core.config.BackendRole;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.config.ConfigurationObject;
import org.cyclamenpaddle.core.config.FencingSupport;
import org.cyclamenpaddle.core.config.InForceSpec;
import org.cyclamenpaddle.core.config.ObjectKey;
import org.cyclamenpaddle.core.config.ObjectKind;
import org.cyclamenpaddle.core.config.PlainCall;
import org.cyclamenpaddle.core.config.PresetSpec;
import org.cyclamenpaddle.core.config.ServiceKind;
import org.cyclamenpaddle.core.config.ServiceSpec;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.ChangeId;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.PresetName;
import org.cyclamenpaddle.core.id.ServiceName;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ConfigurationCodecTest {

    private static final ChangeId CHANGE = new ChangeId("change-1");
    private static final ServiceSpec MODEL =
            new ServiceSpec(
                    new ServiceName("malt-reader"),
                    ServiceKind.MODEL,
                    "malt-7b",
                    580,
                    44,
                    100_000,
                    List.of());
    private static final ServiceSpec PLAIN =
            new ServiceSpec(
                    new ServiceName("spot-book"),
                    ServiceKind.PLAIN,
                    "",
                    0,
                    0,
                    0,
                    List.of(new PlainCall("POST", "/bookings", false, 2_000)));
    private static final BackendSpec BACKEND =
            new BackendSpec(
                    new BackendId("runner-1"),
                    new FailureDomain("ahm"),
                    "10.0.0.1",
                    8000,
                    20,
                    64,
                    9_000,
                    40,
                    1_000_000_000L,
                    FencingSupport.HONOURS,
                    false);
    private static final PresetSpec PRESET =
            new PresetSpec(
                    new PresetName("peak"),
                    "harvest",
                    List.of(new Assignment(BACKEND.id(), MODEL.name(), BackendRole.DECODE)));

    private final ConfigurationCodec mCodec = new ConfigurationCodec();

    @Test
    public void specsSurviveTheirDocuments() {
        assertEquals(mCodec.service(mCodec.encode(CHANGE, MODEL)), Either.right(MODEL));
        assertEquals(mCodec.service(mCodec.encode(CHANGE, PLAIN)), Either.right(PLAIN));
        assertEquals(mCodec.backend(mCodec.encode(CHANGE, BACKEND)), Either.right(BACKEND));
        assertEquals(mCodec.preset(mCodec.encode(CHANGE, PRESET)), Either.right(PRESET));
        InForceSpec inForce = new InForceSpec(PRESET.name());
        String document = mCodec.encode(CHANGE, inForce);
        assertEquals(document, "{\"changeId\":\"change-1\",\"spec\":{\"preset\":\"peak\"}}");
        assertEquals(mCodec.inForce(document), Either.right(inForce));
        assertEquals(mCodec.changeId(document), Optional.of(CHANGE));
    }

    @DataProvider
    public Object[][] refusedBackends() {
        String good = mCodec.encode(CHANGE, BACKEND);
        return new Object[][] {
            {good.replace("\"slots\"", "\"slotz\""), "slotz"},
            {good.replace("\"slots\":20", "\"slots\":\"20\""), "slots"},
            {good.replace("\"slots\":20", "\"slots\":20.5"), "slots"},
            {good.replace("\"slots\":20", "\"slots\":null"), "slots"},
            {good.replace("\"slots\":20", "\"slots\":20,\"slots\":21"), "slots"},
            {good.replace("\"slots\":20", "\"slots\":0"), "slots 0"},
            {good.replace("\"leaving\":false", "\"leaving\":0"), "leaving"},
            {good.replace("\"HONOURS\"", "\"SOMETIMES\""), "fencing"},
            {good.replace("\"HONOURS\"", "0"), "fencing"},
            {good.replace("\"runner-1\"", "\"runner 1\""), "runner 1"},
            {good.replace("\"runner-1\"", "7"), "id"},
            {good.replace("\"10.0.0.1\"", "\"runner.example\""), "runner.example"},
            {good.replace("\"changeId\":\"change-1\"", "\"changeId\":\"no change\""), "changeId"},
            {good.replace("\"changeId\":\"change-1\",", ""), "changeId"},
            {good.replace("\"spec\"", "\"speck\""), "speck"},
            {good + "{}", "trailing"},
            {"{\"changeId\":\"change-1\",\"spec\":[]}", "spec"},
            {"null", "null"},
            {"", ""},
        };
    }

    @Test(dataProvider = "refusedBackends")
    public void refusalNamesTheMember(String document, String named) {
        Either<String, BackendSpec> backend = mCodec.backend(document);
        assertTrue(backend.isLeft(), document);
        assertTrue(
                backend.getLeft()
                        .toLowerCase(java.util.Locale.ROOT)
                        .contains(named.toLowerCase(java.util.Locale.ROOT)),
                backend.getLeft());
    }

    @Test
    public void memberLeftOutHasItsDefault() {
        String document = mCodec.encode(CHANGE, BACKEND).replace(",\"leaving\":false", "");
        assertEquals(mCodec.backend(document), Either.right(BACKEND));
    }

    @Test
    public void badObjectIsReportedAndTakesNoOtherOut() {
        ObjectKey presetKey = new ObjectKey(ObjectKind.PRESET, "peak");
        ObjectKey backendKey = new ObjectKey(ObjectKind.BACKEND, "runner-1");
        ObjectKey misnamed = new ObjectKey(ObjectKind.SERVICE, "other");
        ObjectKey deleted = new ObjectKey(ObjectKind.SERVICE, "gone");
        ParsedConfiguration parsed =
                mCodec.parse(
                        List.of(
                                object(presetKey, Optional.of(mCodec.encode(CHANGE, PRESET))),
                                object(backendKey, Optional.of("{")),
                                object(misnamed, Optional.of(mCodec.encode(CHANGE, MODEL))),
                                object(deleted, Optional.empty()),
                                object(
                                        ObjectKey.inForce(),
                                        Optional.of(
                                                mCodec.encode(
                                                        CHANGE, new InForceSpec(PRESET.name()))))));
        assertEquals(parsed.view().presetInForce(), Optional.of(PRESET));
        assertTrue(parsed.view().services().isEmpty());
        assertTrue(parsed.view().backends().isEmpty());
        assertEquals(parsed.rejected().keySet(), Set.of(backendKey, misnamed));
    }

    @Test
    public void submittedBodyNeedsNoChangeId() {
        ObjectKey key = new ObjectKey(ObjectKind.PRESET, "peak");
        String body = "{\"version\":3,\"spec\":{\"name\":\"peak\",\"assignments\":[]}}";
        assertEquals(
                mCodec.submitted(key, body),
                Either.right(new PresetSpec(new PresetName("peak"), "", List.of())));
        assertTrue(mCodec.submitted(new ObjectKey(ObjectKind.PRESET, "low"), body).isLeft());
        assertTrue(mCodec.submitted(key, "{\"spec\":null}").isLeft());
    }

    private static ConfigurationObject object(ObjectKey key, Optional<String> document) {
        return new ConfigurationObject(key, 1, document);
    }
}
