/** Keeps this host's configuration in line with the platform and peers, and makes changes. */
package org.cyclamenpaddle.router.configuration;
