package org.persimmonloom.runtime.worker;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.persimmonloom.core.job.TaskReport;
import org.persimmonloom.core.job.WorkerReport;
import org.persimmonloom.runtime.EncodedFields;
import org.persimmonloom.runtime.fleet.HostList;

/**
 * Detects a renamed or reordered field or constant that is encoded under its own name. Such a
 * change would break decoding of calls by workers, or of worker reports and the host list by this
 * program.
 */
final class WorkerCallFieldsTest {
  @Test
  void encodedFieldsKeepTheirNames() {
    List<String> fields = new ArrayList<>();
    fields.addAll(EncodedFields.of("(start)", StartRequest.class));
    fields.addAll(EncodedFields.of("(renew)", RenewRequest.class));
    fields.addAll(EncodedFields.of("(task)", TaskRequest.class));
    fields.addAll(EncodedFields.of("(report)", WorkerReport.class));
    fields.addAll(EncodedFields.of("(task report)", TaskReport.class));
    fields.addAll(EncodedFields.of("(host list)", HostList.class));

    assertThat(fields).isEqualTo(EncodedFields.recorded("worker-calls.txt"));
  }
}
