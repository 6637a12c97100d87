/** The commands of {@code cyclamenctl}, their arguments and what they do. */
package org.cyclamenpaddle.ctl.command;
