package org.cyclamenpaddle.ctl.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.cyclamenpaddle.core.config.ConfigurationChecks;
import org.cyclamenpaddle.core.config.ConfigurationObject;
import org.cyclamenpaddle.core.config.ConfigurationView;
import org.cyclamenpaddle.core.id.PresetName;
import org.cyclamenpaddle.ctl.report.Json;
import org.cyclamenpaddle.store.codec.ConfigurationCodec;
import org.cyclamenpaddle.store.codec.ParsedConfiguration;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class ExampleObjectsTest {

    private final ConfigurationCodec mCodec = new ConfigurationCodec();

    @DataProvider
    public Object[][] examples() {
        return new Object[][] {{"sabarmati", 17}, {"swanline", 10}};
    }

    @Test(dataProvider = "examples")
    public void everyObjectIsSoundAndFitsTheOthers(String user, int backends) {
        String file = Path.of("..", "examples", user, "objects.toml").toString();

        List<ConfigurationObject> objects =
                ObjectFile.read(file, Optional.empty()).get().stream().map(this::stored).toList();
        ParsedConfiguration parsed = mCodec.parse(objects);

        ConfigurationView view = parsed.view();
        assertEquals(parsed.rejected().toString(), "{}");
        assertEquals(view.backends().size(), backends);
        assertEquals(view.services().size(), 2);
        for (String name : List.of("ordinary", "peak", "maintenance")) {
            var preset = view.presets().get(new PresetName(name));
            assertEquals(ConfigurationChecks.preset(view, preset), Optional.empty());
        }
    }

    private ConfigurationObject stored(ObjectFile.Declaration declaration) {
        JsonNode spec =
                SpecDefaults.complete(
                        declaration.key().kind(), declaration.declared(), Optional.empty());
        String document = Json.object().put("changeId", "c-1").set("spec", spec).toString();
        assertTrue(spec.isObject(), document);
        return new ConfigurationObject(declaration.key(), 1, Optional.of(document));
    }
}
