/** The worker pool that runs all controllers, and the timers that trigger them. */
package org.cyclamenpaddle.router.worker;
