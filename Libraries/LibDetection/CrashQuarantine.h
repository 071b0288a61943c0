#pragma once

#include <LibCore/Time.h>
#include <LibDetection/EvidenceReport.h>

#include <map>
#include <vector>

namespace jaybridge {

/// Crash of an instance, as reported by a gateway.
struct CrashOccurrence {
  InstanceId Instance_;
  MemberId Gateway_;
};

/// Quarantines the fingerprints of requests that crash the instances which run
/// them. A fingerprint whose requests crashed two different instances is
/// quarantined; a fingerprint that an instance answered is cleared. The number
/// of entries is limited, and entries expire.
class CrashQuarantine {
public:
  static constexpr std::size_t MaxSuspects = 64;
  static constexpr std::size_t MaxQuarantined = 256;
  static constexpr Duration SuspectRetention = std::chrono::minutes(2);
  static constexpr Duration QuarantineDuration = std::chrono::minutes(10);

  /// ConcurrentLosses_ is the number of requests that the gateway lost on the
  /// instance at the same time. Only one of them caused the crash, so each gets
  /// an equal share of its weight.
  struct Crash {
    InstanceId Instance_;
    MemberId Gateway_;
    Fingerprint Fingerprint_;
    EventCount ConcurrentLosses_{1};
  };

  /// Records a crash. Returns the crashes that are now attributed to the
  /// request instead of the instances.
  std::vector<CrashOccurrence> add(const Crash &NewCrash, TimePoint Now);
  /// Clears the fingerprint, because an instance answered a request with it.
  void clear(Fingerprint Answered);
  void expire(TimePoint Now);

  bool isQuarantined(Fingerprint Key) const {
    return Quarantined_.contains(Key);
  }
  std::vector<Fingerprint> quarantined() const;
  std::vector<Fingerprint> suspected() const;
  /// Number of fingerprints removed before they expired because a table was
  /// full.
  EventCount evicted() const { return Evicted_; }

private:
  struct Suspect {
    std::vector<CrashOccurrence> Crashes_;
    /// Sum of the shares of the crashes, and whether they hit two or more
    /// instances.
    double Weight_ = 0;
    bool HasTwoInstances_ = false;
    TimePoint ExpiresAt_;
  };

  template <typename Map, typename ExpiryOf>
  void evictIfFull(Map &Entries, std::size_t MaxSize, ExpiryOf ExpiresAt);

  std::map<Fingerprint, Suspect> Suspects_;
  std::map<Fingerprint, TimePoint> Quarantined_;
  EventCount Evicted_;
};

} // namespace jaybridge
