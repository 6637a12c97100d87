package org.cyclamenpaddle.core.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.PresetName;
import org.cyclamenpaddle.core.id.ServiceName;
import org.testng.annotations.Test;

public class ConfigurationChecksTest {

    private static final ServiceName MODEL_SERVICE = new ServiceName("malt-reader");
    private static final BackendId ENGINE = new BackendId("ahm-p1");
    private static final PresetName ORDINARY = new PresetName("ordinary");

    private final ServiceSpec mModelService =
            new ServiceSpec(
                    MODEL_SERVICE, ServiceKind.MODEL, "reader-7b", 580, 44, 100_000, List.of());
    private final BackendSpec mEngine =
            new BackendSpec(
                    ENGINE,
                    new FailureDomain("ahm"),
                    "127.0.0.1",
                    9001,
                    20,
                    64,
                    20_000,
                    20,
                    1_000_000_000L,
                    FencingSupport.HONOURS,
                    false);

    @Test
    public void acceptsPresetWhoseReferencesExist() {
        assertEquals(
                ConfigurationChecks.preset(view(), preset(BackendRole.PREFILL)), Optional.empty());
    }

    @Test
    public void rejectsRoleThatDoesNotFit() {
        String problem =
                ConfigurationChecks.preset(view(), preset(BackendRole.PLAIN)).orElseThrow();

        assertTrue(problem.contains("role plain to ahm-p1"), problem);
    }

    @Test
    public void rejectsDeletionOfServiceNamedByPreset() {
        String problem = ConfigurationChecks.removeService(view(), MODEL_SERVICE).orElseThrow();

        assertTrue(problem.contains("ordinary"), problem);
    }

    @Test
    public void rejectsDeletionOfPresetInForce() {
        assertTrue(ConfigurationChecks.removePreset(view(), ORDINARY).isPresent());
    }

    @Test
    public void rejectsUnknownPreset() {
        InForceSpec spec = new InForceSpec(new PresetName("peak"));

        assertEquals(
                ConfigurationChecks.inForce(view(), spec),
                Optional.of("preset peak does not exist"));
    }

    private ConfigurationView view() {
        return new ConfigurationView(
                Map.of(MODEL_SERVICE, mModelService),
                Map.of(ENGINE, mEngine),
                Map.of(ORDINARY, preset(BackendRole.PREFILL)),
                Optional.of(ORDINARY));
    }

    private PresetSpec preset(BackendRole role) {
        return new PresetSpec(ORDINARY, "", List.of(new Assignment(ENGINE, MODEL_SERVICE, role)));
    }
}
