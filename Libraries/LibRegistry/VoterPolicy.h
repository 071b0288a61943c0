#pragma once

#include <LibReplication/ReplicatedLog.h>

namespace jaybridge {

/// Decides which control members vote, as no list of them exists: members that
/// ask to join take the place of voters that are gone, or are added.
class VoterPolicy {
public:
  /// A voter that was not heard of for so long may be replaced by a joining
  /// member. Longer than an election and a restart.
  static constexpr Duration GoneAfter = 2500ms;
  /// How long a joining member waits for the voter whose place it takes. A
  /// planned successor starts before its predecessor stops.
  static constexpr Duration JoinPatience = 3s;
  /// A joining member that was not heard of for so long is passed over.
  static constexpr Duration JoinerLifetime = 2s;

  /// The log may refuse a change while an earlier one is not finished.
  static constexpr Duration RetryInterval = 200ms;

  /// The change that the leader shall propose now, if any.
  std::optional<ReplaceMember> decide(const ReplicatedLog &Log, TimePoint Now);

private:
  // Apart from the ids of a registry's commands.
  ProposalId Last_{std::uint64_t(1) << 62};
  TimePoint NextAt_{};
};

} // namespace jaybridge
