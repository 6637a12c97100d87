/** Runs model requests: performs the effects of their state machines. */
package org.cyclamenpaddle.router.request;
