package io.briarward.cli;

import static com.tngtech.archunit.core.domain.JavaCall.Predicates.target;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.assignableTo;
import static com.tngtech.archunit.core.domain.properties.HasName.Predicates.nameMatching;
import static com.tngtech.archunit.core.domain.properties.HasOwner.Predicates.With.owner;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import io.vertx.core.Vertx;

@AnalyzeClasses(packages = "io.briarward", importOptions = ImportOption.DoNotIncludeTests.class)
class LayeringTest {
  @ArchTest
  static final ArchRule CORE_DOES_NO_IO =
      noClasses()
          .that()
          .resideInAPackage("io.briarward.core..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "io.vertx..",
              "io.netty..",
              "io.reactivex..",
              "java.net..",
              "java.nio.channels..",
              "java.nio.file..",
              "java.util.concurrent..",
              "org.tinylog..");

  @ArchTest
  static final ArchRule CORE_READS_NO_CLOCK =
      noClasses()
          .that()
          .resideInAPackage("io.briarward.core..")
          .should()
          .callMethod(System.class, "currentTimeMillis")
          .orShould()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .dependOnClassesThat()
          .haveFullyQualifiedName("java.time.Clock");

  @ArchTest
  static final ArchRule NODE_DOES_NOT_DEPEND_ON_STAND_INS =
      noClasses()
          .that()
          .resideInAPackage("io.briarward.node..")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("io.briarward.standins..");

  @ArchTest
  static final ArchRule ONLY_CLI_DEPENDS_ON_PLATFORM =
      noClasses()
          .that()
          .resideOutsideOfPackages("io.briarward.platform..", "io.briarward.cli..")
          .should()
          .dependOnClassesThat()
          .resideInAPackage("io.briarward.platform..");

  @ArchTest
  static final ArchRule ALL_HTTP_CLIENTS_OF_NODES_ARE_GUARDED =
      noClasses()
          .that()
          .resideInAnyPackage("io.briarward.node..", "io.briarward.platform..")
          .and()
          .doNotHaveFullyQualifiedName("io.briarward.node.http.HttpClients")
          .should()
          .callMethodWhere(
              target(nameMatching("createHttpClient|httpClientBuilder"))
                  .and(target(owner(assignableTo(Vertx.class)))));

  @ArchTest
  static final ArchRule CORE_PACKAGES_ARE_FREE_OF_CYCLES =
      slices().matching("io.briarward.core.(*)..").should().beFreeOfCycles();
}
