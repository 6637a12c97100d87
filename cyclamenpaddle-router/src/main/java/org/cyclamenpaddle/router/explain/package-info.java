/**
 * Decisions made for requests and their reasons, stored in memory for a bounded number of requests.
 */
package org.cyclamenpaddle.router.explain;
