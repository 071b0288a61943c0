#pragma once

#include <LibCore/DecisionRole.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Random.h>
#include <LibCore/Units.h>

#include <functional>
#include <map>
#include <set>

namespace jaybridge {

/// Faults of the simulated network, drawn independently for each message.
struct LinkFaults {
  Percentage LossRate_;
  Percentage DuplicationRate_;
  Duration MinDelay_ = 1ms;
  Duration MaxDelay_ = 3ms;
};

/// Discrete-event simulation of a fleet: one decision object per member, a
/// simulated clock and network, and no threads. A run is reproducible from its
/// seed.
template <DecisionRole Role> class Simulation {
public:
  using Event = typename Role::Event;
  using Effect = typename Role::Effect;
  /// Handles an effect of a member: passes messages to `send` and records the
  /// effects that a test checks.
  using EffectHandler =
      std::function<void(Simulation &, const MemberId &, const Effect &)>;

  Simulation(EffectHandler OnEffect, LinkFaults Faults, RandomSeed Seed)
      : OnEffect_(std::move(OnEffect)), Faults_(Faults), Random_(Seed) {}

  /// Starts a member, or replaces it by a new object.
  void start(const MemberId &Id, Role Started) {
    stop(Id);
    auto [Position, Ignored] = Hosts_.emplace(Id, Host{std::move(Started), {}});
    schedule(Id, Position->second);
  }
  void stop(const MemberId &Id) {
    if (auto Found = Hosts_.find(Id); Found != Hosts_.end()) {
      Timers_.erase({Found->second.WakeAt_, Id});
      Hosts_.erase(Found);
    }
  }
  /// Suspends a member, as when its VM is paused: its timers and messages are
  /// delayed until the given time.
  void freezeUntil(const MemberId &Id, TimePoint Until) {
    Host &Frozen = Hosts_.at(Id);
    Frozen.FrozenUntil_ = Until;
    schedule(Id, Frozen);
  }
  /// Drops messages in this direction until `healAll`.
  void cutLink(const MemberId &From, const MemberId &To) {
    CutLinks_.emplace(From, To);
  }
  void cutBothWays(const MemberId &A, const MemberId &B) {
    cutLink(A, B);
    cutLink(B, A);
  }
  void healAll() { CutLinks_.clear(); }
  void setFaults(LinkFaults Faults) { Faults_ = Faults; }
  /// Sets a callback that receives every effect before it is handled.
  void observe(std::function<void(const Effect &)> Observe) {
    Observe_ = std::move(Observe);
  }

  /// Sends a message over the simulated network, with its faults.
  void send(const MemberId &From, const MemberId &To, Event Sent) {
    if (CutLinks_.contains({From, To}) || drawFault(Faults_.LossRate_))
      return;
    int Copies = drawFault(Faults_.DuplicationRate_) ? 2 : 1;
    for (int I = 0; I < Copies; ++I)
      Messages_.emplace(Now_ + drawDelay(), std::pair(To, Sent));
  }
  /// Delivers an event to a member at once, without the network.
  void inject(const MemberId &Id, const Event &Received) {
    step(Id, Hosts_.at(Id), &Received);
  }

  /// Advances the simulated time and processes messages and timers in order.
  void runFor(Duration Span) {
    TimePoint End = Now_ + Span;
    while (true) {
      bool HasMessage = !Messages_.empty() && Messages_.begin()->first <= End;
      bool HasTimer = !Timers_.empty() && Timers_.begin()->first <= End;
      if (!HasMessage && !HasTimer)
        break;
      if (HasMessage &&
          (!HasTimer || Messages_.begin()->first <= Timers_.begin()->first)) {
        deliverNext();
        continue;
      }
      auto [At, Id] = *Timers_.begin();
      Now_ = std::max(Now_, At);
      step(Id, Hosts_.at(Id), nullptr);
    }
    Now_ = End;
  }

  TimePoint now() const { return Now_; }
  bool isRunning(const MemberId &Id) const { return Hosts_.contains(Id); }
  Role &role(const MemberId &Id) { return Hosts_.at(Id).Role_; }
  std::vector<MemberId> members() const {
    std::vector<MemberId> Ids;
    for (const auto &[Id, Ignored] : Hosts_)
      Ids.push_back(Id);
    return Ids;
  }

private:
  struct Host {
    Role Role_;
    TimePoint WakeAt_;
    TimePoint FrozenUntil_{};
  };

  void deliverNext() {
    auto Node = Messages_.extract(Messages_.begin());
    Now_ = std::max(Now_, Node.key());
    auto &[To, Sent] = Node.mapped();
    auto Found = Hosts_.find(To);
    if (Found == Hosts_.end())
      return;
    if (Found->second.FrozenUntil_ > Now_) {
      // After the wake-up timer: a duty thread processes its timers first.
      TimePoint DeliverAt = Found->second.FrozenUntil_ + Duration(1);
      Messages_.emplace(DeliverAt, std::move(Node.mapped()));
      return;
    }
    step(To, Found->second, &Sent);
  }

  /// Advances a member's timers, delivers the event if there is one, and
  /// handles the effects.
  void step(const MemberId &Id, Host &Stepped, const Event *Received) {
    std::vector<Effect> Effects;
    Stepped.Role_.advance(Now_, Effects);
    if (Received)
      Stepped.Role_.handle(*Received, Now_, Effects);
    schedule(Id, Stepped);
    for (const Effect &Emitted : Effects) {
      if (Observe_)
        Observe_(Emitted);
      OnEffect_(*this, Id, Emitted);
    }
  }

  void schedule(const MemberId &Id, Host &Changed) {
    Timers_.erase({Changed.WakeAt_, Id});
    auto Next = Changed.Role_.nextDeadline();
    if (!Next)
      return;
    Changed.WakeAt_ = std::max({*Next, Changed.FrozenUntil_, Now_});
    Timers_.emplace(Changed.WakeAt_, Id);
  }

  bool drawFault(Percentage Rate) {
    return Rate.value() > 0 && Random_.below(100) < Rate.value();
  }
  Duration drawDelay() {
    auto Span = (Faults_.MaxDelay_ - Faults_.MinDelay_).count() + 1;
    return Faults_.MinDelay_ + Duration(Random_.below(Span));
  }

  EffectHandler OnEffect_;
  std::function<void(const Effect &)> Observe_;
  LinkFaults Faults_;
  Random Random_;
  TimePoint Now_{1h};
  std::map<MemberId, Host> Hosts_;
  std::multimap<TimePoint, std::pair<MemberId, Event>> Messages_;
  std::set<std::pair<TimePoint, MemberId>> Timers_;
  std::set<std::pair<MemberId, MemberId>> CutLinks_;
};

/// Id of a simulated member.
inline MemberId memberIdFor(std::size_t Number) {
  std::string Digits = std::to_string(Number);
  return MemberId("vm-" +
                  std::string(Digits.size() < 5 ? 5 - Digits.size() : 0, '0') +
                  Digits);
}

} // namespace jaybridge
