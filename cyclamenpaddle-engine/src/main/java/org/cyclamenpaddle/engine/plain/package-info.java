/** Client of plain services that reports whether a call may have run. */
package org.cyclamenpaddle.engine.plain;
