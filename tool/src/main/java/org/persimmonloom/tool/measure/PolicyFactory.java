package org.persimmonloom.tool.measure;

import java.util.List;
import java.util.function.Function;
import org.persimmonloom.core.capacity.CapacityPolicy;
import org.persimmonloom.core.capacity.DemandSample;

/** Creates a policy for one run; {@code reports} returns the usage reports of a pool. */
interface PolicyFactory {
  CapacityPolicy create(Deployment deployment, Function<String, List<DemandSample>> reports);
}
