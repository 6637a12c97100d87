package org.cyclamenpaddle.ctl.command;

import java.util.function.LongConsumer;
import java.util.function.Supplier;
import org.cyclamenpaddle.core.id.ChangeId;
import org.cyclamenpaddle.core.time.Clock;
import org.cyclamenpaddle.ctl.client.OperatorClient;

/**
 * What commands work with.
 *
 * @param client client of the fleet
 * @param changeIds makes a new change id at each call
 * @param clock bounds waits
 * @param pause passes a number of milliseconds
 */
public record Session(
        OperatorClient client, Supplier<ChangeId> changeIds, Clock clock, LongConsumer pause) {}
