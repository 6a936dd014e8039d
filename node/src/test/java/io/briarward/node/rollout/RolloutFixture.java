package io.briarward.node.rollout;

import com.google.common.collect.ImmutableList;
import io.briarward.core.configuration.RolloutPolicy;
import io.briarward.core.configuration.Service;
import io.briarward.core.configuration.Upstream;
import io.briarward.core.rollout.GroupSpec;
import io.briarward.core.rollout.GroupsAnswer;
import io.briarward.core.rollout.RolloutKey;
import io.briarward.core.rollout.RolloutSpec;
import io.briarward.core.rollout.SamplingParameters;
import io.briarward.node.live.UsageRecorder;
import io.reactivex.rxjava3.core.Completable;
import io.reactivex.rxjava3.observers.TestObserver;
import io.reactivex.rxjava3.processors.PublishProcessor;
import io.reactivex.rxjava3.schedulers.TestScheduler;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Nodes in virtual time that share tables, an object store and samplers. */
final class RolloutFixture {
  static final RolloutKey KEY = new RolloutKey("org", "r1");
  static final String SERVICE = "llm";

  private static final long STEP_MILLIS = 50;

  private final TestScheduler scheduler = new TestScheduler();
  private final MemoryTables tables = new MemoryTables();
  private final MemoryObjects objects = new MemoryObjects();
  private final FakeCompletionClient completions = new FakeCompletionClient(scheduler);
  private final List<UsageRecorder.Usage> usage = new ArrayList<>();

  /** A node, which is stopped by no longer advancing its clock. */
  record TestNode(RolloutService service, TestScheduler clock) {}

  TestNode startNode(String name) {
    TestScheduler clock = new TestScheduler();
    clock.advanceTimeTo(scheduler.now(TimeUnit.MILLISECONDS), TimeUnit.MILLISECONDS);
    RolloutContext context =
        new RolloutContext(
            clock,
            RolloutStore.create(tables, objects),
            completions,
            LeastLoadedSamplerSelector.create(id -> Optional.of(service()), id -> Long.MAX_VALUE),
            each -> Completable.fromAction(() -> usage.add(each)),
            name,
            () -> clock.now(TimeUnit.MILLISECONDS),
            PublishProcessor.create());
    return new TestNode(RolloutService.start(context, () -> 1), clock);
  }

  void advance(long millis, TestNode... nodes) {
    for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
      scheduler.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
      for (TestNode node : nodes) {
        node.clock().advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
      }
    }
  }

  TestObserver<Submissions.SubmitResult> submit(TestNode node, RolloutSpec spec) {
    RolloutPolicy policy = new RolloutPolicy("p", SERVICE, 1, 3_600_000, 0.1);
    return node.service().submit(KEY, spec, policy).test();
  }

  /** Requests groups until the rollout is done, and returns all responses. */
  List<GroupsAnswer> collect(TestNode node) {
    List<GroupsAnswer> answers = new ArrayList<>();
    long cursor = 0;
    for (int i = 0; i < 200; i++) {
      TestObserver<GroupsAnswer> response = node.service().groups(KEY, cursor, 1_000).test();
      advance(1_200, node);
      if (response.values().isEmpty()) {
        continue;
      }
      GroupsAnswer answer = response.values().get(0);
      answers.add(answer);
      cursor = answer.cursor();
      if (answer.done()) {
        return answers;
      }
    }
    throw new AssertionError("rollout did not finish: " + answers);
  }

  static ImmutableList<String> groupIds(List<GroupsAnswer> answers) {
    return answers.stream()
        .flatMap(answer -> answer.groups().stream())
        .map(GroupsAnswer.Delivered::id)
        .collect(ImmutableList.toImmutableList());
  }

  static RolloutSpec spec(int groups, int samples) {
    ImmutableList.Builder<GroupSpec> list = ImmutableList.builder();
    for (int i = 0; i < groups; i++) {
      SamplingParameters sampling = new SamplingParameters(100, 1, i);
      list.add(new GroupSpec("g" + i, "prompt " + i, samples, sampling));
    }
    return new RolloutSpec("r1", SERVICE, "p", 1, list.build(), Optional.empty(), Optional.empty());
  }

  private static Service service() {
    Upstream a = new Upstream("s1", "dc", "127.0.0.1", 1, false, true, 32);
    Upstream b = new Upstream("s2", "dc", "127.0.0.1", 2, false, true, 32);
    return new Service(SERVICE, Service.Kind.MODEL, ImmutableList.of(a, b));
  }

  MemoryTables tables() {
    return tables;
  }

  FakeCompletionClient completions() {
    return completions;
  }

  List<UsageRecorder.Usage> usage() {
    return usage;
  }

  long nowMillis() {
    return scheduler.now(TimeUnit.MILLISECONDS);
  }
}
