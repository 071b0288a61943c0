#pragma once

#include <LibCore/Time.h>
#include <LibDetection/EvidenceReport.h>

#include <map>
#include <vector>

namespace jaybridge {

/// One crash that is not to be blamed on its instance.
struct ForgivenCrash {
  InstanceId Instance_;
  MemberId Gateway_;
};

/// Fingerprints of requests that crash the instances which run them. A
/// fingerprint that crashed two different instances is quarantined; one that
/// an instance answered is cleared. Bounded and expiring.
class CrashQuarantine {
public:
  static constexpr std::size_t GreatestSuspectCount = 64;
  static constexpr std::size_t GreatestQuarantinedCount = 256;
  static constexpr Duration SuspicionTime = std::chrono::minutes(2);
  static constexpr Duration QuarantineTime = std::chrono::minutes(10);

  /// Together_ is the number of requests that the gateway lost on the instance
  /// at once: only one of them caused the crash, so each bears a share of it.
  struct Crash {
    InstanceId Instance_;
    MemberId Gateway_;
    Fingerprint Fingerprint_;
    EventCount Together_{1};
  };

  /// Returns the crashes that are now known to be the request's own.
  std::vector<ForgivenCrash> add(const Crash &Seen, TimePoint Now);
  /// An instance answered a request with this fingerprint.
  void clear(Fingerprint Survived);
  void expire(TimePoint Now);

  bool isQuarantined(Fingerprint Asked) const {
    return Quarantined_.contains(Asked);
  }
  std::vector<Fingerprint> quarantined() const;
  std::vector<Fingerprint> suspected() const;
  /// Fingerprints that were forgotten before their time for lack of space.
  EventCount evicted() const { return Evicted_; }

private:
  struct Suspect {
    std::vector<ForgivenCrash> Crashes_;
    /// Sum of the shares, and whether two instances are among them.
    double Blame_ = 0;
    bool HasTwoInstances_ = false;
    TimePoint ForgetAt_;
  };

  template <typename Map, typename TimeOf>
  void makeSpace(Map &Entries, std::size_t Greatest, TimeOf ForgetAt);

  std::map<Fingerprint, Suspect> Suspects_;
  std::map<Fingerprint, TimePoint> Quarantined_;
  EventCount Evicted_;
};

} // namespace jaybridge
