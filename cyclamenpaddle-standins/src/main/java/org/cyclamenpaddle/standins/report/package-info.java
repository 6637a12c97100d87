/** Reports of load runs: JSON summaries, medians over seeds, a table and plots. */
package org.cyclamenpaddle.standins.report;
