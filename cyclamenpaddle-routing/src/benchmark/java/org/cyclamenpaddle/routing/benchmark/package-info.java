/** JMH benchmarks of the decisions made for each request. */
package org.cyclamenpaddle.routing.benchmark;
