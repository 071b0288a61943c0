#pragma once

#include <LibCore/DecisionRole.h>
#include <LibCore/Random.h>
#include <LibRouting/GatewayMessages.h>
#include <LibRouting/GatewaySettings.h>

#include <map>
#include <set>

namespace jaybridge {

/// Decides about each request: where it is sent, and its one answer.
class Gateway {
public:
  using Event = GatewayEvent;
  using Effect = GatewayEffect;
  using Effects = std::vector<Effect>;

  /// Errors: Invalid when a setting is missing or out of range.
  static Result<Gateway> create(GatewaySettings Settings, RandomSeed Seed);

  void handle(const Event &Incoming, TimePoint Now, Effects &Out);
  void advance(TimePoint Now, Effects &Out);
  std::optional<TimePoint> nextDeadline() const;

  /// True when a drain has started and no request is in progress.
  bool isDrained() const { return IsDraining_ && Requests_.empty(); }

private:
  struct Execution {
    std::shared_ptr<const Request> Request_;
    TimePoint Deadline_;
    AttemptId Attempt_;
    InstanceId Instance_;
  };
  struct Service {
    std::optional<ServicePolicy> Policy_;
    std::map<InstanceId, InstanceRecord> Instances_;
  };

  Gateway(GatewaySettings Settings, RandomSeed Seed)
      : Settings_(std::move(Settings)), Random_(Seed) {}

  void on(const RequestReceived &Incoming, TimePoint Now, Effects &Out);
  void on(const CallerGone &Incoming, TimePoint Now, Effects &Out);
  void on(const AttemptFinished &Incoming, TimePoint Now, Effects &Out);
  void on(const CatalogChanged &Incoming, TimePoint Now, Effects &Out);
  void on(const InstanceChanged &Incoming, TimePoint Now, Effects &Out);
  void on(const DrainStarted &Incoming, TimePoint Now, Effects &Out);
  // FIXME: The remaining events change nothing until claims, ejections and
  // forwarding are decided here.
  template <typename Other>
  void on(const Other & /*Incoming*/, TimePoint /*Now*/, Effects & /*Out*/) {}

  const InstanceRecord *selectInstance(const Service &Chosen);
  void dispatch(const InstanceRecord &Instance, Execution Started,
                Effects &Out);
  void answer(const RequestId &Id, Answer Final, Effects &Out);
  /// Forgets the request and answers its caller.
  void finish(const RequestId &Id, Answer Final, Effects &Out);

  GatewaySettings Settings_;
  Random Random_;
  ConfigurationVersion Version_;
  bool IsDraining_ = false;
  AttemptId LastAttempt_;
  std::map<ServiceName, Service> Services_;
  std::map<RequestId, Execution> Requests_;
  std::map<AttemptId, RequestId> Attempts_;
  std::set<std::pair<TimePoint, RequestId>> Deadlines_;
};

static_assert(DecisionRole<Gateway>);

} // namespace jaybridge
