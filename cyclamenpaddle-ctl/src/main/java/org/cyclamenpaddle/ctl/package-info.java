/** Command line for operators. */
package org.cyclamenpaddle.ctl;
