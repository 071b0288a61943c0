#pragma once

#include <LibRegistry/OutlierDetector.h>
#include <LibRegistry/RequestQuarantine.h>
#include <LibRegistry/ServiceRegistry.h>
#include <LibRegistry/SubscriptionMessages.h>

#include <map>
#include <vector>

namespace jaybridge {

/// What gateways reported to a control member about instances and requests. The
/// leader decides from it; a follower passes it on to the leader.
class FleetEvidence {
public:
  /// Records a report. Returns whether the leader should get it at once.
  bool record(const std::vector<AttemptCounts> &Attempts,
              const RequestEvidence &Requests, const ServiceRegistry &Registry,
              TimePoint Now);
  /// Discards the outcomes of an instance that restarted or left.
  void forget(const InstanceId &Id) { Outliers_.forget(Id); }

  /// Takes the evidence since the last call, for the leader.
  FollowerReport takeReport(const FailureDomain &Domain);

  /// The leader's decisions.
  std::vector<InstanceId> selectEjected(const ServiceRegistry &Registry,
                                        Percentage Floor, TimePoint Now) {
    return Outliers_.selectEjected(Registry, Floor, Now);
  }
  RequestVerdicts decideRequests(const ServiceRegistry &Registry,
                                 TimePoint Now);
  /// Takes over the quarantined requests of the leader, so that a successor
  /// goes on with them.
  void adopt(const RequestVerdicts &Decided, TimePoint Now) {
    Quarantine_.adopt(Decided.Quarantined_, Now);
  }

private:
  OutlierDetector Outliers_;
  RequestQuarantine Quarantine_;
  /// Evidence that neither was reported to the leader nor decided on.
  std::map<InstanceId, AttemptCounts> NewAttempts_;
  RequestEvidence NewRequests_;
};

} // namespace jaybridge
