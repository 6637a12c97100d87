package org.cyclamenpaddle.core.config;

import org.cyclamenpaddle.core.id.PresetName;

/**
 * The object that names the preset in force.
 *
 * @param preset its name
 */
public record InForceSpec(PresetName preset) {

    public InForceSpec {
        if (preset == null) {
            throw new IllegalArgumentException("the preset in force needs a name");
        }
    }
}
