#pragma once

#include <LibCore/Time.h>
#include <LibDirectory/DirectoryMessages.h>

#include <map>

namespace jaybridge {

/// What a registrar does about a lease that has run out.
enum class ExpiredLeaseAction { Ask, Lapse };

/// Leases of the instances that this daemon is a registrar of.
class LeaseTable {
public:
  /// Three announcements of the recommended 10 s may be lost.
  static constexpr Duration LeaseDuration = 35s;
  /// Left to every lease after a time in which renewals may not have arrived:
  /// one announcement more.
  static constexpr Duration MinExtension = 12s;
  /// Time for the other registrar to answer before it is asked again.
  static constexpr Duration ResponseTimeout = 1s;
  /// Questions without an answer before this registrar decides alone.
  static constexpr std::size_t MaxStatusRequests = 3;

  void begin(RecordKey Key, TimePoint Now) { Leases_[Key] = {Now + LeaseDuration, 0}; }
  /// False when this daemon holds no lease of the instance.
  bool renew(RecordKey Key, TimePoint Now);
  void end(RecordKey Key) { Leases_.erase(Key); }
  bool has(RecordKey Key) const { return Leases_.contains(Key); }
  bool isHeld(RecordKey Key, TimePoint Now) const;
  /// The other registrar holds the lease. This one asks again and does not
  /// count as a holder, or two registrars would confirm each other for ever.
  void deferToOtherRegistrar(RecordKey Key, TimePoint Now);
  /// Leaves every lease at least `Grace`.
  void extendAll(TimePoint Now);

  /// Leases whose time has come, with the step to take. A lease is only
  /// lapsed after `MaxStatusRequests` unless there is nobody to ask.
  std::vector<std::pair<RecordKey, ExpiredLeaseAction>> takeExpired(TimePoint Now);
  std::size_t size() const { return Leases_.size(); }

private:
  struct Lease {
    TimePoint DueAt_;
    std::size_t StatusRequests_ = 0;
  };
  std::map<RecordKey, Lease> Leases_;
};

} // namespace jaybridge
