/** Typed messages between entry hosts; they carry durations, never clock readings. */
package org.cyclamenpaddle.core.message;
