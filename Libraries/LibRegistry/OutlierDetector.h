#pragma once

#include <LibCore/Time.h>
#include <LibRegistry/ServiceRegistry.h>
#include <LibRegistry/SubscriptionMessages.h>

#include <map>
#include <vector>

namespace jaybridge {

/// Outcomes of the whole fleet's attempts, by instance. One gateway sees too
/// few requests of an instance to tell a gray failure from chance.
///
/// A suspected instance is left alone for a time that doubles with each trial
/// that fails, since a trial of a service whose requests must not be repeated
/// costs a caller's request. After the time it is tried with a clean record.
///
/// Where much of a service is left alone, or fails, its instances are tried
/// again sooner: their slots are then worth more than a request.
///
/// The floor protects healthy capacity: an instance whose attempts mostly fail
/// is none, however many such there are. On less evidence only so many are left
/// alone that the floor stays in use among the others, those first that fail
/// most; the rest go on being judged. An instance that cannot be connected to
/// any more is no part of its service: it takes nobody's place among those that
/// are left alone.
class OutlierDetector {
public:
  /// Evidence counts half after this time.
  static constexpr Duration HalfLife = 1500ms;
  /// A connection that is lost without an answer points to the instance; an
  /// error may be the request's fault, and a connection that cannot be opened
  /// may be the gateway's path.
  static constexpr double LostWeight = 1;
  static constexpr double ErrorWeight = 0.5;
  static constexpr double UnreachableWeight = 0.35;
  /// With few successes one lost connection is enough.
  static constexpr double LeastFailures = 0.9;
  /// Share of lost requests and errors. Sound instances hardly ever lose one,
  /// and err in one request of a hundred.
  static constexpr double LeastFailureShare = 0.1;
  /// With connections that could not be opened. A cut keeps up to three of ten
  /// gateways away from a sound instance.
  static constexpr double LeastUnreachableShare = 0.25;
  /// From this share of failures on an instance is no healthy capacity.
  static constexpr double ProvenFailureShare = 0.5;
  /// Gray failures last several seconds.
  static constexpr Duration FirstHold = 5s;
  /// Where much of a service is left alone or fails.
  static constexpr Duration ScarceHold = 2s;
  static constexpr Duration LongestHold = 12s;
  /// More than this share of a service left alone is much.
  static constexpr double ScarceShare = 0.125;
  /// Where more than this share of a service's attempts fails, each instance
  /// is needed and holds end after the shorter time. Platforms that check that
  /// healthy instances are in use do so from a tenth on.
  static constexpr double TroubledShare = 0.08;
  /// A failure so long after the end of a hold starts anew.
  static constexpr Duration TrialTime = 2500ms;

  void record(const AttemptCounts &Seen, TimePoint Now);
  void forget(const InstanceId &Id) { Standings_.erase(Id); }

  bool isSuspect(const InstanceId &Id, TimePoint Now) const;
  /// Instances to leave alone, in the order of their ids.
  std::vector<InstanceId> suspects(const ServiceRegistry &Registry,
                                   Percentage Floor, TimePoint Now);

private:
  struct Standing {
    /// Lost requests and errors.
    double Failures_ = 0;
    double Unreachable_ = 0;
    double Successes_ = 0;
    TimePoint AsOf_{};
    TimePoint HeldSince_{};
    TimePoint HeldUntil_{};
    Duration Hold_{};
    /// Share of failures at the start of the hold.
    double Severity_ = 0;
    /// Heard of since the last hold ended.
    bool IsOnTrial_ = false;
    bool IsProven_ = false;
    /// Nothing but connections that could not be opened, more than once.
    bool IsAbsent_ = false;

    double bad() const { return Failures_ + Unreachable_; }
    double all() const { return bad() + Successes_; }
  };
  struct Evidence {
    double Failures_ = 0;
    double All_ = 0;
  };
  struct Pool {
    /// Serving instances that are not proven to fail.
    std::size_t Others_ = 0;
    std::vector<InstanceId> Proven_;
    std::vector<InstanceId> Unproven_;
  };

  static void hold(Standing &Suspected, TimePoint Now);
  /// Leaves as many alone as are permitted and takes the holds of the others
  /// back.
  void keepWorst(std::vector<InstanceId> &Unproven, std::size_t Permitted,
                 TimePoint Now);
  /// Ends the longer holds of services of which too much fails.
  void releaseTroubled(const ServiceRegistry &Registry, TimePoint Now);
  /// Ends the oldest holds of a service that lacks instances.
  void releaseScarce(Pool &Own, TimePoint Now);

  std::map<InstanceId, Standing> Standings_;
};

} // namespace jaybridge
