/** Backend servers as this host reaches them: clients, cancellation, polling. */
package org.cyclamenpaddle.router.backend;
