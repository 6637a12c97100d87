/** Numbered log events, their catalogue and the two formats of log lines. */
package org.cyclamenpaddle.router.event;
