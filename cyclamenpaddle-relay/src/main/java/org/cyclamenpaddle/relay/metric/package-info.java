/** Counters and latency histograms of the relay. */
package org.cyclamenpaddle.relay.metric;
