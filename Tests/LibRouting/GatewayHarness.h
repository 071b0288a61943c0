#pragma once

#include <LibRouting/Gateway.h>

#include <gtest/gtest.h>

namespace jaybridge {

/// A profile with a patience of one second.
inline Profile makeProfile(Repeatability Repeat, bool HedgingAllowed = false,
                           Percentage Budget = Percentage(20),
                           ClassWeight Weight = ClassWeight(1)) {
  ProfileDraft Draft;
  Draft.Name_ = ProfileName("test");
  Draft.Repeatability_ = Repeat;
  Draft.IsHedgingAllowed_ = HedgingAllowed;
  Draft.RetryBudget_ = Budget;
  Draft.Weight_ = Weight;
  Draft.Patience_ = 1s;
  return Profile::create(Draft).takeValue();
}

inline InstanceRecord makeInstance(const std::string &Id,
                                   const std::string &Service, SlotCount Slots,
                                   InstanceState State = InstanceState::Serving,
                                   Incarnation Version = Incarnation(1)) {
  return InstanceRecord{InstanceId(Id), ServiceName(Service),
                        Endpoint(),     FailureDomain("here"),
                        Slots,          State,
                        Version};
}

inline AttemptOutcome makeOutcome(AttemptResult Result,
                                  StatusCode Code = StatusCode(200),
                                  Duration Elapsed = 10ms) {
  AttemptOutcome AttemptEnd;
  AttemptEnd.Result_ = Result;
  if (Result == AttemptResult::Answered)
    AttemptEnd.Response_.Status_ = Code;
  AttemptEnd.Elapsed_ = Elapsed;
  return AttemptEnd;
}

/// A gateway with one service "s", and the effects of the last event or time
/// advance.
class GatewayHarness {
public:
  explicit GatewayHarness(const Profile &ServiceProfile, int Instances = 2,
                          SlotCount Slots = SlotCount(2),
                          GatewaySettings Settings = defaultSettings())
      : Gateway_(Gateway::create(Settings, RandomSeed(1)).takeValue()) {
    handle(CatalogChanged{ConfigurationVersion(1),
                          {ServicePolicy{ServiceName("s"), ServiceProfile,
                                         ConfigurationVersion(1)}}});
    for (int Number = 0; Number < Instances; ++Number)
      handle(InstanceChanged{
          makeInstance("i" + std::to_string(Number), "s", Slots)});
  }

  static GatewaySettings defaultSettings() {
    return GatewaySettings{MemberId("self"), FailureDomain("here")};
  }

  void handle(const GatewayEvent &Event) {
    Effects_.clear();
    Gateway_.advance(Now_, Effects_);
    Gateway_.handle(Event, Now_, Effects_);
  }
  void advanceTo(TimePoint Now) {
    Now_ = Now;
    Effects_.clear();
    Gateway_.advance(Now_, Effects_);
  }
  void request(const std::string &Id, bool HasKey = false,
               bool IsForwarded = false) {
    auto Received = std::make_shared<Request>();
    Received->Id_ = RequestId(Id);
    Received->Service_ = ServiceName("s");
    Received->Target_ = "/" + Id;
    if (HasKey)
      Received->Key_ = IdempotencyKeyText("key-" + Id);
    handle(RequestReceived{Received, IsForwarded});
  }
  void finish(AttemptId Attempt, const AttemptOutcome &AttemptEnd) {
    handle(AttemptFinished{Attempt, AttemptEnd});
  }

  /// The last effect of this type; null when there is none.
  template <typename Kind> const Kind *last() const {
    for (auto Effect = Effects_.rbegin(); Effect != Effects_.rend(); ++Effect)
      if (const auto *Found = std::get_if<Kind>(&*Effect))
        return Found;
    return nullptr;
  }
  template <typename Kind> int count() const {
    int Number = 0;
    for (const auto &Effect : Effects_)
      Number += std::holds_alternative<Kind>(Effect) ? 1 : 0;
    return Number;
  }
  const Refusal *refusal() const {
    const auto *Answered = last<AnswerCaller>();
    return Answered ? std::get_if<Refusal>(&Answered->Answer_) : nullptr;
  }

  Gateway Gateway_;
  TimePoint Now_{};
  Gateway::Effects Effects_;
};

} // namespace jaybridge
