#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <map>
#include <optional>
#include <vector>

namespace jaybridge {

/// Which member a gateway believes to be the authority for each service. The
/// first candidate usually is; one that does not answer is followed by the
/// next. A wrong belief only delays evidence.
class AuthorityFinder {
public:
  /// Three reports without an answer.
  static constexpr Duration SilenceLimit = 1500ms;

  /// Where to send a report now; none without candidates.
  std::optional<MemberId> target(const ServiceName &Service,
                                 const std::vector<MemberId> &Candidates,
                                 TimePoint Now);
  void hear(const ServiceName &Service, const MemberId &From, TimePoint Now);

private:
  struct Belief {
    MemberId Member_;
    TimePoint SilentSince_;
  };

  std::map<ServiceName, Belief> Beliefs_;
};

} // namespace jaybridge
