/** The commands of {@code cyclamenctl}: command line parsing, validation and execution. */
package org.cyclamenpaddle.ctl.command;
