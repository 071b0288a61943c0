#pragma once

#include <LibCore/Time.h>
#include <LibRegistry/ServiceRegistry.h>
#include <LibRegistry/SubscriptionMessages.h>

#include <map>
#include <vector>

namespace jaybridge {

/// Ejects instances by the outcomes of attempts, as reported by all gateways of
/// the fleet. A single gateway sends an instance too few requests to tell a
/// gray failure from chance.
///
/// After the ejection the instance is judged with cleared counts, and ejected
/// again for as long if it fails its probation. Longer ejections would cost
/// fewer requests of callers as probes, but keep an instance out of use long
/// after its failure has ended.
///
/// Ejections end sooner where the remaining instances cannot carry the load, or
/// where much of a service fails: the capacity of its instances is then worth
/// more than the requests that are lost by probing them.
///
/// An attempt that is open far longer than its like counts as lost before it
/// ends, as far as such attempts of the service usually are lost. If it is
/// answered after all, the ejection for it ends. When most instances of a
/// service have such attempts, the service is slow as a whole and they eject
/// nobody.
///
/// The floor protects healthy capacity. An instance most of whose attempts fail
/// is not healthy capacity, so that any number of such instances may be
/// ejected. On weaker evidence, the number of ejections is limited such that
/// the floor stays in use among the remaining instances; the instances with
/// the highest share of failures are ejected first, the others stay under
/// observation. An instance whose attempts since its previous ejection were
/// all failed connects is down: it is not part of its service and doesn't count
/// against these limits.
class OutlierDetector {
public:
  /// Half-life of the exponentially decaying counts.
  static constexpr Duration EvidenceHalfLife = 1500ms;
  /// A connection that is lost before the response points to the instance,
  /// whereas an error may be caused by the request, and a failed connect by the
  /// gateway's network path.
  static constexpr double LostWeight = 1;
  static constexpr double ErrorWeight = 0.5;
  static constexpr double UnreachableWeight = 0.35;
  /// Low enough that a single lost connection among few successes suffices.
  static constexpr double MinFailures = 0.9;
  /// Minimum share of lost requests and errors. Healthy instances hardly ever
  /// lose a request and return an error for one request in a hundred.
  static constexpr double MinFailureShare = 0.1;
  /// Minimum share of failures including failed connects. A network partition
  /// separates up to three of ten gateways from a healthy instance.
  static constexpr double MinUnreachableShare = 0.25;
  /// An instance with at least this share of failures is not healthy capacity.
  static constexpr double ProvenFailureShare = 0.5;
  /// Gray failures last several seconds. Platforms expect requests at an
  /// instance from about six seconds after its failure on.
  static constexpr Duration EjectionDuration = 5s;
  /// Applies where a large share of a service is ejected or fails.
  static constexpr Duration MinEjectionDuration = 2s;
  /// Above one of these, proven ejections end after MinEjectionDuration, the
  /// oldest first: the share of a service's instances that they take, and the
  /// share of the slots in use of the others.
  static constexpr double MaxProvenEjectedShare = 0.4;
  static constexpr double MaxSlotUse = 0.6;
  /// Share of a service's instances with overdue attempts from which on the
  /// service is slow as a whole.
  static constexpr double SlowServiceShare = 0.5;
  /// Share of overdue attempts without an answer from which on an overdue
  /// attempt counts like a lost one.
  static constexpr double CredibleShare = 0.5;
  /// Half-life of what is known about the overdue attempts of a service.
  static constexpr Duration CredibilityHalfLife = 15s;
  /// Share of failed attempts of a service above which each instance is needed
  /// and ejections end after MinEjectionDuration. Platforms that check that
  /// healthy instances are in use do so from a share of one tenth on.
  static constexpr double DegradedFailureShare = 0.08;
  /// An instance that fails within this time after the end of an ejection is
  /// proven to fail.
  static constexpr Duration ProbationDuration = 2500ms;

  void record(const AttemptCounts &Counts, const ServiceName &Service,
              TimePoint Now);
  void forget(const InstanceId &Id) { Instances_.erase(Id); }

