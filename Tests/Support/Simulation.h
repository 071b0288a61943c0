#pragma once

#include <LibCore/DecisionRole.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Random.h>
#include <LibCore/Units.h>

#include <functional>
#include <map>
#include <set>

namespace jaybridge {

/// How the message list of a test treats every message.
struct LinkFaults {
  Percentage Loss_;
  Percentage Duplicates_;
  Duration LeastDelay_ = 1ms;
  Duration GreatestDelay_ = 3ms;
};

/// Many decision objects of one kind in one process, joined by a list of
/// messages in logical time.
template <DecisionRole Role> class Simulation {
public:
  using Event = typename Role::Event;
  using Effect = typename Role::Effect;
  /// Turns effects into calls of `send` and records what a test looks at.
  using Route =
      std::function<void(Simulation &, const MemberId &, const Effect &)>;

  Simulation(Route Deliver, LinkFaults Faults, RandomSeed Seed)
      : Deliver_(std::move(Deliver)), Faults_(Faults), Numbers_(Seed) {}

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
  /// Neither timers nor messages reach the member until then; messages wait.
  void freezeUntil(const MemberId &Id, TimePoint Until) {
    Host &Frozen = Hosts_.at(Id);
    Frozen.FrozenUntil_ = Until;
    schedule(Id, Frozen);
  }
  void cutLink(const MemberId &From, const MemberId &To) {
    Cuts_.emplace(From, To);
  }
  void cutBothWays(const MemberId &A, const MemberId &B) {
    cutLink(A, B);
    cutLink(B, A);
  }
  void healAll() { Cuts_.clear(); }
  void setFaults(LinkFaults Faults) { Faults_ = Faults; }
  /// Shows every effect before it is delivered.
  void observe(std::function<void(const Effect &)> Observe) {
    Observe_ = std::move(Observe);
  }

  void send(const MemberId &From, const MemberId &To, Event Sent) {
    if (Cuts_.contains({From, To}) || isDrawn(Faults_.Loss_))
      return;
    int Copies = isDrawn(Faults_.Duplicates_) ? 2 : 1;
    for (int I = 0; I < Copies; ++I)
      Messages_.emplace(Now_ + delay(), std::pair(To, Sent));
  }
  /// Hands an event to a member at once.
  void inject(const MemberId &Id, const Event &Given) {
    step(Id, Hosts_.at(Id), &Given);
  }

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
      // After the wake-up timer, as a thread first looks at its timers.
      TimePoint Later = Found->second.FrozenUntil_ + Duration(1);
      Messages_.emplace(Later, std::move(Node.mapped()));
      return;
    }
    step(To, Found->second, &Sent);
  }

  void step(const MemberId &Id, Host &Woken, const Event *Given) {
    std::vector<Effect> Effects;
    Woken.Role_.advance(Now_, Effects);
    if (Given)
      Woken.Role_.handle(*Given, Now_, Effects);
    schedule(Id, Woken);
    for (const Effect &Each : Effects) {
      if (Observe_)
        Observe_(Each);
      Deliver_(*this, Id, Each);
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

  bool isDrawn(Percentage Share) {
    return Share.value() > 0 && Numbers_.below(100) < Share.value();
  }
  Duration delay() {
    auto Span = (Faults_.GreatestDelay_ - Faults_.LeastDelay_).count() + 1;
    return Faults_.LeastDelay_ + Duration(Numbers_.below(Span));
  }

  Route Deliver_;
  std::function<void(const Effect &)> Observe_;
  LinkFaults Faults_;
  Random Numbers_;
  TimePoint Now_{1h};
  std::map<MemberId, Host> Hosts_;
  std::multimap<TimePoint, std::pair<MemberId, Event>> Messages_;
  std::set<std::pair<TimePoint, MemberId>> Timers_;
  std::set<std::pair<MemberId, MemberId>> Cuts_;
};

/// Name of the member with this number, as the tests use it.
inline MemberId memberIdFor(std::size_t Number) {
  std::string Digits = std::to_string(Number);
  return MemberId("vm-" +
                  std::string(Digits.size() < 5 ? 5 - Digits.size() : 0, '0') +
                  Digits);
}

} // namespace jaybridge
