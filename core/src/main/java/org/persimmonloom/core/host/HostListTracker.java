package org.persimmonloom.core.host;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Predicate;
import org.persimmonloom.core.fold.Proposal;

/**
 * Compares successive readings of the platform's host list with the hosts of the fold and derives
 * proposals from the differences.
 *
 * <p>The list lags and may be wrong. A missing host is proposed as lost only if each reading during
 * {@link #CONFIRM_MILLIS} lacked it. In a mass event, more than a quarter of the hosts of a rack,
 * of a data centre or of the whole list are missing at once, and at least {@link #MIN_MASS_HOSTS}.
 * Then the list is more likely to be wrong than the hosts are to be gone, and they become unlisted:
 * they count against budgets, but keep their work and cause no moves of other hosts. Hosts may
 * disappear over several readings, so all hosts that are missing and not yet lost are counted, not
 * only those that went missing in the last reading.
 *
 * <p>Hosts of a rack that stay missing in a mass event for {@link #RACK_CONFIRM_MILLIS} are
 * proposed as lost, since racks fail every week. There is no such limit for a data centre or the
 * whole list, because acting on a wrong list would take the services down there; these hosts stay
 * unlisted until the list shows them again.
 *
 * <p>Hosts that are down for maintenance are expected to be missing and are not counted. The
 * tracker keeps the time since when each host is missing. Confined to one thread. All times are in
 * milliseconds.
 */
public final class HostListTracker {
  /** Shortest time for which a host must be missing before it is lost. */
  public static final long CONFIRM_MILLIS = 10_000;

  /**
   * Fewest missing hosts of a mass event. In a rack of four, one host is not more than a quarter
   * and two may fail by coincidence; three at once have a common cause. A domain with fewer hosts
   * is covered by the domain that contains it, and an empty list is always a mass event.
   */
  public static final int MIN_MASS_HOSTS = 3;

  /** Time after which hosts of a rack that went missing in a mass event are lost. */
  public static final long RACK_CONFIRM_MILLIS = 5 * 60_000L;

  /** Time after the expected end of a reboot from which a host that is listed counts as back. */
  private static final long LIST_LAG_MILLIS = 10_000;

  private final SortedMap<String, Long> missingSinceMillis = new TreeMap<>();

  /** Offset of the DOWN state in which the list last lacked the host. */
  private final SortedMap<String, Long> absentInStateOffset = new TreeMap<>();

  /** Time of the last reading in which the host was missing in a mass event. */
  private final SortedMap<String, Long> lastMassEventMillis = new TreeMap<>();

  /**
   * The result of evaluating a reading.
   *
   * @param proposals the proposals to make, in order
   * @param massEvents one text for each domain with a mass event, with the numbers of hosts
   */
  public record Evaluation(List<Proposal> proposals, List<String> massEvents) {
    public Evaluation {
      proposals = List.copyOf(proposals);
      massEvents = List.copyOf(massEvents);
    }
  }

  /** The kinds of failure domain for which mass events are recognised. */
  private enum Scope {
    RACK,
    DATA_CENTRE,
    LIST;

    String domainOf(Host host) {
      return switch (this) {
        case RACK -> "rack " + host.facts().dataCentre() + "/" + host.facts().rack();
        case DATA_CENTRE -> "data centre " + host.facts().dataCentre();
        case LIST -> "the list";
      };
    }
  }

  /** The missing hosts of a domain, out of the number of hosts that should be listed. */
  private record DomainLoss(Scope scope, String domain, List<Host> missing, int hosts) {
    boolean isMassEvent() {
      boolean isEmptyList = scope == Scope.LIST && missing.size() == hosts;
      return isEmptyList || (missing.size() >= MIN_MASS_HOSTS && missing.size() * 4 > hosts);
    }

    String figures() {
      return domain + ": " + missing.size() + " of " + hosts + " hosts missing";
    }
  }

