package org.persimmonloom.core.scheduling.steps;

import java.util.ArrayList;
import java.util.List;
import org.persimmonloom.core.scheduling.steps.StepFault.Kind;

/** The faults that are in effect. Not thread-safe. */
final class StepModelFaults {
  private final StepModel model;
  private final List<Active> active = new ArrayList<>();
  private final List<Active> freezesInPass = new ArrayList<>();
  private final List<Active> freezesAtAnswer = new ArrayList<>();

  private record Active(StepFault fault, int target, long untilMillis) {}

  StepModelFaults(StepModel model, StepPlan plan) {
    this.model = model;
    long start = model.now();
    for (StepFault fault : plan.faults()) {
      model.at(start + fault.atMillis(), () -> begin(fault));
    }
  }

  private void begin(StepFault fault) {
    int target = fault.target() == StepFault.OWNER ? model.owner() : fault.target();
    model.trace("fault %s at %d", fault, target);
    Active begun = new Active(fault, target, model.now() + fault.durationMillis());
    switch (fault.kind()) {
      case FREEZE -> model.hosts().get(target).freeze(fault.durationMillis());
      case FREEZE_IN_PASS -> freezesInPass.add(begun);
      case FREEZE_AT_ANSWER -> freezesAtAnswer.add(begun);
      case HOST_RESTARTED -> model.hosts().get(target).restart();
      case TABLE_RELOADED -> model.hosts().get(target).mustReload = true;
      case WORKER_REPLACED -> model.fleet().restart(target, fault.durationMillis(), true);
      case WORKER_RESTARTED -> model.fleet().restart(target, fault.durationMillis(), false);
      case SUBMISSION_REPEATED -> StepModelLoad.repeat(model, target);
      case WORKFLOW_CANCELLED -> StepModelLoad.cancel(model, target);
      default -> active.add(begun);
    }
  }

  /** Returns whether a fault of the kind has begun, whether it lasts or not. */
  boolean hasBegun(Kind kind) {
    return active.stream().anyMatch(begun -> begun.fault.kind() == kind);
  }

  boolean isActive(Kind kind) {
    for (Active fault : active) {
      if (isOn(fault, kind)) {
        return true;
      }
    }
    return false;
  }

  boolean isActive(Kind kind, int target) {
    for (Active fault : active) {
      if (isOn(fault, kind) && fault.target == target) {
        return true;
      }
    }
    return false;
  }

  private boolean isOn(Active fault, Kind kind) {
    return fault.fault.kind() == kind && model.now() < fault.untilMillis;
  }

  boolean isLink(Kind kind, int host, int machine) {
    for (Active fault : active) {
      int other = fault.fault.other();
      if (isOn(fault, kind)
          && (fault.target == host || fault.target == StepFault.ALL)
          && (other == machine || other == StepFault.ALL)) {
        return true;
      }
    }
    return false;
  }

  boolean isStoreSilent(int host) {
    return isActive(Kind.STORE_DOWN) || isActive(Kind.HOST_CUT_FROM_STORE, host);
  }

  /** Returns the age of host lists. */
  long listAgeMillis() {
    return active.stream()
        .filter(fault -> isOn(fault, Kind.LIST_STALE))
        .mapToLong(fault -> fault.fault.durationMillis())
        .max()
        .orElse(0);
  }

  /** Lets a host stand still if that is due at one of its next passes. */
  boolean takeFreezeInPass(StepModelHost host, int stages) {
    for (Active fault : freezesInPass) {
      boolean isHere = model.noise(3, "stage " + stages) == 0;
      if (fault.target == host.number && isHere) {
        freezesInPass.remove(fault);
        host.freeze(fault.fault.durationMillis());
        return true;
      }
    }
    return false;
  }

  void freezeAtAnswer(StepModelHost host) {
    for (Active fault : freezesAtAnswer) {
      if (fault.target == host.number) {
        freezesAtAnswer.remove(fault);
        host.freeze(fault.fault.durationMillis());
        return;
      }
    }
  }
}
