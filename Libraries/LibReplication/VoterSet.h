#pragma once

#include <LibCore/Identifiers.h>

#include <algorithm>
#include <optional>
#include <vector>

namespace jaybridge {

/// Identifies the content of a data folder; chosen at random when the folder is
/// made, so a member that lost its disk comes back with another one.
using FolderGeneration = Ordinal<struct FolderGenerationTag>;

/// A member together with the folder that holds its promises. The same member
/// with another folder is another voter.
struct Voter {
  MemberId Id_;
  FolderGeneration Generation_;

  friend bool operator==(const Voter &, const Voter &) = default;
  friend bool operator<(const Voter &Left, const Voter &Right) {
    return Left.Id_ != Right.Id_ ? Left.Id_ < Right.Id_
                                 : Left.Generation_ < Right.Generation_;
  }
};

/// A replacement under way. The joining member first receives the log without
/// voting, then votes beside the leaving one, then the leaving one goes.
struct Replacement {
  Voter Joining_;
  std::optional<Voter> Leaving_;

  friend bool operator==(const Replacement &, const Replacement &) = default;
};

/// Who votes on the log, sorted. Each step of a replacement adds or removes one
/// voter, so that majorities before and after it intersect.
struct VoterSet {
  static constexpr std::size_t MaxVoters = 29;

  std::vector<Voter> Voters_;
  std::optional<Replacement> Replacement_;

  bool isVoter(const Voter &Member) const;
  /// Whether the member votes or receives the log in order to vote.
  bool names(const Voter &Member) const;
  std::optional<Voter> findVoter(const MemberId &Id) const;
  /// Voters and the joining member.
  std::vector<Voter> receivers() const;

  VoterSet withReplacement(Replacement Planned) const;
  VoterSet withJoiningVoter() const;
  VoterSet withReplacementFinished() const;
  VoterSet withReplacementAbandoned() const;

  /// Whether Holds is true for more than half of the voters.
  template <typename Predicate> bool hasMajority(Predicate Holds) const {
    auto Count = std::count_if(Voters_.begin(), Voters_.end(), Holds);
    return 2 * static_cast<std::size_t>(Count) > Voters_.size();
  }

  friend bool operator==(const VoterSet &, const VoterSet &) = default;
};

} // namespace jaybridge