  /**
   * Evaluates one reading of the host list.
   *
   * @param live the hosts in the list
   * @param leaving names of the hosts that the list marks as leaving
   * @param known the hosts of the fold
   * @param poolExists whether a pool with this name is defined
   * @param nowMillis time of the reading
   */
  public Evaluation evaluate(
      Collection<HostFacts> live,
      Set<String> leaving,
      Collection<Host> known,
      Predicate<String> poolExists,
      long nowMillis) {
    SortedMap<String, HostFacts> listed = new TreeMap<>();
    live.forEach(facts -> listed.put(facts.name(), facts));
    List<Proposal> proposals = new ArrayList<>(admissions(listed, known, poolExists));
    List<Host> missing = missing(listed, known, nowMillis);
    List<DomainLoss> massEvents = massEvents(missing, known);
    for (Host host : known) {
      if (listed.containsKey(host.name())) {
        addForListed(host, leaving, nowMillis, proposals);
      }
    }
    addRelisted(known, listed, proposals);
    addForMissing(missing, massEvents, nowMillis, proposals);
    return new Evaluation(proposals, massEvents.stream().map(DomainLoss::figures).toList());
  }

  private static List<Proposal> admissions(
      SortedMap<String, HostFacts> listed, Collection<Host> known, Predicate<String> poolExists) {
    SortedMap<String, HostFacts> unmatched = new TreeMap<>(listed);
    for (Host host : known) {
      if (host.facts().equals(listed.get(host.name()))) {
        unmatched.remove(host.name());
      }
    }
    List<Proposal> proposals = new ArrayList<>();
    unmatched.values().stream()
        .filter(facts -> poolExists.test(facts.homePool()))
        .forEach(facts -> proposals.add(new HostAdmitted(facts)));
    return proposals;
  }

  private List<Host> missing(
      SortedMap<String, HostFacts> listed, Collection<Host> known, long nowMillis) {
    List<Host> missing = new ArrayList<>();
    SortedSet<String> missingNames = new TreeSet<>();
    SortedSet<String> downNames = new TreeSet<>();
    for (Host host : known) {
      if (host.state() == HostState.DOWN) {
        downNames.add(host.name());
      }
      boolean isExpected = host.state() == HostState.DOWN || host.state() == HostState.LOST;
      if (!listed.containsKey(host.name())) {
        if (host.state() == HostState.DOWN) {
          absentInStateOffset.put(host.name(), host.stateOffset());
        }
        if (!isExpected) {
          missing.add(host);
          missingNames.add(host.name());
          missingSinceMillis.putIfAbsent(host.name(), nowMillis);
        }
      }
    }
    missingSinceMillis.keySet().retainAll(missingNames);
    absentInStateOffset.keySet().retainAll(downNames);
    return missing;
  }

  private static List<DomainLoss> massEvents(List<Host> missing, Collection<Host> known) {
    List<DomainLoss> massEvents = new ArrayList<>();
    for (Scope scope : Scope.values()) {
      SortedMap<String, List<Host>> missingByDomain = new TreeMap<>();
      missing.forEach(
          host ->
              missingByDomain
                  .computeIfAbsent(scope.domainOf(host), unused -> new ArrayList<>())
                  .add(host));
      missingByDomain.forEach(
          (domain, missingHosts) -> {
            int hosts = (int) known.stream().filter(host -> isCounted(host, scope, domain)).count();
            DomainLoss loss = new DomainLoss(scope, domain, missingHosts, hosts);
            if (loss.isMassEvent()) {
              massEvents.add(loss);
            }
          });
    }
    return massEvents;
  }

  private static boolean isCounted(Host host, Scope scope, String domain) {
    return host.state() != HostState.DOWN
        && host.state() != HostState.LOST
        && scope.domainOf(host).equals(domain);
  }

