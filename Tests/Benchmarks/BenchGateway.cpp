#include <LibRouting/Gateway.h>

#include <benchmark/benchmark.h>

namespace jaybridge {
namespace {

/// A gateway with one service "s" of that many instances.
Gateway makeGateway(std::int64_t Instances) {
  Gateway Role =
      Gateway::create(GatewaySettings{MemberId("self"), FailureDomain("d0")},
                      RandomSeed(1))
          .takeValue();
  ProfileDraft Draft;
  Draft.Name_ = ProfileName("reads");
  Draft.Repeatability_ = Repeatability::Repeatable;
  Draft.IsHedgingAllowed_ = true;
  std::vector<GatewayEffect> Out;
  Role.handle(CatalogChanged{ConfigurationVersion(1),
                             {ServicePolicy{ServiceName("s"),
                                            Profile::create(Draft).takeValue(),
                                            ConfigurationVersion(1)}}},
              TimePoint{}, Out);
  for (std::int64_t Number = 0; Number < Instances; ++Number)
    Role.handle(InstanceChanged{InstanceRecord{
                    InstanceId("s-" + std::to_string(Number)), ServiceName("s"),
                    Endpoint(), FailureDomain("d" + std::to_string(Number % 3)),
                    SlotCount(4), InstanceState::Serving, Incarnation(1)}},
                TimePoint{}, Out);
  return Role;
}

/// One request from arrival to answer: two decisions (dispatch and end) with
/// the load of half of the slots in the background.
void decideRequest(benchmark::State &State) {
  Gateway Role = makeGateway(State.range(0));
  std::vector<GatewayEffect> Out;
  std::vector<AttemptId> Running;
  std::vector<std::shared_ptr<const Request>> Prepared;
  constexpr std::size_t PreparedCount = 1U << 16;
  for (std::size_t Number = 0; Number < PreparedCount; ++Number) {
    auto Each = std::make_shared<Request>();
    Each->Id_ = RequestId("member-1-" + std::to_string(Number));
    Each->Service_ = ServiceName("s");
    Each->Target_ = "/status?hall=7";
    Prepared.push_back(std::move(Each));
  }
  TimePoint Now{};
  std::size_t Next = 0;
  auto Background = static_cast<std::size_t>(State.range(0) * 2);
  AttemptOutcome Ended;
  Ended.Result_ = AttemptResult::Answered;
  Ended.Response_.Status_ = StatusCode(200);
  Ended.Elapsed_ = 25ms;
  auto Step = [&] {
    Now += 10us;
    Out.clear();
    Role.advance(Now, Out);
    Role.handle(RequestReceived{Prepared[Next++ % PreparedCount]}, Now, Out);
    for (const GatewayEffect &Each : Out)
      if (const auto *Sent = std::get_if<SendAttempt>(&Each))
        Running.push_back(Sent->Attempt_);
    if (Running.size() <= Background)
      return;
    std::swap(Running[Next % Running.size()], Running.back());
    Role.handle(AttemptFinished{Running.back(), Ended}, Now, Out);
    Running.pop_back();
  };
  while (Running.size() < Background)
    Step();
  for (auto Each : State) {
    static_cast<void>(Each);
    Step();
  }
  State.SetItemsProcessed(State.iterations());
}
BENCHMARK(decideRequest)->Arg(10)->Arg(100)->Arg(1000);

/// The choice of an instance alone.
void selectInstance(benchmark::State &State) {
  UpstreamPool Pool(FailureDomain("d0"));
  for (std::int64_t Number = 0; Number < State.range(0); ++Number)
    Pool.apply(InstanceRecord{InstanceId("s-" + std::to_string(Number)),
                              ServiceName("s"), Endpoint(),
                              FailureDomain("d" + std::to_string(Number % 3)),
                              SlotCount(4), InstanceState::Serving,
                              Incarnation(1)},
               TimePoint{});
  PowerOfTwoChoices Chooser{RandomSeed(1)};
  SelectionRequest Wanted;
  for (auto Each : State) {
    static_cast<void>(Each);
    benchmark::DoNotOptimize(Pool.select(Chooser, Wanted, TimePoint{}));
  }
}
BENCHMARK(selectInstance)->Arg(10)->Arg(100)->Arg(1000);

} // namespace
} // namespace jaybridge

BENCHMARK_MAIN();
