#pragma once

#include <LibCore/Time.h>
#include <LibDirectory/DirectoryMessages.h>

#include <map>

namespace jaybridge {

/// Action of a registrar for an expired lease: request the status from the
/// other registrar, or mark the instance as lapsed.
enum class ExpiredLeaseAction { RequestStatus, MarkLapsed };

/// Leases of the instances that this daemon is a registrar of. Announcements
/// renew a lease; an instance whose lease expires is marked as lapsed.
class LeaseTable {
public:
  /// Tolerates three lost announcements at the recommended interval of 10 s.
  static constexpr Duration LeaseDuration = 35s;
  /// Minimum remaining time of every lease after a period in which renewals may
  /// have been missed: one more announcement at the recommended interval.
  static constexpr Duration MinRemainingDuration = 12s;
  /// Time for the other registrar to respond before the request is repeated.
  static constexpr Duration ResponseTimeout = 1s;
  /// Unanswered requests before this registrar decides alone.
  static constexpr std::size_t MaxStatusRequests = 3;

  void grant(RecordKey Key, TimePoint Now) {
    Leases_[Key] = {Now + LeaseDuration, 0};
  }
  /// False when there is no lease of the instance.
  bool renew(RecordKey Key, TimePoint Now);
  void remove(RecordKey Key) { Leases_.erase(Key); }
  bool contains(RecordKey Key) const { return Leases_.contains(Key); }
  /// Whether this daemon holds an unexpired lease and does not defer to the
  /// other registrar.
  bool isHeld(RecordKey Key, TimePoint Now) const;
  /// The other registrar holds the lease. This one will request the status
  /// again and does not count as a holder, otherwise the two registrars would
  /// confirm each other indefinitely.
  void deferToOtherRegistrar(RecordKey Key, TimePoint Now);
  /// Extends every lease to at least `MinRemainingDuration` from now.
  void extendAll(TimePoint Now);

  /// Expired leases with the action to take: `MarkLapsed` after
  /// `MaxStatusRequests` requests. The caller marks the instance at once when
  /// there is no other registrar.
  std::vector<std::pair<RecordKey, ExpiredLeaseAction>>
  takeExpired(TimePoint Now);
  std::size_t size() const { return Leases_.size(); }

private:
  struct Lease {
    TimePoint ExpiresAt_;
    std::size_t StatusRequestCount_ = 0;
  };
  std::map<RecordKey, Lease> Leases_;
};

} // namespace jaybridge
