package org.cyclamenpaddle.core.config;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.cyclamenpaddle.core.id.BackendId;
import org.cyclamenpaddle.core.id.PresetName;

/**
 * Declaration of a preset, which assigns backend servers to services and roles.
 *
 * <p>A backend server that the preset in force does not name receives no new work.
 *
 * @param name its name
 * @param description human-readable description
 * @param assignments at most one for each backend server
 */
public record PresetSpec(PresetName name, String description, List<Assignment> assignments) {

    public PresetSpec {
        if (name == null) {
            throw new IllegalArgumentException("preset needs a name");
        }
        description = description == null ? "" : description;
        assignments = assignments == null ? List.of() : List.copyOf(assignments);
        Set<BackendId> seen = new HashSet<>();
        for (Assignment assignment : assignments) {
            if (!seen.add(assignment.backend())) {
                throw new IllegalArgumentException(
                        "preset " + name + " assigns " + assignment.backend() + " twice");
            }
        }
    }
}
