/** Settings of an entry host: the catalogue of keys, the TOML reader and the settings records. */
package org.cyclamenpaddle.router.settings;
