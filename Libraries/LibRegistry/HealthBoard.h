#pragma once

#include <LibCore/Time.h>
#include <LibRegistry/SubscriptionMessages.h>

#include <map>
#include <vector>

namespace jaybridge {

/// Outcomes of the whole fleet's attempts, by instance. One gateway sees too
/// few requests of an instance to tell a gray failure from chance.
class HealthBoard {
public:
  /// Evidence counts half after this time, so that a recovered instance is
  /// tried again and a new failure shows at once.
  static constexpr Duration HalfLife = 1500ms;
  /// Failures that raise suspicion: more than one, as one may be the request's.
  static constexpr double LeastFailures = 1.4;
  static constexpr double LeastFailureShare = 0.4;
  /// An instance stays suspected at least this long after its last failure.
  static constexpr Duration LeastSuspicion = 1s;

  void record(const AttemptTally &Seen, TimePoint Now);
  /// The instance announced itself.
  void noteAnnounced(const InstanceId &Id, TimePoint Now);
  void forget(const InstanceId &Id) { Standings_.erase(Id); }

  bool isSuspect(const InstanceId &Id, TimePoint Now) const;
  /// Neither announced itself nor answered a request since the time.
  bool isSilentSince(const InstanceId &Id, TimePoint Since) const;
  /// Suspected instances in the order of their ids.
  std::vector<InstanceId> suspects(TimePoint Now) const;

private:
  struct Standing {
    double Failures_ = 0;
    double Successes_ = 0;
    TimePoint AsOf_{};
    TimePoint FailedAt_{};
    TimePoint AliveAt_{};
  };
  static bool isSuspect(const Standing &Given, TimePoint Now);

  std::map<InstanceId, Standing> Standings_;
};

} // namespace jaybridge
