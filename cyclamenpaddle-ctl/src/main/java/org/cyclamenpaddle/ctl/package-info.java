/** Command line for operators: the program {@code cyclamenctl}. */
package org.cyclamenpaddle.ctl;
