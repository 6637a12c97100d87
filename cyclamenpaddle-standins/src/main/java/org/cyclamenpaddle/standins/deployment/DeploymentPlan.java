package org.cyclamenpaddle.standins.deployment;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.cyclamenpaddle.core.config.Assignment;
import org.cyclamenpaddle.core.config.BackendRole;
import org.cyclamenpaddle.core.config.BackendSpec;
import org.cyclamenpaddle.core.config.InForceSpec;
import org.cyclamenpaddle.core.config.PlainCall;
import org.cyclamenpaddle.core.config.PresetSpec;
import org.cyclamenpaddle.core.config.ServiceKind;
import org.cyclamenpaddle.core.config.ServiceSpec;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.FailureDomain;
import org.cyclamenpaddle.core.id.PresetName;
import org.cyclamenpaddle.core.id.ServiceName;
import org.cyclamenpaddle.standins.engine.EngineSettings;
import org.cyclamenpaddle.standins.platform.ListedHost;

/**
 * Plan of a deployment on one machine: the ports of stand-ins and entry hosts and the configuration
 * objects.
 *
 * @param deployment deployment
 * @param speed factor by which modelled time runs faster than real time
 * @param basePort first port; the plan uses the 300 ports that start there
 * @param entryHosts number of entry hosts
 */
public record DeploymentPlan(Deployment deployment, double speed, int basePort, int entryHosts) {

    /** IP address of all stand-ins and entry hosts. */
    public static final String ADDRESS = "127.0.0.1";

    private static final int PLAIN_OFFSET = 1;
    private static final int ENGINE_OFFSET = 10;
    private static final int HTTP_OFFSET = 100;
    private static final int PEER_OFFSET = 200;
    private static final String PRESET = "ordinary";
    private static final long BOOK_TIMEOUT_MILLIS = 5_000;
    private static final long STOCK_TIMEOUT_MILLIS = 2_000;

    public DeploymentPlan {
        if (entryHosts < 1 || entryHosts > PEER_OFFSET - HTTP_OFFSET) {
            throw new IllegalArgumentException("number of entry hosts out of range: " + entryHosts);
        }
    }

    /** Returns the platform's port. */
    public int platformPort() {
        return basePort;
    }

    /** Returns the plain services' ports. */
    public List<Integer> plainPorts() {
        return ports(PLAIN_OFFSET, Deployment.PLAIN_SERVERS);
    }

    /** Returns the engines' ports, prefill engines first. */
    public List<Integer> enginePorts() {
        return ports(ENGINE_OFFSET, deployment.engineRoles().size());
    }

    /** Returns the engines' sizes and timing. */
    public EngineSettings engineSettings() {
        return deployment.engineSettings(speed);
    }

    /** Returns the entry hosts. */
    public List<ListedHost> hosts() {
        return IntStream.range(0, entryHosts)
                .mapToObj(
                        i ->
                                new ListedHost(
                                        "entry-" + (i + 1),
                                        ADDRESS,
                                        basePort + PEER_OFFSET + i,
                                        basePort + HTTP_OFFSET + i,
                                        deployment.domain(i),
                                        "live"))
                .collect(Collectors.toList());
    }

    /** Returns the services. */
    public List<ServiceSpec> services() {
        ServiceSpec model =
                new ServiceSpec(
                        new ServiceName(deployment.modelService()),
                        ServiceKind.MODEL,
                        deployment.modelService() + "-model",
                        engineSettings().machine(deployment.firstTokenMillis()),
                        engineSettings().machine(deployment.perTokenMillis()),
                        engineSettings().kvBytesPerToken(),
                        List.of());
        ServiceSpec plain =
                new ServiceSpec(
                        new ServiceName(deployment.plainService()),
                        ServiceKind.PLAIN,
                        "",
                        0,
                        0,
                        0,
                        List.of(
                                new PlainCall("POST", "/book", false, BOOK_TIMEOUT_MILLIS),
                                new PlainCall("GET", "/stock", true, STOCK_TIMEOUT_MILLIS)));
        return List.of(model, plain);
    }

    /** Returns the backend servers, those of the model service first. */
    public List<BackendSpec> backends() {
        List<BackendSpec> backends =
                IntStream.range(0, enginePorts().size())
                        .mapToObj(this::engine)
                        .collect(Collectors.toList());
        IntStream.range(0, plainPorts().size()).mapToObj(this::plain).forEach(backends::add);
        return backends;
    }

    /** Returns the preset for normal operation. */
    public PresetSpec preset() {
        List<BackendRole> roles = deployment.engineRoles();
        List<Assignment> assignments =
                IntStream.range(0, roles.size())
                        .mapToObj(
                                i ->
                                        new Assignment(
                                                engineId(i),
                                                new ServiceName(deployment.modelService()),
                                                roles.get(i)))
                        .collect(Collectors.toList());
        IntStream.range(0, plainPorts().size())
                .mapToObj(
                        i ->
                                new Assignment(
                                        plainId(i),
                                        new ServiceName(deployment.plainService()),
                                        BackendRole.PLAIN))
                .forEach(assignments::add);
        return new PresetSpec(new PresetName(PRESET), "Ordinary days", assignments);
    }

    /** Returns the object that puts the preset in force. */
    public InForceSpec inForce() {
        return new InForceSpec(new PresetName(PRESET));
    }

    private List<Integer> ports(int offset, int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> basePort + offset + i)
                .collect(Collectors.toList());
    }

    private BackendSpec engine(int index) {
        EngineSettings settings = engineSettings();
        long stepMillis = Math.round(settings.stepMillis(settings.slots()));
        return new BackendSpec(
                engineId(index),
                domain(index),
                ADDRESS,
                enginePorts().get(index),
                settings.slots(),
                settings.pieces(),
                (long) (settings.prefillTokensPerSecond() * speed),
                settings.machine(stepMillis),
                (long) (settings.linkBytesPerSecond() * speed),
                settings.fencing(),
                false);
    }

    private BackendSpec plain(int index) {
        return new BackendSpec(
                plainId(index),
                domain(index),
                ADDRESS,
                plainPorts().get(index),
                engineSettings().slots(),
                0,
                0,
                0,
                0,
                engineSettings().fencing(),
                false);
    }

    private FailureDomain domain(int index) {
        return new FailureDomain(deployment.domain(index));
    }

    private BackendId engineId(int index) {
        String role = deployment.engineRoles().get(index).name().toLowerCase(Locale.ROOT);
        return new BackendId(role + "-" + (index + 1));
    }

    private BackendId plainId(int index) {
        return new BackendId(deployment.plainService() + "-" + (index + 1));
    }
}
