/** Metrics of an entry host and their export in the Prometheus text format. */
package org.cyclamenpaddle.router.metric;
