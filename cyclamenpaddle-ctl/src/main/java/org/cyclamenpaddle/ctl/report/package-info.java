/** Results and errors of commands, and their forms as tables or JSON. */
package org.cyclamenpaddle.ctl.report;
