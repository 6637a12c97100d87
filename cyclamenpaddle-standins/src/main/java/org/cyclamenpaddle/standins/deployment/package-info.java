/** The two deployments: their sizes, their workloads and their configuration. */
package org.cyclamenpaddle.standins.deployment;
