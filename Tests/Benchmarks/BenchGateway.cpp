#include <LibRouting/Gateway.h>

#include <benchmark/benchmark.h>

namespace jaybridge {
namespace {

/// Creates a gateway with one service, "s", and this number of instances.
Gateway makeGateway(std::int64_t Instances) {
  Gateway Subject =
      Gateway::create(GatewaySettings{MemberId("self"), FailureDomain("d0")},
                      RandomSeed(1))
          .takeValue();
  ProfileDraft Draft;
  Draft.Name_ = ProfileName("reads");
  Draft.Repeatability_ = Repeatability::Repeatable;
  Draft.IsHedgingAllowed_ = true;
  std::vector<GatewayEffect> Effects;
  Subject.handle(
      CatalogChanged{
          ConfigurationVersion(1),
          {ServicePolicy{ServiceName("s"), Profile::create(Draft).takeValue(),
                         ConfigurationVersion(1)}}},
      TimePoint{}, Effects);
  for (std::int64_t Number = 0; Number < Instances; ++Number)
    Subject.handle(
        InstanceChanged{InstanceRecord{
            InstanceId("s-" + std::to_string(Number)), ServiceName("s"),
            Endpoint(), FailureDomain("d" + std::to_string(Number % 3)),
            SlotCount(4), InstanceState::Serving, Incarnation(1)}},
        TimePoint{}, Effects);
  return Subject;
}

/// Measures the decisions for one request from arrival to answer, its dispatch
/// and the end of its attempt, while other requests occupy half of the slots.
void decideRequest(benchmark::State &State) {
  Gateway Subject = makeGateway(State.range(0));
  std::vector<GatewayEffect> Effects;
  std::vector<AttemptId> RunningAttempts;
  std::vector<std::shared_ptr<const Request>> PreparedRequests;
  constexpr std::size_t PreparedRequestCount = 1U << 16;
  for (std::size_t Number = 0; Number < PreparedRequestCount; ++Number) {
    auto NewRequest = std::make_shared<Request>();
    NewRequest->Id_ = RequestId("member-1-" + std::to_string(Number));
    NewRequest->Service_ = ServiceName("s");
    NewRequest->Target_ = "/status?hall=7";
    PreparedRequests.push_back(std::move(NewRequest));
  }
  TimePoint Now{};
  std::size_t Next = 0;
  auto BackgroundAttempts = static_cast<std::size_t>(State.range(0) * 2);
  AttemptOutcome Result;
  Result.Result_ = AttemptResult::Answered;
  Result.Response_.Status_ = StatusCode(200);
  Result.Elapsed_ = 25ms;
  auto HandleRequest = [&] {
    Now += 10us;
    Effects.clear();
    Subject.advance(Now, Effects);
    Subject.handle(
        RequestReceived{PreparedRequests[Next++ % PreparedRequestCount]}, Now,
        Effects);
    for (const GatewayEffect &Effect : Effects)
      if (const auto *Sent = std::get_if<SendAttempt>(&Effect))
        RunningAttempts.push_back(Sent->Attempt_);
    if (RunningAttempts.size() <= BackgroundAttempts)
      return;
    std::swap(RunningAttempts[Next % RunningAttempts.size()],
              RunningAttempts.back());
    Subject.handle(AttemptFinished{RunningAttempts.back(), Result}, Now,
                   Effects);
    RunningAttempts.pop_back();
  };
  while (RunningAttempts.size() < BackgroundAttempts)
    HandleRequest();
  for (auto Iteration : State) {
    static_cast<void>(Iteration);
    HandleRequest();
  }
  State.SetItemsProcessed(State.iterations());
}
BENCHMARK(decideRequest)->Arg(10)->Arg(100)->Arg(1000);

/// Measures only the selection of an instance.
void selectInstance(benchmark::State &State) {
  UpstreamPool Pool(FailureDomain("d0"));
  for (std::int64_t Number = 0; Number < State.range(0); ++Number)
    Pool.apply(InstanceRecord{InstanceId("s-" + std::to_string(Number)),
                              ServiceName("s"), Endpoint(),
                              FailureDomain("d" + std::to_string(Number % 3)),
                              SlotCount(4), InstanceState::Serving,
                              Incarnation(1)},
               TimePoint{});
  PowerOfTwoChoices Policy{RandomSeed(1)};
  SelectionRequest Constraints;
  for (auto Iteration : State) {
    static_cast<void>(Iteration);
    benchmark::DoNotOptimize(Pool.select(Policy, Constraints, TimePoint{}));
  }
}
BENCHMARK(selectInstance)->Arg(10)->Arg(100)->Arg(1000);

} // namespace
} // namespace jaybridge

BENCHMARK_MAIN();
