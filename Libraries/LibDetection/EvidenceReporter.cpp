#include <LibDetection/EvidenceReporter.h>

#include <algorithm>

namespace jaybridge {

namespace {

enum class ObservationKind { Good, Failed, Crashed, Cancelled, Neutral };

ObservationKind observationKindOf(const AttemptObserved &Attempt) {
  constexpr StatusCode MinServerError(500);
  switch (Attempt.Result_) {
  case AttemptResult::Answered:
    return Attempt.Status_ >= MinServerError ? ObservationKind::Failed
                                             : ObservationKind::Good;
  case AttemptResult::ConnectFailed:
  case AttemptResult::TimedOut:
    return ObservationKind::Failed;
  case AttemptResult::ConnectionLost:
  case AttemptResult::ResponseTruncated:
    return ObservationKind::Crashed;
  case AttemptResult::Cancelled:
    return ObservationKind::Cancelled;
  case AttemptResult::RefusedNotRun:
    // An instance that sheds load is overloaded, which is no sign of a fault.
  case AttemptResult::ResponseTooLarge:
    return ObservationKind::Neutral;
  }
  return ObservationKind::Neutral;
}

} // namespace

void EvidenceReporter::handle(const Event &Received, TimePoint Now,
                              std::vector<Effect> &Effects) {
  std::visit(Overloaded{[&](const AttemptObserved &Attempt) {
                          handleAttempt(Attempt, Now);
                          advance(Now, Effects);
                        },
                        [&](const EjectionListReceived &Notification) {
                          applyList(Notification.List_, Now, Effects);
                        }},
             Received);
}

void EvidenceReporter::handleAttempt(const AttemptObserved &Attempt,
                                     TimePoint Now) {
  auto Found = Services_.find(Attempt.Service_);
  if (Found == Services_.end()) {
    if (Services_.size() >= MaxServices) {
      Dropped_ += EventCount(1);
      return;
    }
    Found = Services_.try_emplace(Attempt.Service_).first;
    Found->second.LastSentAt_ = Now - Settings_.ReportInterval_;
    Found->second.ReportAt_ = Now + Settings_.FailureReportInterval_;
  }
  ServiceState &State = Found->second;
  State.IdleAt_ = Now + Settings_.IdleTimeout_;
  countAttempt(State, Attempt);
  ObservationKind Kind = observationKindOf(Attempt);
  if (Kind == ObservationKind::Failed || Kind == ObservationKind::Crashed)
    State.ReportAt_ = std::min(
        State.ReportAt_,
        std::max(Now, State.LastSentAt_ + Settings_.FailureReportInterval_));
  schedule(State.ReportAt_);
}

void EvidenceReporter::countAttempt(ServiceState &State,
                                    const AttemptObserved &Attempt) {
  ObservationKind Kind = observationKindOf(Attempt);
  if (Kind == ObservationKind::Neutral)
    return;
  if (!State.Instances_.contains(Attempt.Instance_) &&
      State.Instances_.size() >= MaxInstancesPerService) {
    Dropped_ += EventCount(1);
    return;
  }
  if (Kind == ObservationKind::Crashed) {
    // Crashes beyond the limit count as failures.
    if (State.Crashes_.size() < MaxCrashesPerReport) {
      State.Crashes_.push_back({Attempt.Instance_, Attempt.Fingerprint_});
      return;
    }
    Kind = ObservationKind::Failed;
  }
  InstanceCounts &Counts = State.Instances_[Attempt.Instance_];
  LatencyBucket Bucket = latencyBucketOf(Attempt.Elapsed_);
  if (Kind == ObservationKind::Good) {
    Counts.Good_ += EventCount(1);
    Counts.Latencies_[{Bucket, false}] += EventCount(1);
    if (State.Suspected_.contains(Attempt.Fingerprint_))
      State.Survived_.insert(Attempt.Fingerprint_);
  } else if (Kind == ObservationKind::Cancelled) {
    Counts.Latencies_[{Bucket, true}] += EventCount(1);
  } else {
    Counts.Failed_ += EventCount(1);
  }
}

void EvidenceReporter::applyList(const EjectionList &Received, TimePoint Now,
                                 std::vector<Effect> &Effects) {
  auto Found = Services_.find(Received.Service_);
  if (Found == Services_.end() || Received.Gateway_ != Settings_.Self_)
    return;
  ServiceState &State = Found->second;
  auto Matching =
      std::find_if(State.SentReports_.begin(), State.SentReports_.end(),
                   [&](const SentReport &Report) {
                     return Report.Number_ == Received.Number_;
                   });
  std::pair Revision(Received.Fence_, Received.Revision_);
  // Ignores late and repeated lists, and lists of an earlier authority.
  if (Matching == State.SentReports_.end() ||
      Revision <= State.AppliedRevision_)
    return;
  TimePoint SentAt = Matching->SentAt_;
  TimePoint ValidUntil = SentAt + EjectionListTimeToLive;
  if (ValidUntil <= Now)
    return;
  State.AppliedRevision_ = Revision;
  State.SentReports_.erase(State.SentReports_.begin(), Matching);
  State.Ejected_ = Received.Ejected_;
  State.ValidUntil_ = ValidUntil;
  schedule(ValidUntil);
  State.Suspected_ = {Received.Suspected_.begin(), Received.Suspected_.end()};
  Effects.push_back(
      EjectionListChanged{Received.Service_, Received.Ejected_, ValidUntil});
  applyQuarantine(Received, SentAt + QuarantineTimeToLive, Effects);
}

void EvidenceReporter::applyQuarantine(const EjectionList &Received,
                                       TimePoint ValidUntil,
                                       std::vector<Effect> &Effects) {
  bool IsChanged = false;
  for (Fingerprint Listed : Received.Quarantined_) {
    IsChanged |= !Quarantined_.contains(Listed);
    Quarantined_[Listed] = ValidUntil;
    schedule(ValidUntil);
  }
  if (IsChanged)
    emitQuarantineList(Effects);
}

void EvidenceReporter::emitQuarantineList(std::vector<Effect> &Effects) const {
  QuarantineListChanged Changed;
  for (const auto &[Listed, ValidUntil] : Quarantined_)
    Changed.Fingerprints_.push_back(Listed);
  Effects.push_back(std::move(Changed));
}

void EvidenceReporter::advance(TimePoint Now, std::vector<Effect> &Effects) {
  if (!NextDeadline_ || Now < *NextDeadline_)
    return;
  for (auto &[Name, State] : Services_) {
    if (State.ValidUntil_ && *State.ValidUntil_ <= Now) {
      Effects.push_back(EjectionListChanged{Name, {}, Now});
      State.Ejected_.clear();
      State.ValidUntil_.reset();
    }
    if (State.ReportAt_ <= Now)
      sendReport(Name, State, Now, Effects);
  }
  std::erase_if(Services_, [&](const auto &Entry) {
    return Entry.second.IdleAt_ <= Now && !Entry.second.ValidUntil_;
  });
  if (std::erase_if(Quarantined_,
                    [&](const auto &Entry) { return Entry.second <= Now; }) > 0)
    emitQuarantineList(Effects);
}

void EvidenceReporter::sendReport(const ServiceName &Name, ServiceState &State,
                                  TimePoint Now, std::vector<Effect> &Effects) {
  if (State.IdleAt_ <= Now) {
    // Keeps the service until its list has expired.
    State.ReportAt_ = Now + EjectionListTimeToLive;
    return;
  }
  LastNumber_ = LastNumber_.next();
  EvidenceReport Report{Settings_.Self_, Name, LastNumber_, {}, {}, {}};
  for (const auto &[Id, Counts] : State.Instances_) {
    InstanceEvidence Observed{Id, Counts.Good_, Counts.Failed_, {}};
    for (const auto &[Key, Count] : Counts.Latencies_)
      Observed.Latencies_.push_back({Key.first, Count, Key.second});
    Report.Instances_.push_back(std::move(Observed));
  }
  Report.Crashes_ = std::move(State.Crashes_);
  Report.Survived_ = {State.Survived_.begin(), State.Survived_.end()};
  State.Crashes_.clear();
  State.Survived_.clear();
  State.Instances_.clear();
  while (!State.SentReports_.empty() &&
         State.SentReports_.front().SentAt_ + EjectionListTimeToLive <= Now)
    State.SentReports_.pop_front();
  State.SentReports_.push_back({LastNumber_, Now});
  State.LastSentAt_ = Now;
  State.ReportAt_ = Now + Settings_.ReportInterval_;
  Effects.push_back(SendEvidenceReport{std::move(Report)});
}

void EvidenceReporter::recomputeNextDeadline() {
  NextDeadline_.reset();
  for (const auto &[Name, State] : Services_) {
    schedule(State.ReportAt_);
    if (State.ValidUntil_)
      schedule(*State.ValidUntil_);
  }
  for (const auto &[Listed, ValidUntil] : Quarantined_)
    schedule(ValidUntil);
}

} // namespace jaybridge
