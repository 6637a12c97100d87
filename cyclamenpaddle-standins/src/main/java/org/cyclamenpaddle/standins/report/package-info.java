/** Summaries of load runs: JSON, table, medians over seeds, plots. */
package org.cyclamenpaddle.standins.report;
