/** Metrics of an entry host and their text for scraping. */
package org.cyclamenpaddle.router.metric;
