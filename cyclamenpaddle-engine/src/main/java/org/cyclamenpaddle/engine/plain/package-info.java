/** Client of plain services that tells whether a call may have run. */
package org.cyclamenpaddle.engine.plain;
