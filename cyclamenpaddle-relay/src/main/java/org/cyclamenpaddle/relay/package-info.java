/** Forwarding of requests by routes: the product's second front. */
package org.cyclamenpaddle.relay;
