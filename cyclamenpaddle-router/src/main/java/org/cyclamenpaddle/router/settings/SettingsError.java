package org.cyclamenpaddle.router.settings;

/**
 * Reason why a settings file was rejected.
 *
 * @param file name of the file
 * @param location the key, or line and column if the file is not valid TOML
 * @param problem description of the error
 * @param allowed description of the allowed values
 */
public record SettingsError(String file, String location, String problem, String allowed) {

    /** Returns the full message on one line. */
    public String message() {
        return file + ": " + location + ": " + problem + "; allowed: " + allowed;
    }

    @Override
    public String toString() {
        return message();
    }
}
