/**
 * Synchronizes this host's configuration with the platform and peers, and applies operators'
 * changes.
 */
package org.cyclamenpaddle.router.configuration;
