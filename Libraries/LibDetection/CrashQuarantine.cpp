#include <LibDetection/CrashQuarantine.h>

#include <algorithm>

namespace jaybridge {

namespace {

/// Weight of one crash without concurrent losses. A request that is always lost
/// together with another one needs two crashes to reach it.
constexpr double QuarantineWeight = 1;
constexpr std::size_t MaxCrashesPerSuspect = 16;

} // namespace

std::vector<CrashOccurrence> CrashQuarantine::add(const Crash &NewCrash,
                                                  TimePoint Now) {
  CrashOccurrence Occurrence{NewCrash.Instance_, NewCrash.Gateway_};
  if (auto Found = Quarantined_.find(NewCrash.Fingerprint_);
      Found != Quarantined_.end()) {
    Found->second = Now + QuarantineDuration;
    return {Occurrence};
  }
  if (!Suspects_.contains(NewCrash.Fingerprint_))
    evictIfFull(Suspects_, MaxSuspects,
                [](const Suspect &Entry) { return Entry.ExpiresAt_; });
  Suspect &Suspected = Suspects_[NewCrash.Fingerprint_];
  Suspected.ExpiresAt_ = Now + SuspectRetention;
  Suspected.Weight_ += 1.0 / static_cast<double>(std::max<std::uint64_t>(
                                 1, NewCrash.ConcurrentLosses_.value()));
  for (const CrashOccurrence &Earlier : Suspected.Crashes_)
    Suspected.HasTwoInstances_ |= Earlier.Instance_ != NewCrash.Instance_;
  if (Suspected.Crashes_.size() < MaxCrashesPerSuspect)
    Suspected.Crashes_.push_back(std::move(Occurrence));
  if (!Suspected.HasTwoInstances_ || Suspected.Weight_ < QuarantineWeight)
    return {};
  std::vector<CrashOccurrence> Attributed = std::move(Suspected.Crashes_);
  Suspects_.erase(NewCrash.Fingerprint_);
  evictIfFull(Quarantined_, MaxQuarantined,
              [](TimePoint ExpiresAt) { return ExpiresAt; });
  Quarantined_[NewCrash.Fingerprint_] = Now + QuarantineDuration;
  return Attributed;
}

void CrashQuarantine::clear(Fingerprint Answered) {
  Suspects_.erase(Answered);
  Quarantined_.erase(Answered);
}

void CrashQuarantine::expire(TimePoint Now) {
  std::erase_if(Suspects_, [&](const auto &Entry) {
    return Entry.second.ExpiresAt_ <= Now;
  });
  std::erase_if(Quarantined_,
                [&](const auto &Entry) { return Entry.second <= Now; });
}

template <typename Map, typename ExpiryOf>
void CrashQuarantine::evictIfFull(Map &Entries, std::size_t MaxSize,
                                  ExpiryOf ExpiresAt) {
  if (Entries.size() < MaxSize)
    return;
  Entries.erase(std::min_element(
      Entries.begin(), Entries.end(), [&](const auto &Left, const auto &Right) {
        return ExpiresAt(Left.second) < ExpiresAt(Right.second);
      }));
  Evicted_ += EventCount(1);
}

std::vector<Fingerprint> CrashQuarantine::quarantined() const {
  std::vector<Fingerprint> Fingerprints;
  for (const auto &[Key, ExpiresAt] : Quarantined_)
    Fingerprints.push_back(Key);
  return Fingerprints;
}

std::vector<Fingerprint> CrashQuarantine::suspected() const {
  std::vector<Fingerprint> Fingerprints;
  for (const auto &[Key, Entry] : Suspects_)
    Fingerprints.push_back(Key);
  return Fingerprints;
}

} // namespace jaybridge
