#pragma once

#include <LibCore/Endpoint.h>
#include <LibCore/Identifiers.h>

namespace jaybridge {

/// At equal incarnations a greater state overrides a lesser one.
enum class MemberState { Alive, Suspect, Dead, Left };

/// What the fleet knows about one daemon.
struct MemberRecord {
  MemberId Id_;
  Endpoint Address_;
  FailureDomain Domain_;
  bool IsControlMember_ = false;
  MemberState State_ = MemberState::Alive;
  /// Chosen at the start of the daemon, greater than in its earlier runs, and
  /// raised by the daemon alone when it refutes a suspicion.
  Incarnation Version_;

  friend bool operator==(const MemberRecord &, const MemberRecord &) = default;
};

/// True when `Newer` replaces `Older` of the same member.
inline bool isNewer(const MemberRecord &Newer, const MemberRecord &Older) {
  if (Newer.Version_ != Older.Version_)
    return Newer.Version_ > Older.Version_;
  return Newer.State_ > Older.State_;
}

/// A suspected member still counts as live until the suspicion runs out.
constexpr bool isLive(MemberState State) {
  return State == MemberState::Alive || State == MemberState::Suspect;
}

} // namespace jaybridge
