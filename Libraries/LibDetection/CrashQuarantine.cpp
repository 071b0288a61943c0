#include <LibDetection/CrashQuarantine.h>

#include <algorithm>

namespace jaybridge {

namespace {

/// Blame of one whole crash. A request that is always lost together with
/// another one needs two such crashes to bear as much.
constexpr double BlameToQuarantine = 1;
constexpr std::size_t GreatestCrashesPerSuspect = 16;

} // namespace

std::vector<ForgivenCrash> CrashQuarantine::add(const Crash &Seen,
                                                TimePoint Now) {
  ForgivenCrash Own{Seen.Instance_, Seen.Gateway_};
  if (auto Known = Quarantined_.find(Seen.Fingerprint_);
      Known != Quarantined_.end()) {
    Known->second = Now + QuarantineTime;
    return {Own};
  }
  if (!Suspects_.contains(Seen.Fingerprint_))
    makeSpace(Suspects_, GreatestSuspectCount,
              [](const Suspect &Each) { return Each.ForgetAt_; });
  Suspect &Suspected = Suspects_[Seen.Fingerprint_];
  Suspected.ForgetAt_ = Now + SuspicionTime;
  Suspected.Blame_ +=
      1.0 /
      static_cast<double>(std::max<std::uint64_t>(1, Seen.Together_.value()));
  for (const ForgivenCrash &Each : Suspected.Crashes_)
    Suspected.HasTwoInstances_ |= Each.Instance_ != Seen.Instance_;
  if (Suspected.Crashes_.size() < GreatestCrashesPerSuspect)
    Suspected.Crashes_.push_back(std::move(Own));
  if (!Suspected.HasTwoInstances_ || Suspected.Blame_ < BlameToQuarantine)
    return {};
  std::vector<ForgivenCrash> Forgiven = std::move(Suspected.Crashes_);
  Suspects_.erase(Seen.Fingerprint_);
  makeSpace(Quarantined_, GreatestQuarantinedCount,
            [](TimePoint ForgetAt) { return ForgetAt; });
  Quarantined_[Seen.Fingerprint_] = Now + QuarantineTime;
  return Forgiven;
}

void CrashQuarantine::clear(Fingerprint Survived) {
  Suspects_.erase(Survived);
  Quarantined_.erase(Survived);
}

void CrashQuarantine::expire(TimePoint Now) {
  std::erase_if(Suspects_, [&](const auto &Entry) {
    return Entry.second.ForgetAt_ <= Now;
  });
  std::erase_if(Quarantined_,
                [&](const auto &Entry) { return Entry.second <= Now; });
}

template <typename Map, typename TimeOf>
void CrashQuarantine::makeSpace(Map &Entries, std::size_t Greatest,
                                TimeOf ForgetAt) {
  if (Entries.size() < Greatest)
    return;
  Entries.erase(std::min_element(
      Entries.begin(), Entries.end(), [&](const auto &Left, const auto &Right) {
        return ForgetAt(Left.second) < ForgetAt(Right.second);
      }));
  Evicted_ += EventCount(1);
}

std::vector<Fingerprint> CrashQuarantine::quarantined() const {
  std::vector<Fingerprint> Listed;
  for (const auto &[Each, ForgetAt] : Quarantined_)
    Listed.push_back(Each);
  return Listed;
}

std::vector<Fingerprint> CrashQuarantine::suspected() const {
  std::vector<Fingerprint> Listed;
  for (const auto &[Each, Suspected] : Suspects_)
    Listed.push_back(Each);
  return Listed;
}

} // namespace jaybridge
