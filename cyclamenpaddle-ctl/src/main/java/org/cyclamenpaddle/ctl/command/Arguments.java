package org.cyclamenpaddle.ctl.command;

import java.util.Optional;
import java.util.OptionalLong;
import org.cyclamenpaddle.core.config.ObjectKind;

/**
 * Validated arguments of one command.
 *
 * @param kind kind of object that the command operates on; empty if there is none
 * @param name name of the object or request; empty if the command takes none
 * @param file path of a file; empty if the command takes none
 * @param expectedVersion version that the object must be at; empty if the operator gave none
 * @param waitMillis maximum wait for the change to be in force, in milliseconds; empty for no wait
 */
record Arguments(
        Optional<ObjectKind> kind,
        String name,
        String file,
        OptionalLong expectedVersion,
        OptionalLong waitMillis) {}
