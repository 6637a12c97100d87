/** Object API and host list of the platform, in memory, with fault switches. */
package org.cyclamenpaddle.standins.platform;
