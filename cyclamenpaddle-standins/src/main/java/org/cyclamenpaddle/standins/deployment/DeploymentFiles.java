package org.cyclamenpaddle.standins.deployment;

import com.fasterxml.jackson.annotation.JsonValue;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import org.cyclamenpaddle.core.config.ObjectKey;
import org.cyclamenpaddle.core.config.ObjectKind;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.PresetName;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.standins.http.JsonResponses;
import org.cyclamenpaddle.standins.platform.ListedHost;

/** Writes the files that start a deployment: stand-ins, entry host settings and objects. */
public final class DeploymentFiles {

    /** Name of the stand-ins file, read by the subcommand {@code fleet}. */
    public static final String FLEET = "fleet.json";

    /** Name of the objects file, read by the subcommand {@code declare}. */
    public static final String OBJECTS = "objects.json";

    private static final long STREAM_SILENCE_MILLIS = 2_000;
    private static final long TRANSFER_MILLIS = 700;
    private static final long LOAD_POLL_MILLIS = 250;
    private static final ObjectMapper SPECS =
            JsonResponses.JSON
                    .copy()
                    .addMixIn(BackendId.class, PlainText.class)
                    .addMixIn(FailureDomain.class, PlainText.class)
                    .addMixIn(PresetName.class, PlainText.class)
                    .addMixIn(ServiceName.class, PlainText.class);

    private final DeploymentPlan mPlan;
    private final String mPolicy;

    /**
     * Creates a writer of the files of a plan.
     *
     * @param plan deployment plan
     * @param policy value of the entry hosts' setting {@code routing.policy}
     */
    public DeploymentFiles(DeploymentPlan plan, String policy) {
        mPlan = plan;
        mPolicy = policy;
    }

    /** Jackson mix-in that serializes an identifier as a string. */
    private interface PlainText {

        @JsonValue
        String value();
    }

    /** Writes all files into {@code directory}. */
    public void write(Path directory) throws IOException {
        Files.createDirectories(directory);
        write(directory.resolve(FLEET), fleet());
        write(directory.resolve(OBJECTS), objects());
        for (ListedHost host : mPlan.hosts()) {
            Files.writeString(directory.resolve(host.host() + ".toml"), settings(host));
        }
    }

    /** Returns the declared objects, each after the objects that it references. */
    public List<DeclaredObject> objects() {
        List<DeclaredObject> objects = new ArrayList<>();
        mPlan.services().forEach(s -> objects.add(object(ObjectKind.SERVICE, s.name().value(), s)));
        mPlan.backends().forEach(b -> objects.add(object(ObjectKind.BACKEND, b.id().value(), b)));
        objects.add(object(ObjectKind.PRESET, mPlan.preset().name().value(), mPlan.preset()));
        objects.add(object(ObjectKind.IN_FORCE, ObjectKey.IN_FORCE_NAME, mPlan.inForce()));
        return objects;
    }

    private ObjectNode fleet() {
        ObjectNode fleet = JsonResponses.JSON.createObjectNode();
        fleet.putArray("platformPorts").add(mPlan.platformPort());
        fleet.set("plainPorts", JsonResponses.JSON.valueToTree(mPlan.plainPorts()));
        fleet.set("hosts", JsonResponses.JSON.valueToTree(mPlan.hosts()));
        JsonNode settings = JsonResponses.JSON.valueToTree(mPlan.engineSettings());
        mPlan.enginePorts()
                .forEach(
                        port ->
                                fleet.withArray("engines")
                                        .addObject()
                                        .put("port", port)
                                        .set("settings", settings));
        return fleet;
    }

    private String settings(ListedHost host) {
        String seeds =
                mPlan.hosts().stream()
                        .filter(other -> !other.equals(host))
                        .map(other -> "\"" + other.address() + ":" + other.peerPort() + "\"")
                        .collect(Collectors.joining(", "));
        return String.join(
                "\n",
                "[host]",
                "name = \"" + host.host() + "\"",
                "failure_domain = \"" + host.domain() + "\"",
                "address = \"" + host.address() + "\"",
                "http_port = " + host.httpPort(),
                "peer_port = " + host.peerPort(),
                "[platform]",
                "address = \"" + DeploymentPlan.ADDRESS + "\"",
                "port = " + mPlan.platformPort(),
                "[peers]",
                "seeds = [" + seeds + "]",
                "[timing]",
                "stream_silence_ms = " + machine(STREAM_SILENCE_MILLIS),
                "transfer_ms = " + machine(TRANSFER_MILLIS),
                "load_poll_ms = " + machine(LOAD_POLL_MILLIS),
                "[routing]",
                "policy = \"" + mPolicy + "\"",
                "expected_output_tokens = " + mPlan.deployment().workload().answerTokens(),
                "");
    }

    private long machine(long modelledMillis) {
        return mPlan.engineSettings().machine(modelledMillis);
    }

    private static DeclaredObject object(ObjectKind kind, String name, Object spec) {
        return new DeclaredObject(kind.code(), name, SPECS.valueToTree(spec));
    }

    private static void write(Path file, Object value) throws IOException {
        JsonResponses.JSON.writerWithDefaultPrettyPrinter().writeValue(file.toFile(), value);
    }
}
