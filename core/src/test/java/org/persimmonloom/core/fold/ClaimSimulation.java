package org.persimmonloom.core.fold;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.persimmonloom.core.claim.Claim;
import org.persimmonloom.core.claim.ClaimReleased;
import org.persimmonloom.core.claim.ClaimRequested;
import org.persimmonloom.core.claim.ClaimSettled;
import org.persimmonloom.core.claim.ClaimTable;
import org.persimmonloom.core.member.EntryHostLost;
import org.persimmonloom.core.member.EntryHostSeen;
import org.persimmonloom.core.result.RunOutcome;

/**
 * A simulation of three entry hosts that claim request keys through a log whose appends may be
 * delayed, lost or delivered twice. Its oracle records how often the request of each key was
 * executed and which claims were reported as not run.
 */
final class ClaimSimulation {
  static final int HOSTS = 3;
  private static final long KEY_PERIOD_MILLIS = 500_000;
  private static final String SERVICE = "pickup";

  final List<byte[]> log = new ArrayList<>();
  final List<byte[]> network = new ArrayList<>();
  final List<EntryHostModel> hosts = new ArrayList<>();
  final Map<String, Integer> executions = new HashMap<>();
  final Set<String> reportedNotRun = new HashSet<>();
  final Set<String> executedClaims = new HashSet<>();
  long nowMillis = 1_000_000;
  private long nextIncarnation = 1;
  private long nextClaim = 1;

  /** One run of an entry host's process, with the state that it keeps in memory only. */
  final class EntryHostModel {
    final String name;
    final FleetState state = new FleetState();
    final long incarnation = nextIncarnation++;
    final ArrayDeque<Proposal> queue = new ArrayDeque<>();
    final Map<String, ClaimRequested> pendingClaims = new HashMap<>();
    final Map<String, ClaimRequested> runningClaims = new HashMap<>();
    final Set<String> abandonedClaims = new HashSet<>();
    final Set<String> decidedBatches = new HashSet<>();
    final Map<String, Long> latestIncarnations = new HashMap<>();
    Batch inFlight;
    long sequence;

    EntryHostModel(String name) {
      this.name = name;
    }

    void send() {
      if (inFlight == null) {
        List<Proposal> proposals = new ArrayList<>();
        if (sequence == 0) {
          proposals.add(new EntryHostSeen("127.0.0.1:1", "127.0.0.1:2", "dc1"));
        }
        while (!queue.isEmpty()) {
          proposals.add(queue.poll());
        }
        if (proposals.isEmpty()) {
          return;
        }
        sequence++;
        inFlight = new Batch(name, incarnation, sequence, 1, nowMillis, proposals);
      }
      network.add(ProposalTypes.CODEC.encode(inFlight));
    }

    void fold() {
      while (state.nextOffset() < log.size()) {
        long offset = state.nextOffset();
        Batch batch = ProposalTypes.CODEC.decode(log.get((int) offset), Batch.class).get();
        List<ProposalResult> results = state.apply(offset, batch).get();
        checkDecidedOnce(batch, results);
        if (batch.author().equals(name) && batch.incarnation() == incarnation) {
          inFlight = null;
          results.forEach(this::handleResult);
        }
      }
    }

    private void checkDecidedOnce(Batch batch, List<ProposalResult> results) {
      if (results.isEmpty()) {
        return;
      }
      assertThat(decidedBatches.add(batch.incarnation() + "/" + batch.sequence()))
          .as("batch %s decided once", batch)
          .isTrue();
      long latest = latestIncarnations.merge(batch.author(), batch.incarnation(), Math::max);
      assertThat(batch.incarnation())
          .as("folded batch is of the latest incarnation")
          .isEqualTo(latest);
    }

    private void handleResult(ProposalResult result) {
      if (result.proposal() instanceof ClaimRequested claim) {
        boolean isPending = pendingClaims.remove(claim.claimId()) != null;
        if (result.isAccepted() && isPending) {
          execute(claim);
        }
      }
    }

    private void execute(ClaimRequested claim) {
      executions.merge(claim.key(), 1, Integer::sum);
      executedClaims.add(claim.claimId());
      runningClaims.put(claim.claimId(), claim);
    }

    void claim(String key, String supersedes) {
      ClaimRequested claim =
          new ClaimRequested(SERVICE, key, 7, incarnation + "-" + nextClaim++, supersedes);
      pendingClaims.put(claim.claimId(), claim);
      queue.add(claim);
    }

