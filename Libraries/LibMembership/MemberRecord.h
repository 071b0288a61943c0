#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifiers.h>

namespace jaybridge {

/// State of a member. The enumerators are in order of precedence: at equal
/// incarnations a later one overrides an earlier one.
enum class MemberState { Alive, Suspect, Dead, Left };

/// Membership record of one daemon, as gossiped in the fleet.
struct MemberRecord {
  MemberId Id_;
  Endpoint Address_;
  FailureDomain Domain_;
  bool IsControlMember_ = false;
  MemberState State_ = MemberState::Alive;
  /// SWIM incarnation. Set by the daemon itself: each start chooses a greater
  /// one than before, and refuting a suspicion or leaving increases it.
  Incarnation Incarnation_;

  friend bool operator==(const MemberRecord &, const MemberRecord &) = default;
};

/// True when `Candidate` replaces `Known`, a record of the same member.
inline bool isNewer(const MemberRecord &Candidate, const MemberRecord &Known) {
  if (Candidate.Incarnation_ != Known.Incarnation_)
    return Candidate.Incarnation_ > Known.Incarnation_;
  return Candidate.State_ > Known.State_;
}

/// A suspected member counts as live until its suspicion times out.
constexpr bool isLive(MemberState State) {
  return State == MemberState::Alive || State == MemberState::Suspect;
}

} // namespace jaybridge
