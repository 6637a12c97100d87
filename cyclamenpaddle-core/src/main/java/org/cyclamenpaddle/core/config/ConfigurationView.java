package org.cyclamenpaddle.core.config;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.PresetName;
import org.cyclamenpaddle.core.id.ServiceName;

/**
 * Immutable snapshot of all configuration objects in parsed form.
 *
 * @param services declared services
 * @param backends declared backend servers
 * @param presets declared presets
 * @param inForce name of the preset in force, if one was ever chosen
 */
public record ConfigurationView(
        Map<ServiceName, ServiceSpec> services,
        Map<BackendId, BackendSpec> backends,
        Map<PresetName, PresetSpec> presets,
        Optional<PresetName> inForce) {

    /** A snapshot without any object. */
    public static final ConfigurationView EMPTY =
            new ConfigurationView(Map.of(), Map.of(), Map.of(), Optional.empty());

    public ConfigurationView {
        services = Map.copyOf(services);
        backends = Map.copyOf(backends);
        presets = Map.copyOf(presets);
    }

    /** Returns the preset in force, if this snapshot contains it. */
    public Optional<PresetSpec> presetInForce() {
        return inForce.map(presets::get);
    }

    /** Returns the assignments of the preset in force by backend server. */
    public Map<BackendId, Assignment> assignments() {
        return presetInForce().stream()
                .flatMap(preset -> preset.assignments().stream())
                .collect(Collectors.toMap(Assignment::backend, Function.identity()));
    }

    /**
     * Returns the backend servers that are eligible for new work of a service in a role, in id
     * order.
     *
     * <p>Backend servers that the operator set to drain are excluded.
     */
    public List<BackendSpec> serving(ServiceName service, BackendRole role) {
        return presetInForce().stream()
                .flatMap(preset -> preset.assignments().stream())
                .filter(a -> a.service().equals(service) && a.role() == role)
                .map(a -> backends.get(a.backend()))
                .filter(backend -> backend != null && !backend.leaving())
                .sorted((a, b) -> a.id().compareTo(b.id()))
                .collect(Collectors.toList());
    }
}
