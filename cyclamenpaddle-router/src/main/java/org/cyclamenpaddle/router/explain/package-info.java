/** What was decided for a request and why, kept in memory for a bounded number of requests. */
package org.cyclamenpaddle.router.explain;
