#include <LibDetection/EvidenceReporter.h>

#include <algorithm>

namespace jaybridge {

namespace {

enum class Kind { Good, Failed, Crashed, Cancelled, Neutral };

Kind kindOf(const AttemptObserved &Seen) {
  constexpr StatusCode ServerError(500);
  switch (Seen.Result_) {
  case AttemptResult::Answered:
    return Seen.Status_ >= ServerError ? Kind::Failed : Kind::Good;
  case AttemptResult::ConnectFailed:
  case AttemptResult::TimedOut:
    return Kind::Failed;
  case AttemptResult::ConnectionLost:
  case AttemptResult::ResponseTruncated:
    return Kind::Crashed;
  case AttemptResult::Cancelled:
    return Kind::Cancelled;
  case AttemptResult::RefusedNotRun:
    // An instance that sheds load says nothing false.
  case AttemptResult::ResponseTooLarge:
    return Kind::Neutral;
  }
  return Kind::Neutral;
}

} // namespace

void EvidenceReporter::handle(const Event &Received, TimePoint Now,
                              std::vector<Effect> &Effects) {
  std::visit(Overloaded{[&](const AttemptObserved &Each) {
                          observe(Each, Now);
                          advance(Now, Effects);
                        },
                        [&](const EjectionListReceived &Each) {
                          apply(Each.Answer_, Now, Effects);
                        }},
             Received);
}

void EvidenceReporter::observe(const AttemptObserved &Seen, TimePoint Now) {
  auto Found = Services_.find(Seen.Service_);
  if (Found == Services_.end()) {
    if (Services_.size() >= GreatestServiceCount) {
      Dropped_ += EventCount(1);
      return;
    }
    Found = Services_.try_emplace(Seen.Service_).first;
    Found->second.LastSentAt_ = Now - Settings_.ReportInterval_;
    Found->second.ReportAt_ = Now + Settings_.UrgentInterval_;
  }
  Service &For = Found->second;
  For.IdleAt_ = Now + Settings_.IdleTime_;
  collect(For, Seen);
  Kind Shown = kindOf(Seen);
  if (Shown == Kind::Failed || Shown == Kind::Crashed)
    For.ReportAt_ =
        std::min(For.ReportAt_,
                 std::max(Now, For.LastSentAt_ + Settings_.UrgentInterval_));
  schedule(For.ReportAt_);
}

void EvidenceReporter::collect(Service &For, const AttemptObserved &Seen) {
  Kind Shown = kindOf(Seen);
  if (Shown == Kind::Neutral)
    return;
  if (!For.Instances_.contains(Seen.Instance_) &&
      For.Instances_.size() >= GreatestInstanceCount) {
    Dropped_ += EventCount(1);
    return;
  }
  if (Shown == Kind::Crashed) {
    // More crashes than the list holds count as failures.
    if (For.Crashes_.size() < GreatestCrashCount) {
      For.Crashes_.push_back({Seen.Instance_, Seen.Fingerprint_});
      return;
    }
    Shown = Kind::Failed;
  }
  Collected &Counts = For.Instances_[Seen.Instance_];
  LatencyBucket Bucket = latencyBucketOf(Seen.Elapsed_);
  if (Shown == Kind::Good) {
    Counts.Good_ += EventCount(1);
    Counts.Latencies_[{Bucket, false}] += EventCount(1);
    if (For.Suspected_.contains(Seen.Fingerprint_))
      For.Survived_.insert(Seen.Fingerprint_);
  } else if (Shown == Kind::Cancelled) {
    Counts.Latencies_[{Bucket, true}] += EventCount(1);
  } else {
    Counts.Failed_ += EventCount(1);
  }
}

void EvidenceReporter::apply(const EjectionList &Received, TimePoint Now,
                             std::vector<Effect> &Effects) {
  auto Found = Services_.find(Received.Service_);
  if (Found == Services_.end() || Received.Gateway_ != Settings_.Self_)
    return;
  Service &For = Found->second;
  auto Matching =
      std::find_if(For.Sent_.begin(), For.Sent_.end(), [&](const Sent &Each) {
        return Each.Number_ == Received.Number_;
      });
  std::pair Revision(Received.Fence_, Received.Revision_);
  // Late and repeated answers, and those of an authority that was replaced.
  if (Matching == For.Sent_.end() || Revision <= For.Applied_)
    return;
  TimePoint SentAt = Matching->At_;
  TimePoint ValidUntil = SentAt + EjectionTimeToLive;
  if (ValidUntil <= Now)
    return;
  For.Applied_ = Revision;
  For.Sent_.erase(For.Sent_.begin(), Matching);
  For.Ejected_ = Received.Ejected_;
  For.ValidUntil_ = ValidUntil;
  schedule(ValidUntil);
  For.Suspected_ = {Received.Suspected_.begin(), Received.Suspected_.end()};
  Effects.push_back(
      EjectionListChanged{Received.Service_, Received.Ejected_, ValidUntil});
  applyQuarantine(Received, SentAt + QuarantineTimeToLive, Effects);
}

void EvidenceReporter::applyQuarantine(const EjectionList &Received,
                                       TimePoint ValidUntil,
                                       std::vector<Effect> &Effects) {
  bool IsChanged = false;
  for (Fingerprint Each : Received.Quarantined_) {
    IsChanged |= !Quarantined_.contains(Each);
    Quarantined_[Each] = ValidUntil;
    schedule(ValidUntil);
  }
  if (IsChanged)
    announceQuarantine(Effects);
}

void EvidenceReporter::announceQuarantine(std::vector<Effect> &Effects) const {
  QuarantineListChanged Applied;
  for (const auto &[Each, ValidUntil] : Quarantined_)
    Applied.Fingerprints_.push_back(Each);
  Effects.push_back(std::move(Applied));
}

void EvidenceReporter::advance(TimePoint Now, std::vector<Effect> &Effects) {
  if (!Next_ || Now < *Next_)
    return;
  for (auto &[Name, For] : Services_) {
    if (For.ValidUntil_ && *For.ValidUntil_ <= Now) {
      Effects.push_back(EjectionListChanged{Name, {}, Now});
      For.Ejected_.clear();
      For.ValidUntil_.reset();
    }
    if (For.ReportAt_ <= Now)
      report(Name, For, Now, Effects);
  }
  std::erase_if(Services_, [&](const auto &Entry) {
    return Entry.second.IdleAt_ <= Now && !Entry.second.ValidUntil_;
  });
  if (std::erase_if(Quarantined_,
                    [&](const auto &Entry) { return Entry.second <= Now; }) > 0)
    announceQuarantine(Effects);
}

void EvidenceReporter::report(const ServiceName &Name, Service &For,
                              TimePoint Now, std::vector<Effect> &Effects) {
  if (For.IdleAt_ <= Now) {
    // The list runs out before the service is forgotten.
    For.ReportAt_ = Now + EjectionTimeToLive;
    return;
  }
  Last_ = Last_.next();
  EvidenceReport Report{Settings_.Self_, Name, Last_, {}, {}, {}};
  for (const auto &[Id, Counts] : For.Instances_) {
    InstanceEvidence Each{Id, Counts.Good_, Counts.Failed_, {}};
    for (const auto &[Key, Count] : Counts.Latencies_)
      Each.Latencies_.push_back({Key.first, Count, Key.second});
    Report.Instances_.push_back(std::move(Each));
  }
  Report.Crashes_ = std::move(For.Crashes_);
  Report.Survived_ = {For.Survived_.begin(), For.Survived_.end()};
  For.Crashes_.clear();
  For.Survived_.clear();
  For.Instances_.clear();
  while (!For.Sent_.empty() &&
         For.Sent_.front().At_ + EjectionTimeToLive <= Now)
    For.Sent_.pop_front();
  For.Sent_.push_back({Last_, Now});
  For.LastSentAt_ = Now;
  For.ReportAt_ = Now + Settings_.ReportInterval_;
  Effects.push_back(SendEvidenceReport{std::move(Report)});
}

void EvidenceReporter::scheduleAll() {
  Next_.reset();
  for (const auto &[Name, For] : Services_) {
    schedule(For.ReportAt_);
    if (For.ValidUntil_)
      schedule(*For.ValidUntil_);
  }
  for (const auto &[Each, ValidUntil] : Quarantined_)
    schedule(ValidUntil);
}

} // namespace jaybridge
