package org.persimmonloom.runtime.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.scheduling.FleetScheduler;
import org.persimmonloom.core.scheduling.MachineFacts;
import org.persimmonloom.core.scheduling.MachineOrder;
import org.persimmonloom.core.scheduling.SchedulingSettings;
import org.persimmonloom.core.wire.Codec;
import org.persimmonloom.core.workflow.Resources;

/** Tests calls to a machine service whose answers cannot be read. */
class MachineOperationsTest {
  private final AtomicLong clock = new AtomicLong(10_000);
  private final FailingMachineService service = new FailingMachineService();
  private final SchedulingSettings settings =
      new SchedulingSettings(6_000, 8_000, 3_000, 900, 120_000);
  private final FleetScheduler scheduler = new FleetScheduler(settings, 0, clock.get(), 0);
  private final FakeKeyedLog log = new FakeKeyedLog();
  private final BlockingQueue<Runnable> loop = new LinkedBlockingQueue<>();
  private final AtomicLong renewalAge = new AtomicLong();
  private final FleetServices services =
      new FleetServices(
          "host",
          log,
          null,
          service,
          null,
          null,
          null,
          null,
          null,
          settings,
          new WorkflowMetrics(),
          clock::get,
          InstantSource.system());
  private final HostOrderAnnouncements announcements = new HostOrderAnnouncements(services, 5);
  private final HostOrderGate gate = new HostOrderGate(() -> renewalAge.get() < 900);
  private final MachineOperations operations =
      new MachineOperations(
          services,
          5,
          scheduler.machines(),
          Runnable::run,
          loop::add,
          () -> {},
          announcements,
          gate);

  /** Fails the first call of each kind with an exception. */
  private static final class FailingMachineService implements MachineService {
    private int lists;
    private final List<MachineOrder> orders = new ArrayList<>();
    private final List<List<HostOrdersRecord>> announcementsSeen = new ArrayList<>();
    private Supplier<List<HostOrdersRecord>> announcedAtOrder = List::of;

    @Override
    public Optional<List<MachineFacts>> list() {
      lists++;
      if (lists == 1) {
        throw new UncheckedIOException(new IOException("unreadable"));
      }
      return Optional.of(
          List.of(
              new MachineFacts(
                  "m1", "spare", MachineFacts.State.UP, Set.of(), new Resources(1, 1, 0), "")));
    }

    @Override
    public MachineOrder.Result send(MachineOrder order, String owner, long fence) {
      orders.add(order);
      announcementsSeen.add(announcedAtOrder.get());
      if (orders.size() == 1) {
        throw new UncheckedIOException(new IOException("unreadable"));
      }
      return MachineOrder.Result.DONE;
    }
  }

  @BeforeEach
  void start() {
    scheduler.configure(Map.of(), Set.of("s"), Set.of("spare"), Set.of());
    scheduler.workersListed(List.of(), clock.get());
    announcements.start().join();
    operations.start(0);
  }

  @AfterEach
  void stop() {
    operations.stop();
  }

  /** Runs what is posted to the loop, also by the thread that writes announcements. */
  private void runLoop() {
    try {
      for (Runnable task = poll(); task != null; task = poll()) {
        task.run();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private Runnable poll() throws InterruptedException {
    return loop.poll(3, TimeUnit.MILLISECONDS);
  }

  private void pass(int seconds) {
    for (int tenth = 0; tenth < 10 * seconds; tenth++) {
      clock.addAndGet(100);
      try {
        operations.pass(clock.get(), clock.get(), new ArrayList<>());
        runLoop();
      } catch (UncheckedIOException e) {
        // On a host, the exception ends only the task that made the call.
      }
    }
  }

  /**
   * Guards against an owner that never lists the hosts again after one answer that it cannot read,
   * so that no host is moved or maintained for the rest of its term.
   */
  @Test
  void hostsAreListedAgainAfterAnUnreadableAnswer() {
    pass(3);
    assertThat(service.lists).isGreaterThan(1);
  }

  /** Guards against an order that stays in progress for ever, so that its host is never moved. */
  @Test
  void orderIsRepeatedAfterAnUnreadableAnswer() {
    pass(20);
    assertThat(service.orders.size()).isGreaterThan(1);
    assertThat(service.orders).contains(new MachineOrder.Move("m1", "s"));
  }

  private List<HostOrdersRecord> announced() {
    Codec codec = new Codec(Map.of());
    return log.records(Table.HOST_ORDERS).stream()
        .map(record -> codec.decode(record.value(), HostOrdersRecord.class).get())
        .toList();
  }

  /** Guards against a host that two owners order in turn, since the second knows nothing of it. */
  @Test
  void hostIsAnnouncedBeforeItIsOrdered() {
    service.announcedAtOrder = this::announced;
    pass(3);
    assertThat(service.orders).isNotEmpty();
    assertThat(service.announcementsSeen)
        .allSatisfy(seen -> assertThat(seen).contains(new HostOrdersRecord(5, List.of("m1"))));
  }

  /** Guards against orders of an owner that may have been superseded while it was paused. */
  @Test
  void nothingIsOrderedAfterThePermissionHasRunOut() {
    renewalAge.set(900);
    pass(10);
    assertThat(service.orders).isEmpty();
  }

  /** Guards against an order that goes out after the term was handed over. */
  @Test
  void nothingIsOrderedAfterTheEndOfTheTerm() {
    gate.close(1_000);
    pass(10);
    assertThat(service.orders).isEmpty();
  }

  /** Guards against an order that rests on an outdated decision, once the store answers again. */
  @Test
  void orderThatWasAnnouncedLateIsNotSent() throws Exception {
    log.isDown = true;
    pass(3);
    assertThat(service.orders).isEmpty();
    clock.addAndGet(2_000);
    log.isDown = false;
    Runnable announced = loop.poll(10, TimeUnit.SECONDS);
    announced.run();
    assertThat(service.orders).isEmpty();
  }

  /** Guards against a predecessor whose announcement follows unread. */
  @Test
  void earlierOwnerCannotAnnounceAnyMore() {
    KeyedLog.Sequence late = new KeyedLog.Sequence("fleet-owner", 4, 1);
    assertThat(log.append(Table.HOST_ORDERS, late, List.of()))
        .isInstanceOf(AppendResult.Fenced.class);
  }
}
