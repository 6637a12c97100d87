package org.cyclamenpaddle.router.settings;

/**
 * Why a settings file was refused.
 *
 * @param file the file
 * @param location the key, or line and column where the file is no TOML
 * @param problem what is wrong there
 * @param allowed what is allowed there instead
 */
public record SettingsError(String file, String location, String problem, String allowed) {

    /** Returns the whole message on one line. */
    public String message() {
        return file + ": " + location + ": " + problem + "; allowed: " + allowed;
    }

    @Override
    public String toString() {
        return message();
    }
}
