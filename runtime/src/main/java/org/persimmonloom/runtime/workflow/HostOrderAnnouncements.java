package org.persimmonloom.runtime.workflow;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.persimmonloom.core.scheduling.RecentHostOrders;
import org.persimmonloom.core.wire.Codec;
import org.persimmonloom.core.workflow.TableRecord;

/**
 * Records which hosts an owner is about to order, before it orders them.
 *
 * <p>Orders of two owners for one host must not alternate within one duty lease. A new owner reads
 * the announcement of its predecessor, so that it can order all other hosts at once. Its own first
 * record has a newer epoch, which shuts out announcements that would follow unread, and no order is
 * sent without an announcement. A predecessor that announced nothing under its own fence may be of
 * a version that does not announce its orders. Confined to the owner's loop, except for {@link
 * #start} and {@link #stop}.
 */
final class HostOrderAnnouncements {
  private static final Logger LOG = LogManager.getLogger(HostOrderAnnouncements.class);
  private static final String PRODUCER = "fleet-owner";
  private static final String OWNER_KEY = "owner";
  private static final String ORDERS_KEY = "orders";

  private final FleetServices services;
  private final TableWriter writer;
  private final long fence;
  private final RecentHostOrders recent;
  private final Codec codec = new Codec(Map.of());

  HostOrderAnnouncements(FleetServices services, long fence) {
    this.services = services;
    this.fence = fence;
    recent = new RecentHostOrders(services.scheduling().dutyLeaseMillis());
    writer =
        new TableWriter(
            services.log(),
            Table.HOST_ORDERS,
            PRODUCER,
            fence,
            services.metrics(),
            services.clock());
  }

  /** Starts a term; once the result is written, earlier owners can announce nothing more. */
  CompletableFuture<TableWriter.Outcome> start() {
    writer.start();
    return append(OWNER_KEY, new HostOrdersRecord(fence, List.of()));
  }

  /**
   * Returns the last announcement of an earlier owner, which counts as this owner's from now on;
   * one without hosts if there is none, and empty if the store does not answer.
   */
  Optional<HostOrdersRecord> takeOver(long nowMillis) {
    if (!(services.log().readNewest(Table.HOST_ORDERS) instanceof LogReadResult.Records read)) {
      return Optional.empty();
    }
    HostOrdersRecord earlier =
        read.records().stream()
            .filter(stored -> stored.record().key().equals(ORDERS_KEY))
            .flatMap(stored -> decode(stored).stream())
            .findFirst()
            .orElse(new HostOrdersRecord(0, List.of()));
    recent.ordered(earlier.hosts(), nowMillis);
    return Optional.of(earlier);
  }

  private Optional<HostOrdersRecord> decode(StoredRecord stored) {
    return codec
        .decode(stored.record().value(), HostOrdersRecord.class)
        .peekLeft(failure -> LOG.warn("event=host_orders_unreadable cause={}", failure))
        .toJavaOptional();
  }

  /** Announces orders for hosts, which may be sent once the result is written. */
  CompletableFuture<TableWriter.Outcome> announce(Collection<String> hosts, long nowMillis) {
    recent.ordered(hosts, nowMillis);
    return append(ORDERS_KEY, new HostOrdersRecord(fence, recent.hosts(nowMillis)));
  }

  private CompletableFuture<TableWriter.Outcome> append(String key, HostOrdersRecord record) {
    return writer.append(List.of(new TableRecord(key, codec.encode(record))), Long.MAX_VALUE);
  }

  void stop() {
    writer.stop();
  }
}
