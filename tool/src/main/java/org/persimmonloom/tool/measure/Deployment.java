package org.persimmonloom.tool.measure;

import java.util.List;
import org.persimmonloom.core.release.Weights;

/** A deployment with its services and weights; the last service draws on the spare pool. */
enum Deployment {
  DEPOT(List.of("scan", "driver", "order", "pickup", "backoffice"), new Weights(4, 3, 1, 1)),
  BOT(List.of("lockfile", "patch", "audit", "merge", "misc-bot"), new Weights(1, 1, 4, 3));

  private final List<String> services;
  private final Weights weights;

  Deployment(List<String> services, Weights weights) {
    this.services = services;
    this.weights = weights;
  }

  List<String> services() {
    return services;
  }

  Weights weights() {
    return weights;
  }

  int spareService() {
    return services.size() - 1;
  }
}
