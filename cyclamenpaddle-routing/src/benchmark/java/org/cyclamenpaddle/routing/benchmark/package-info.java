/** JMH benchmarks of the decisions on the path of each request. */
package org.cyclamenpaddle.routing.benchmark;
