/** Simulated deployments: sizes, workloads and configuration. */
package org.cyclamenpaddle.standins.deployment;
