#pragma once

#include <LibCore/Identifiers.h>

#include <algorithm>
#include <optional>
#include <vector>

namespace jaybridge {

/// Identifies the content of a data folder. It is chosen at random when the
/// folder is created, so a member that lost its disk restarts with another
/// generation.
using FolderGeneration = Ordinal<struct FolderGenerationTag>;

/// A member together with the data folder that stores its term, vote and
/// entries. The same member with another folder is another voter.
struct Voter {
  MemberId Id_;
  FolderGeneration Generation_;

  friend bool operator==(const Voter &, const Voter &) = default;
  friend bool operator<(const Voter &Left, const Voter &Right) {
    return Left.Id_ != Right.Id_ ? Left.Id_ < Right.Id_
                                 : Left.Generation_ < Right.Generation_;
  }
};

/// A replacement in progress. The joining member first receives the log without
/// voting, then both members vote, then the leaving one is removed.
struct Replacement {
  Voter Joining_;
  std::optional<Voter> Leaving_;

  friend bool operator==(const Replacement &, const Replacement &) = default;
};

/// The voters of the log, sorted, and the replacement in progress. Each step of
/// a replacement adds or removes one voter, so that a majority before the step
/// and one after it always intersect.
struct VoterSet {
  static constexpr std::size_t MaxVoters = 29;

  std::vector<Voter> Voters_;
  std::optional<Replacement> Replacement_;

  bool isVoter(const Voter &Member) const;
  /// Whether the member is one of `receivers()`.
  bool isReceiver(const Voter &Member) const;
  /// The voter with this member id, whatever its folder.
  std::optional<Voter> findVoter(const MemberId &Id) const;
  /// Members to which the leader sends the log: the voters and the joining
  /// member.
  std::vector<Voter> receivers() const;

  VoterSet withReplacement(Replacement Planned) const;
  /// Adds the joining member to the voters.
  VoterSet withJoiningVoter() const;
  /// Removes the leaving member and ends the replacement.
  VoterSet withReplacementFinished() const;
  /// Drops a replacement whose joining member does not vote yet.
  VoterSet withReplacementAbandoned() const;

  /// Whether the predicate holds for more than half of the voters.
  template <typename Predicate> bool hasMajority(Predicate Holds) const {
    auto Count = std::count_if(Voters_.begin(), Voters_.end(), Holds);
    return 2 * static_cast<std::size_t>(Count) > Voters_.size();
  }

  friend bool operator==(const VoterSet &, const VoterSet &) = default;
};

} // namespace jaybridge
