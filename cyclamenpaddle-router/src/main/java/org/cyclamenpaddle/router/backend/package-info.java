/** Access to backend servers: clients, cancellation of attempts, polling. */
package org.cyclamenpaddle.router.backend;
