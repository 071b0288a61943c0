#include <LibControl/AuthorityFinder.h>

#include <algorithm>

namespace jaybridge {

std::optional<MemberId>
AuthorityFinder::reportTarget(const ServiceName &Service,
                              const std::vector<MemberId> &Candidates,
                              TimePoint Now) {
  if (Candidates.empty())
    return std::nullopt;
  auto [Entry, IsNew] = Authorities_.try_emplace(Service);
  AssumedAuthority &Assumed = Entry->second;
  if (IsNew)
    Assumed = AssumedAuthority{Candidates.front(), Now};
  if (Now - Assumed.UnansweredSince_ < AnswerTimeout)
    return Assumed.Member_;
  auto Current =
      std::find(Candidates.begin(), Candidates.end(), Assumed.Member_);
  bool IsLast = Current == Candidates.end() || Current + 1 == Candidates.end();
  Assumed = AssumedAuthority{IsLast ? Candidates.front() : *(Current + 1), Now};
  return Assumed.Member_;
}

void AuthorityFinder::recordAnswer(const ServiceName &Service,
                                   const MemberId &From, TimePoint Now) {
  Authorities_[Service] = AssumedAuthority{From, Now};
}

} // namespace jaybridge
