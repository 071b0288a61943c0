#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <map>
#include <optional>
#include <vector>

namespace jaybridge {

/// Tracks the member that a gateway assumes to be the authority of each
/// service, and so sends evidence reports to. Starts with the first candidate,
/// which usually is the authority, and moves on to the next one when a
/// candidate does not answer in time. A wrong assumption only delays evidence.
class AuthorityFinder {
public:
  /// Three times the interval between reports of EvidenceReporter.
  static constexpr Duration AnswerTimeout = 1500ms;

  /// The member to send the next report to; none without candidates.
  std::optional<MemberId> reportTarget(const ServiceName &Service,
                                       const std::vector<MemberId> &Candidates,
                                       TimePoint Now);
  /// Records that a member answered a report as the authority.
  void recordAnswer(const ServiceName &Service, const MemberId &From,
                    TimePoint Now);

private:
  struct AssumedAuthority {
    MemberId Member_;
    /// Time of its last answer, or of the switch to this member.
    TimePoint UnansweredSince_;
  };

  std::map<ServiceName, AssumedAuthority> Authorities_;
};

} // namespace jaybridge
