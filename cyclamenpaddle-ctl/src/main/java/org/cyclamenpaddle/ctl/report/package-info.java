/** Results and errors of commands, and their output as tables or JSON. */
package org.cyclamenpaddle.ctl.report;
