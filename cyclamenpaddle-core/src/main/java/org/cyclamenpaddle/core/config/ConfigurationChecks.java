package org.cyclamenpaddle.core.config;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.PresetName;
import org.cyclamenpaddle.core.id.ServiceName;

/**
 * Validates references between configuration objects before a change is accepted.
 *
 * <p>Each method returns a description of the problem, or empty if the change is valid.
 */
public final class ConfigurationChecks {

    private ConfigurationChecks() {}

    /**
     * Checks that every backend server and service named by a preset exists and that each role fits
     * its service.
     */
    public static Optional<String> preset(ConfigurationView view, PresetSpec preset) {
        return preset.assignments().stream()
                .map(assignment -> assignment(view, preset.name(), assignment))
                .flatMap(Optional::stream)
                .findFirst();
    }

    /** Checks that the preset to put in force exists and still passes its own checks. */
    public static Optional<String> inForce(ConfigurationView view, InForceSpec spec) {
        PresetSpec preset = view.presets().get(spec.preset());
        if (preset == null) {
            return Optional.of("preset " + spec.preset() + " does not exist");
        }
        return preset(view, preset);
    }

    /** Checks that no preset names a service that is to be deleted. */
    public static Optional<String> removeService(ConfigurationView view, ServiceName service) {
        return usedBy("service " + service, presetsWhere(view, a -> a.service().equals(service)));
    }

    /** Checks that the roles assigned by presets fit the new declaration of a service. */
    public static Optional<String> replaceService(ConfigurationView view, ServiceSpec service) {
        return usedBy(
                "another kind of service " + service.name(),
                presetsWhere(
                        view,
                        a ->
                                a.service().equals(service.name())
                                        && !service.kind().accepts(a.role())));
    }

    /** Checks that no preset names a backend server that is to be deleted. */
    public static Optional<String> removeBackend(ConfigurationView view, BackendId backend) {
        return usedBy(
                "backend server " + backend, presetsWhere(view, a -> a.backend().equals(backend)));
    }

    /** Checks that a preset to be deleted is not the one in force. */
    public static Optional<String> removePreset(ConfigurationView view, PresetName preset) {
        return view.inForce().filter(preset::equals).map(name -> "preset " + name + " is in force");
    }

    private static Optional<String> assignment(
            ConfigurationView view, PresetName preset, Assignment assignment) {
        ServiceSpec service = view.services().get(assignment.service());
        if (service == null) {
            return Optional.of(
                    "preset " + preset + " names unknown service " + assignment.service());
        }
        if (!view.backends().containsKey(assignment.backend())) {
            return Optional.of(
                    "preset " + preset + " names unknown backend server " + assignment.backend());
        }
        if (!service.kind().accepts(assignment.role())) {
            return Optional.of(
                    "preset "
                            + preset
                            + " gives role "
                            + assignment.role().code()
                            + " to "
                            + assignment.backend()
                            + ", which service "
                            + service.name()
                            + " does not accept");
        }
        return Optional.empty();
    }

    private static List<PresetName> presetsWhere(
            ConfigurationView view, Predicate<Assignment> test) {
        return view.presets().values().stream()
                .filter(preset -> preset.assignments().stream().anyMatch(test))
                .map(PresetSpec::name)
                .sorted()
                .collect(Collectors.toList());
    }

    private static Optional<String> usedBy(String what, List<PresetName> presets) {
        return presets.isEmpty()
                ? Optional.empty()
                : Optional.of(what + " is named by presets " + presets);
    }
}
