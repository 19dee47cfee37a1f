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
 * Decides what successive readings of the platform's host list mean for the hosts of the fold.
 *
 * <p>The list lags and may be wrong. A host that is missing is lost only if it was missing in each
 * reading over {@link #CONFIRM_MILLIS}. If more than a quarter of a rack's, a data centre's or the
 * list's hosts are missing at once, and at least {@link #MIN_MASS_HOSTS}, the list is more likely
 * to be wrong than the hosts are gone: they become unlisted, which counts against budgets but
 * neither takes their work away nor moves other hosts. Since hosts may vanish over several
 * readings, all hosts that are missing and not yet lost are counted, not only those of the last
 * reading.
 *
 * <p>The hosts of one rack that stay missing for {@link #RACK_CONFIRM_MILLIS} are lost after all,
 * since racks do fail every week. A data centre or the list has no such limit, because acting on a
 * wrong list there would take the services down; its hosts stay unlisted until the list shows them.
 *
 * <p>Hosts that are down for maintenance are expected to be missing and count nowhere. Remembers
 * since when each host is missing; confined to one thread. All times are milliseconds.
 */
public final class HostListTracker {
  /** Time between the first reading without a host and the one that makes it lost. */
  public static final long CONFIRM_MILLIS = 10_000;

  /**
   * Fewest missing hosts that make a mass event. In a rack of four, one host is not more than a
   * quarter and two may fail by coincidence; three at once have a common cause. A domain with fewer
   * hosts is covered by the domain around it, and a list without any host always counts.
   */
  public static final int MIN_MASS_HOSTS = 3;

  /** After this time the hosts of a rack that vanished together are lost. */
  public static final long RACK_CONFIRM_MILLIS = 5 * 60_000L;

  /** Time after the expected reboot at which a listed host counts as back. */
  private static final long LIST_LAG_MILLIS = 10_000;

  private final SortedMap<String, Long> missingSince = new TreeMap<>();
  private final SortedMap<String, Long> absentWhileDown = new TreeMap<>();
  private final SortedMap<String, Long> heldAt = new TreeMap<>();

  /**
   * What a reading calls for.
   *
   * @param proposals for the fold, in order
   * @param massEvents the domains of which too many hosts are missing, with the figures
   */
  public record Evaluation(List<Proposal> proposals, List<String> massEvents) {
    public Evaluation {
      proposals = List.copyOf(proposals);
      massEvents = List.copyOf(massEvents);
    }
  }

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

  private record Mass(Scope scope, String domain, List<Host> missing, int hosts) {
    boolean isMass() {
      boolean isEmptyList = scope == Scope.LIST && missing.size() == hosts;
      return isEmptyList || (missing.size() >= MIN_MASS_HOSTS && missing.size() * 4 > hosts);
    }

    String figures() {
      return domain + ": " + missing.size() + " of " + hosts + " hosts missing";
    }
  }

  /**
   * Takes one reading.
   *
   * @param live the hosts that the list shows
   * @param leaving names of hosts that the list names as leaving
   * @param known the hosts of the fold
   * @param poolExists tells whether a pool is defined
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
    List<Mass> masses = masses(missing, known);
    for (Host host : known) {
      if (listed.containsKey(host.name())) {
        presentSteps(host, leaving, nowMillis, proposals);
      }
    }
    listedAgain(known, listed, proposals);
    absentSteps(missing, masses, nowMillis, proposals);
    return new Evaluation(proposals, masses.stream().map(Mass::figures).toList());
  }

  private static List<Proposal> admissions(
      SortedMap<String, HostFacts> listed, Collection<Host> known, Predicate<String> poolExists) {
    SortedMap<String, HostFacts> open = new TreeMap<>(listed);
    for (Host host : known) {
      if (host.facts().equals(listed.get(host.name()))) {
        open.remove(host.name());
      }
    }
    List<Proposal> proposals = new ArrayList<>();
    open.values().stream()
        .filter(facts -> poolExists.test(facts.homePool()))
        .forEach(facts -> proposals.add(new HostAdmitted(facts)));
    return proposals;
  }

  private List<Host> missing(
      SortedMap<String, HostFacts> listed, Collection<Host> known, long nowMillis) {
    List<Host> missing = new ArrayList<>();
    SortedSet<String> names = new TreeSet<>();
    SortedSet<String> down = new TreeSet<>();
    for (Host host : known) {
      if (host.state() == HostState.DOWN) {
        down.add(host.name());
      }
      boolean isExpected = host.state() == HostState.DOWN || host.state() == HostState.LOST;
      if (!listed.containsKey(host.name())) {
        if (host.state() == HostState.DOWN) {
          absentWhileDown.put(host.name(), host.stateOffset());
        }
        if (!isExpected) {
          missing.add(host);
          names.add(host.name());
          missingSince.putIfAbsent(host.name(), nowMillis);
        }
      }
    }
    missingSince.keySet().retainAll(names);
    absentWhileDown.keySet().retainAll(down);
    return missing;
  }

  private static List<Mass> masses(List<Host> missing, Collection<Host> known) {
    List<Mass> masses = new ArrayList<>();
    for (Scope scope : Scope.values()) {
      SortedMap<String, List<Host>> missingBy = new TreeMap<>();
      missing.forEach(
          host ->
              missingBy
                  .computeIfAbsent(scope.domainOf(host), unused -> new ArrayList<>())
                  .add(host));
      missingBy.forEach(
          (domain, gone) -> {
            int hosts = (int) known.stream().filter(it -> isCounted(it, scope, domain)).count();
            Mass mass = new Mass(scope, domain, gone, hosts);
            if (mass.isMass()) {
              masses.add(mass);
            }
          });
    }
    return masses;
  }

  private static boolean isCounted(Host host, Scope scope, String domain) {
    return host.state() != HostState.DOWN
        && host.state() != HostState.LOST
        && scope.domainOf(host).equals(domain);
  }

  private void presentSteps(
      Host host, Set<String> leaving, long nowMillis, List<Proposal> proposals) {
    boolean isLeaving = leaving.contains(host.name());
    boolean isMarked = host.drain() != null && !host.drain().isPlanned();
    if (host.state() == HostState.LOST
        || (host.state() == HostState.DOWN && isBack(host, nowMillis))) {
      proposals.add(new HostReturned(host.name(), host.stateOffset()));
    } else if (isLeaving && host.state() == HostState.AVAILABLE) {
      proposals.add(new HostLeaving(host.name(), host.stateOffset()));
    } else if (!isLeaving && isMarked) {
      proposals.add(
          new DrainCancelled(host.name(), host.drain().offset(), "no longer named as leaving"));
    }
  }

  /**
   * A host that is down is back if the list has not shown it since, or if it still shows the host
   * well after the expected reboot: a short reboot may fall between two readings.
   */
  private boolean isBack(Host host, long nowMillis) {
    Long absentOffset = absentWhileDown.get(host.name());
    boolean wasAbsent = absentOffset != null && absentOffset == host.stateOffset();
    long expected = host.drain() == null ? 0 : host.drain().expectedDownMillis();
    return wasAbsent || nowMillis - host.stateMillis() >= expected + LIST_LAG_MILLIS;
  }

  private static void listedAgain(
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

  private void absentSteps(
      List<Host> missing, List<Mass> masses, long nowMillis, List<Proposal> proposals) {
    SortedSet<String> held = new TreeSet<>();
    SortedSet<String> confirmed = new TreeSet<>();
    for (Mass mass : masses) {
      List<String> fresh = new ArrayList<>();
      for (Host host : mass.missing()) {
        long goneMillis = missingMillis(host, nowMillis);
        if (mass.scope() == Scope.RACK && goneMillis >= RACK_CONFIRM_MILLIS) {
          confirmed.add(host.name());
        } else if (held.add(host.name()) && !host.isUnlisted()) {
          fresh.add(host.name());
        }
      }
      if (!fresh.isEmpty()) {
        proposals.add(new HostsUnlisted(fresh, mass.domain(), true));
      }
    }
    held.forEach(host -> heldAt.put(host, nowMillis));
    heldAt.keySet().retainAll(missingSince.keySet());
    for (Host host : missing) {
      boolean isLost = confirmed.contains(host.name()) || isConfirmedMissing(host, nowMillis);
      if (isLost && !held.contains(host.name())) {
        String reason = "not in the host list for " + missingMillis(host, nowMillis) + " ms";
        proposals.add(new HostLost(host.name(), host.stateOffset(), reason));
      }
    }
  }

  /**
   * The time starts anew when a mass event ends, since the list may recover in several readings.
   */
  private boolean isConfirmedMissing(Host host, long nowMillis) {
    long heldMillis = nowMillis - heldAt.getOrDefault(host.name(), Long.MIN_VALUE / 2);
    return missingMillis(host, nowMillis) >= CONFIRM_MILLIS && heldMillis >= CONFIRM_MILLIS;
  }

  private long missingMillis(Host host, long nowMillis) {
    return nowMillis - missingSince.getOrDefault(host.name(), nowMillis);
  }
}
