/** Numbered log events, their catalogue and the two forms of log lines. */
package org.cyclamenpaddle.router.event;
