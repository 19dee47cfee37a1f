package org.persimmonloom.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

@AnalyzeClasses(
    packages = "org.persimmonloom.core",
    importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
  /** Guards against decisions that depend on sockets, files or threads. */
  @ArchTest
  static final ArchRule CORE_DOES_NO_INPUT_OR_OUTPUT =
      noClasses()
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "java.net..", "java.nio.file..", "java.util.concurrent..", "java.util.logging..")
          .orShould()
          .dependOnClassesThat()
          .haveNameMatching("java\\.io\\.File.*|java\\.lang\\.Thread|java\\.util\\.Timer.*");

  /** Guards against decisions that read a clock or an unseeded random number. */
  @ArchTest
  static final ArchRule CORE_READS_NO_CLOCK =
      noClasses()
          .should()
          .callMethod(System.class, "currentTimeMillis")
          .orShould()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(Math.class, "random")
          .orShould()
          .dependOnClassesThat()
          .haveFullyQualifiedName("java.time.Clock");
}
