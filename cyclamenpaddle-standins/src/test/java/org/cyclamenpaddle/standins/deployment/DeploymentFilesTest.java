package org.cyclamenpaddle.standins.deployment;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.config.ConfigurationChecks;
import org.cyclamenpaddle.core.config.ConfigurationView;
import org.cyclamenpaddle.core.config.ServiceSpec;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class DeploymentFilesTest {

    @DataProvider
    public Object[][] deployments() {
        return new Object[][] {{Deployment.SABARMATI, 13}, {Deployment.SWANLINE, 6}};
    }

    @Test(dataProvider = "deployments")
    public void declaredPresetPassesTheChecks(Deployment deployment, int engines) {
        DeploymentPlan plan = new DeploymentPlan(deployment, 1, 20_000, 4);
        assertEquals(plan.enginePorts().size(), engines);
        ConfigurationView view =
                new ConfigurationView(
                        plan.services().stream()
                                .collect(Collectors.toMap(ServiceSpec::name, Function.identity())),
                        plan.backends().stream()
                                .collect(Collectors.toMap(BackendSpec::id, Function.identity())),
                        Map.of(plan.preset().name(), plan.preset()),
                        Optional.empty());
        assertEquals(ConfigurationChecks.preset(view, plan.preset()), Optional.empty());
        assertEquals(ConfigurationChecks.inForce(view, plan.inForce()), Optional.empty());
    }

    @Test
    public void identifiersAreWrittenAsPlainStrings() {
        DeploymentPlan plan = new DeploymentPlan(Deployment.SWANLINE, 1, 20_000, 4);
        List<DeclaredObject> objects = new DeploymentFiles(plan, "TIMED_GRANTS").objects();
        assertEquals(objects.get(0).spec().path("name").asText(), "note-writer");
        assertEquals(
                objects.get(objects.size() - 1).spec().toString(), "{\"preset\":\"ordinary\"}");
        assertTrue(objects.stream().anyMatch(o -> o.spec().path("id").asText().equals("decode-3")));
    }
}