  private void addForListed(
      Host host, Set<String> leaving, long nowMillis, List<Proposal> proposals) {
    boolean isLeaving = leaving.contains(host.name());
    boolean isDrainedAsLeaving = host.drain() != null && !host.drain().isPlanned();
    if (host.state() == HostState.LOST
        || (host.state() == HostState.DOWN && isBack(host, nowMillis))) {
      proposals.add(new HostReturned(host.name(), host.stateOffset()));
    } else if (isLeaving && host.state() == HostState.AVAILABLE) {
      proposals.add(new HostLeaving(host.name(), host.stateOffset()));
    } else if (!isLeaving && isDrainedAsLeaving) {
      proposals.add(
          new DrainCancelled(host.name(), host.drain().offset(), "no longer named as leaving"));
    }
  }

  /**
   * Returns whether a listed host that is marked as down is up again: either an earlier reading
   * since then lacked it, or {@link #LIST_LAG_MILLIS} have passed since the expected end of its
   * reboot. The second case covers a reboot that is too short to show in a reading.
   */
  private boolean isBack(Host host, long nowMillis) {
    Long absentOffset = absentInStateOffset.get(host.name());
    boolean wasAbsent = absentOffset != null && absentOffset == host.stateOffset();
    long expected = host.drain() == null ? 0 : host.drain().expectedDownMillis();
    return wasAbsent || nowMillis - host.stateMillis() >= expected + LIST_LAG_MILLIS;
  }

  private static void addRelisted(
      Collection<Host> known, SortedMap<String, HostFacts> listed, List<Proposal> proposals) {
    List<String> names =
        known.stream()
            .filter(host -> host.isUnlisted() && listed.containsKey(host.name()))
            .map(Host::name)
            .toList();
    if (!names.isEmpty()) {
      proposals.add(new HostsUnlisted(names, "the list", false));
    }
  }

  private void addForMissing(
      List<Host> missing, List<DomainLoss> massEvents, long nowMillis, List<Proposal> proposals) {
    SortedSet<String> inMassEvent = new TreeSet<>();
    SortedSet<String> confirmedLost = new TreeSet<>();
    for (DomainLoss massEvent : massEvents) {
      List<String> newlyUnlisted = new ArrayList<>();
      for (Host host : massEvent.missing()) {
        long hostMissingMillis = missingMillis(host, nowMillis);
        if (massEvent.scope() == Scope.RACK && hostMissingMillis >= RACK_CONFIRM_MILLIS) {
          confirmedLost.add(host.name());
        } else if (inMassEvent.add(host.name()) && !host.isUnlisted()) {
          newlyUnlisted.add(host.name());
        }
      }
      if (!newlyUnlisted.isEmpty()) {
        proposals.add(new HostsUnlisted(newlyUnlisted, massEvent.domain(), true));
      }
    }
    inMassEvent.forEach(host -> lastMassEventMillis.put(host, nowMillis));
    lastMassEventMillis.keySet().retainAll(missingSinceMillis.keySet());
    for (Host host : missing) {
      boolean isLost = confirmedLost.contains(host.name()) || isConfirmedMissing(host, nowMillis);
      if (isLost && !inMassEvent.contains(host.name())) {
        String reason = "not in the host list for " + missingMillis(host, nowMillis) + " ms";
        proposals.add(new HostLost(host.name(), host.stateOffset(), reason));
      }
    }
  }

  /**
   * Returns whether the host is missing for long enough to be lost. If the host was part of a mass
   * event, the time counts from the last reading with that event, because the list may recover over
   * several readings.
   */
  private boolean isConfirmedMissing(Host host, long nowMillis) {
    long sinceMassEventMillis =
        nowMillis - lastMassEventMillis.getOrDefault(host.name(), Long.MIN_VALUE / 2);
    return missingMillis(host, nowMillis) >= CONFIRM_MILLIS
        && sinceMassEventMillis >= CONFIRM_MILLIS;
  }

  private long missingMillis(Host host, long nowMillis) {
    return nowMillis - missingSinceMillis.getOrDefault(host.name(), nowMillis);
  }
}
