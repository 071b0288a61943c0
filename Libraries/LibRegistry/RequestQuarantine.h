#pragma once

#include <LibCore/Time.h>
#include <LibRegistry/SubscriptionMessages.h>
#include <LibUpstream/InstanceRecord.h>

#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace jaybridge {

/// One start of an instance.
struct InstanceStart {
  InstanceId Id_;
  Incarnation Version_;

  friend bool operator<(const InstanceStart &Left, const InstanceStart &Right) {
    return std::tie(Left.Id_, Left.Version_) <
           std::tie(Right.Id_, Right.Version_);
  }
};

/// Finds the requests that end each instance which runs them, by the losses
/// that all gateways of the fleet report, so that gateways stop sending them.
/// A single gateway sees too few of a caller's repetitions.
///
/// A request counts as crashing when instances were lost under it so often that
/// a proper request would hardly ever have been lost as often by chance, and no
/// gateway has got it answered. The chance of a proper request is the share of
/// attempts at its service that were lost lately: while many instances fail,
/// more losses are needed. A loss that it shares with a request which is
/// already known to crash instances does not count.
///
/// Before the verdict the request is under suspicion for ConfirmationDelay, in
/// which gateways that got it answered report so.
class RequestQuarantine {
public:
  /// Minimum number of different instance starts lost under a request.
  static constexpr std::size_t MinCrashes = 3;
  /// Maximum chance that a proper request was lost as often.
  static constexpr double MaxChance = 1e-4;
  /// Half-life of the exponentially decaying counts of a service.
  static constexpr Duration RateHalfLife = 5s;
  /// Covers the way of a suspicion to all gateways and of their objections
  /// back.
  static constexpr Duration ConfirmationDelay = 700ms;
  /// A suspicion that is not confirmed by further losses ends after this time.
  static constexpr Duration SuspicionDuration = std::chrono::minutes(2);
  static constexpr Duration QuarantineDuration = std::chrono::minutes(10);
  /// After a quarantine a single loss within this time starts another one.
  static constexpr Duration ProbationDuration = std::chrono::minutes(10);
  static constexpr std::size_t MaxObserved = 4096;
  static constexpr std::size_t MaxListed = 256;

  /// Adds attempts at the service, lost ones included.
  void recordAttempts(const ServiceName &Service, EventCount Attempts,
                      TimePoint Now);
  void recordLoss(const ServiceName &Service, const InstanceStart &Lost,
                  Fingerprint Request, TimePoint Now);
  /// An instance has answered the request, so that it doesn't end instances.
  void recordAnswered(Fingerprint Request) { Requests_.erase(Request); }

  /// Confirms suspicions, ends quarantines that are over and returns the lists
  /// for the gateways.
  RequestVerdicts decide(TimePoint Now);
  /// Replaces the quarantined requests by those of the member that decides, so
  /// that its successor goes on with them.
  void adopt(const std::vector<Fingerprint> &Quarantined, TimePoint Now);
  /// Number of requests that were dropped because a table was full.
  EventCount evicted() const { return Evicted_; }

private:
  struct ServiceRate {
    double Attempts_ = 0;
    /// Different requests that were lost.
    double LostRequests_ = 0;
    TimePoint UpdatedAt_{};
  };
  struct ObservedRequest {
    ServiceName Service_;
    std::set<InstanceStart> Lost_;
    TimePoint LastLossAt_{};
    /// Set while the request is suspected.
    std::optional<TimePoint> SuspectedAt_;
    /// Set once the request was quarantined.
    std::optional<TimePoint> QuarantinedUntil_;
  };

  ServiceRate &rateOf(const ServiceName &Service, TimePoint Now);
  /// Number of losses from which on a request of the service is suspected.
  std::size_t requiredCrashes(const ServiceName &Service, TimePoint Now);
  bool isQuarantined(const ObservedRequest &Request, TimePoint Now) const {
    return Request.QuarantinedUntil_ && Now < *Request.QuarantinedUntil_;
  }
  /// Quarantines the request and discards the losses of others that it
  /// explains.
  void quarantine(Fingerprint Request, TimePoint Now);
  void expire(TimePoint Now);
  void evictOldest();

  std::map<ServiceName, ServiceRate> Rates_;
  std::map<Fingerprint, ObservedRequest> Requests_;
  EventCount Evicted_;
};

} // namespace jaybridge
