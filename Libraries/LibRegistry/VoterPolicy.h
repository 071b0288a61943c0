#pragma once

#include <LibReplication/ReplicatedLog.h>

namespace jaybridge {

/// Decides which control members vote. There is no configured list of members:
/// members that request to join replace voters that stopped responding, or are
/// added.
class VoterPolicy {
public:
  /// A voter that was silent for this time may be replaced by a joining member.
  /// Longer than an election and a restart.
  static constexpr Duration VoterTimeout = 2500ms;
  /// Time that a joining member waits for a voter to replace before it is
  /// added. In a planned replacement the successor starts before its
  /// predecessor stops.
  static constexpr Duration ReplacementTimeout = 3s;
  /// A joining member that was silent for this time is skipped.
  static constexpr Duration JoinerTimeout = 2s;

  /// Minimum time between two proposals. The log may refuse a change while an
  /// earlier one is in progress.
  static constexpr Duration RetryInterval = 200ms;

  /// Returns the membership change that the leader proposes next, if any.
  std::optional<ReplaceMemberRequest> decide(const ReplicatedLog &Log,
                                             TimePoint Now);

private:
  /// Starts at 2^62 so as not to collide with the ids of registry commands.
  ProposalId LastProposal_{std::uint64_t(1) << 62};
  TimePoint NextProposalAt_{};
};

} // namespace jaybridge
