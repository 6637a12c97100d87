/** The pool of workers that runs all controllers, and the timers that wake them. */
package org.cyclamenpaddle.router.worker;
