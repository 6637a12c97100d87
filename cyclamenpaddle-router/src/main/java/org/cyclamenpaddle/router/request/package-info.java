/** Runs model requests: performs what their state machines decide. */
package org.cyclamenpaddle.router.request;
