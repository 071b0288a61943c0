#include <LibControl/AuthorityFinder.h>

#include <algorithm>

namespace jaybridge {

std::optional<MemberId>
AuthorityFinder::target(const ServiceName &Service,
                        const std::vector<MemberId> &Candidates,
                        TimePoint Now) {
  if (Candidates.empty())
    return std::nullopt;
  auto [Entry, IsNew] = Beliefs_.try_emplace(Service);
  Belief &Own = Entry->second;
  if (IsNew)
    Own = Belief{Candidates.front(), Now};
  if (Now - Own.SilentSince_ < SilenceLimit)
    return Own.Member_;
  auto Current = std::find(Candidates.begin(), Candidates.end(), Own.Member_);
  bool IsLast = Current == Candidates.end() || Current + 1 == Candidates.end();
  Own = Belief{IsLast ? Candidates.front() : *(Current + 1), Now};
  return Own.Member_;
}

void AuthorityFinder::hear(const ServiceName &Service, const MemberId &From,
                           TimePoint Now) {
  Beliefs_[Service] = Belief{From, Now};
}

} // namespace jaybridge