    /** Abandons the pending claims after the bounded wait and reports their requests as not run. */
    void giveUp() {
      for (ClaimRequested claim : List.copyOf(pendingClaims.values())) {
        pendingClaims.remove(claim.claimId());
        abandonedClaims.add(claim.claimId());
        reportedNotRun.add(claim.claimId());
        queue.add(new ClaimReleased(SERVICE, claim.key(), claim.claimId()));
      }
    }

    void settle() {
      for (ClaimRequested claim : List.copyOf(runningClaims.values())) {
        runningClaims.remove(claim.claimId());
        queue.add(new ClaimSettled(SERVICE, claim.key(), claim.claimId(), RunOutcome.RAN));
      }
    }
  }

  ClaimSimulation() {
    for (int i = 0; i < HOSTS; i++) {
      hosts.add(new EntryHostModel("entry-" + i));
    }
  }

  EntryHostModel host(int number) {
    return hosts.get(number % HOSTS);
  }

  String key(int number) {
    return (nowMillis / KEY_PERIOD_MILLIS * KEY_PERIOD_MILLIS + number % 3) + "-aaaaaaaa";
  }

  void deliver(int number, boolean keepsCopy) {
    if (network.isEmpty()) {
      return;
    }
    int index = number % network.size();
    log.add(network.get(index));
    if (!keepsCopy) {
      network.remove(index);
    }
  }

  void loseAppend(int number) {
    if (!network.isEmpty()) {
      network.remove(number % network.size());
    }
  }

  /**
   * The caller retries at another entry host, which supersedes the claim if its holder has
   * abandoned it.
   */
  void retryElsewhere(int number, int keyNumber) {
    EntryHostModel retryHost = host(number);
    String key = key(keyNumber);
    Claim current = retryHost.state.claims().find(SERVICE, key).orElse(null);
    if (current == null || current.state() != Claim.State.HELD) {
      retryHost.claim(key, null);
      return;
    }
    for (EntryHostModel holder : hosts) {
      if (holder.incarnation == current.incarnation()
          && holder.abandonedClaims.contains(current.claimId())) {
        retryHost.claim(key, current.claimId());
      }
    }
  }

  /** Advances the clock, in some steps by more than the claim window. */
  void advanceTime(int number) {
    nowMillis += number < 30 ? ClaimTable.WINDOW_MILLIS * 2 : number * 500L;
  }

  /** Claims a key that was created at the start of the simulation. */
  void repeatOldKey(int number) {
    host(number).claim((1_000_000 + number % 3) + "-aaaaaaaa", null);
  }

  void restart(int number) {
    hosts.set(number % HOSTS, new EntryHostModel(host(number).name));
  }

  void declareLost(int number) {
    EntryHostModel lost = host(number);
    host(number + 1).queue.add(new EntryHostLost(lost.name, lost.incarnation));
  }

  /** Checks the oracle and compares the states of entry hosts at the same offset. */
  void check() {
    executions.forEach(
        (key, count) -> assertThat(count).as("executions of %s", key).isLessThanOrEqualTo(1));
    assertThat(executedClaims)
        .as("executed although reported as not run")
        .noneMatch(reportedNotRun::contains);
    checkReplicas();
  }

  private void checkReplicas() {
    Map<Long, byte[]> byOffset = new HashMap<>();
    for (EntryHostModel host : hosts) {
      byte[] snapshot = ProposalTypes.CODEC.encode(host.state.snapshot());
      byte[] other = byOffset.putIfAbsent(host.state.nextOffset(), snapshot);
      assertThat(other == null ? snapshot : other).as("replicas differ").isEqualTo(snapshot);
    }
  }

  /** Folds the rest of the log from a snapshot at each offset and compares the final states. */
  void checkSnapshots() {
    FleetState whole = new FleetState();
    List<FleetSnapshot> snapshots = new ArrayList<>();
    foldAll(whole, snapshots);
    byte[] expected = ProposalTypes.CODEC.encode(whole.snapshot());
    for (FleetSnapshot snapshot : snapshots) {
      byte[] bytes = ProposalTypes.CODEC.encode(snapshot);
      FleetState restored = new FleetState();
      restored.restore(ProposalTypes.CODEC.decode(bytes, FleetSnapshot.class).get());
      foldAll(restored, new ArrayList<>());
      assertThat(ProposalTypes.CODEC.encode(restored.snapshot())).isEqualTo(expected);
    }
  }

  private void foldAll(FleetState state, List<FleetSnapshot> snapshots) {
    while (state.nextOffset() < log.size()) {
      snapshots.add(state.snapshot());
      byte[] record = log.get((int) state.nextOffset());
      state.apply(state.nextOffset(), ProposalTypes.CODEC.decode(record, Batch.class).get());
    }
  }
}
