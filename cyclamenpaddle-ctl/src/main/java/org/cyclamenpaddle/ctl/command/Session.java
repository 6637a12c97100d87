package org.cyclamenpaddle.ctl.command;

import java.util.function.LongConsumer;
import java.util.function.Supplier;
import org.cyclamenpaddle.core.id.ChangeId;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.ctl.client.OperatorClient;

/**
 * Dependencies of the commands.
 *
 * @param client client of the operators' API
 * @param changeIds generates a new change id on each call
 * @param clock clock for the deadlines of waits
 * @param pause sleeps for a number of milliseconds
 */
public record Session(
        OperatorClient client, Supplier<ChangeId> changeIds, Clock clock, LongConsumer pause) {}