  bool isEjected(const InstanceId &Id, TimePoint Now) const;
  /// Applies the limits and returns the ejected instances, sorted by id.
  std::vector<InstanceId> selectEjected(const ServiceRegistry &Registry,
                                        Percentage Floor, TimePoint Now);

private:
  struct InstanceHealth {
    /// Lost requests and errors.
    double Failures_ = 0;
    double Unreachable_ = 0;
    double Successes_ = 0;
    TimePoint UpdatedAt_{};
    TimePoint EjectedAt_{};
    TimePoint EjectedUntil_{};
    /// False after a reverted ejection: there is then no probation.
    bool HasBeenEjected_ = false;
    /// Share of failures at the start of the ejection.
    double FailureShare_ = 0;
    /// Outcomes were reported since the last ejection ended.
    bool IsOnProbation_ = false;
    /// The share of failures reached ProvenFailureShare, or the instance failed
    /// its probation.
    bool IsProven_ = false;
    /// Only failed connects were reported since the previous ejection.
    bool IsDown_ = false;
    /// Attempts that are overdue and still open, and the part of Failures_ that
    /// they caused.
    double OpenCount_ = 0;
    double Open_ = 0;
    /// Without that part the instance would not have been ejected.
    bool IsEjectedForOpen_ = false;

    double failures() const { return Failures_ + Unreachable_; }
    double total() const { return failures() + Successes_; }
  };
  struct ServiceOutcomes {
    double Failures_ = 0;
    double Total_ = 0;
  };
  /// What the reports say about a service, as decaying sums.
  class ServiceTrend {
  public:
    void record(const AttemptCounts &Counts, TimePoint Now);
    /// Weight of an overdue attempt, relative to a lost one.
    double overdueWeight() const;
    /// Mean number of slots in use, by Little's law.
    double slotsInUse(TimePoint Now) const;

  private:
    // Start as if two of four overdue attempts had been answered.
    double AnsweredLate_ = 2;
    double NeverAnswered_ = 2;
    double ServiceSeconds_ = 0;
    TimePoint UpdatedAt_{};
  };
  struct ServicePool {
    /// Serving instances without a proven failure, ejected or not.
    std::size_t UnprovenCount_ = 0;
    std::vector<InstanceId> ProvenEjected_;
    std::vector<InstanceId> UnprovenEjected_;
    /// Slots of all serving instances that are not down.
    double Slots_ = 0;
    double ProvenEjectedSlots_ = 0;
    /// Mean number of slots in use.
    double SlotsInUse_ = 0;

    bool hasRoomWithoutProven() const;
  };

  static void eject(InstanceHealth &Health, TimePoint Now);
  static void startProbation(InstanceHealth &Health);
  /// Counts attempts that became overdue.
  static void addOverdue(InstanceHealth &Health, EventCount Overdue,
                         double Weight);
  /// Takes back what overdue attempts counted that have now ended.
  static void settleOverdue(InstanceHealth &Health, const AttemptCounts &Counts,
                            TimePoint Now);
  static bool isFailing(const InstanceHealth &Health, double Failures);
  /// Ends the ejections for open attempts in services that are slow as a whole.
  void releaseSlowServices(const ServiceRegistry &Registry, TimePoint Now);
  /// Keeps the permitted number of ejections with the highest share of failures
  /// and reverts the others.
  void limitUnproven(std::vector<InstanceId> &Ejected, std::size_t Permitted,
                     TimePoint Now);
  /// Ends ejections older than MinEjectionDuration in services with too many
  /// failed attempts.
  void releaseInDegradedServices(const ServiceRegistry &Registry,
                                 TimePoint Now);
  /// Ends the oldest proven ejections of a service that has too many of them.
  void releaseOldest(ServicePool &Pool, const ServiceRegistry &Registry,
                     TimePoint Now);

  std::map<InstanceId, InstanceHealth> Instances_;
  std::map<ServiceName, ServiceTrend> Trends_;
};

} // namespace jaybridge
