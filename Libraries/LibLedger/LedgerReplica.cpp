#include <LibLedger/LedgerReplica.h>

#include <LibCore/DecisionRole.h>

#include <algorithm>

namespace jaybridge {

namespace {

/// Estimated memory of a record without its answer: map node, ids and their
/// text.
constexpr ByteCount RecordOverhead(256);
/// Bounds the memory that one key can use. Dropping the oldest entry is safe:
/// at worst a late copy of a released claim holds the key until it is overdue.
constexpr std::size_t MaxReleasedClaimsPerKey = 8;

ByteCount sizeOf(const Answer &Measured) {
  const auto *Complete = std::get_if<Response>(&Measured);
  if (!Complete)
    return ByteCount(std::get<Refusal>(Measured).Detail_.size());
  std::size_t Size = Complete->Body_ ? Complete->Body_->size() : 0;
  for (const Header &Field : Complete->Headers_)
    Size += Field.Name_.size() + Field.Value_.size();
  return ByteCount(Size);
}

Answer answerNotStored() {
  return Refusal{Outcome::Ran, RefusalReason::AnswerNotStored, std::nullopt,
                 "the request ran, but its answer was too large to be stored"};
}

} // namespace

Result<LedgerReplica> LedgerReplica::create(LedgerLimits Limits,
                                            WallTime Start) {
  if (Limits.FutureTolerance_.count() < 0 || Limits.ExpiryMargin_.count() < 0 ||
      Limits.Retention_ <= Limits.ExpiryMargin_)
    return Error{ErrorCode::Invalid,
                 "the retention must be greater than the expiry margin",
                 "retention"};
  return LedgerReplica(Limits, Start);
}

ClaimReply LedgerReplica::claim(const Claim &Request, WallTime Now) {
  advanceClock(Now);
  ClaimVerdict Verdict = decide(Request);
  if (std::holds_alternative<ClaimAccepted>(Verdict))
    Counters_.Accepted_ += EventCount(1);
  if (std::holds_alternative<ClaimHeld>(Verdict))
    Counters_.Held_ += EventCount(1);
  if (const auto *Abstained = std::get_if<ClaimAbstained>(&Verdict)) {
    Counters_.Abstained_ += EventCount(1);
    if (Abstained->Reason_ == AbstainReason::Full)
      Counters_.AbstainedAtLimit_ += EventCount(1);
  }
  return ClaimReply{Request.Id_, std::move(Verdict)};
}

ClaimVerdict LedgerReplica::decide(const Claim &Request) {
  auto Found = Records_.find(Request.Key_);
  if (Found != Records_.end()) {
    const Record &Stored = Found->second;
    if (Stored.Answer_)
      return ClaimFinished{Stored.Fingerprint_, *Stored.Answer_};
    if (std::find(Stored.Released_.begin(), Stored.Released_.end(),
                  Request.Id_) != Stored.Released_.end())
      return ClaimAbstained{AbstainReason::Released};
    if (Stored.Holder_ && *Stored.Holder_ == Request.Id_)
      return ClaimAccepted{};
    if (Stored.Holder_)
      return ClaimHeld{*Stored.Holder_, Stored.Fingerprint_,
                       Now_ >= Stored.OverdueAt_};
  }
  if (auto Reason = abstainReason(Request.Key_))
    return ClaimAbstained{*Reason};
  Record *Stored = findOrAdd(Request.Key_);
  if (!Stored)
    return ClaimAbstained{AbstainReason::Full};
  Stored->Holder_ = Request.Id_;
  Stored->Fingerprint_ = Request.Fingerprint_;
  Stored->OverdueAt_ =
      Now_ + std::chrono::ceil<std::chrono::milliseconds>(Request.TimeLeft_);
  return ClaimAccepted{};
}

CloseReply LedgerReplica::release(const Release &Request, WallTime Now) {
  advanceClock(Now);
  if (isPastRetention(Request.Key_))
    return CloseReply{Request.Id_};
  // A release that arrives before its claim adds a record too. Otherwise the
  // claim would be accepted later and block the key until it is overdue.
  Record *Stored = findOrAdd(Request.Key_);
  if (!Stored)
    return CloseReply{Request.Id_};
  if (Stored->Holder_ == Request.Id_ && !Stored->Answer_)
    Stored->Holder_.reset();
  std::vector<ClaimId> &Released = Stored->Released_;
  if (std::find(Released.begin(), Released.end(), Request.Id_) ==
      Released.end()) {
    if (Released.size() == MaxReleasedClaimsPerKey)
      Released.erase(Released.begin());
    Released.push_back(Request.Id_);
  }
  return CloseReply{Request.Id_};
}

std::optional<CloseReply> LedgerReplica::finish(const Finish &Request,
                                                WallTime Now) {
  advanceClock(Now);
  if (isPastRetention(Request.Key_))
    return CloseReply{Request.Id_};
  Record *Stored = findOrAdd(Request.Key_);
  if (!Stored)
    return std::nullopt;
  // Only a claim that a majority accepted is dispatched, so another claim that
  // holds the key here has lost and will be released.
  if (!Stored->Answer_) {
    Stored->Holder_ = Request.Id_;
    Stored->Fingerprint_ = Request.Fingerprint_;
    storeAnswer(*Stored, Request.Answer_);
  }
  return CloseReply{Request.Id_};
}

std::optional<LedgerReply> LedgerReplica::handle(const LedgerRequest &Request,
                                                 WallTime Now) {
  using Reply = std::optional<LedgerReply>;
  return std::visit(Overloaded{[&](const Claim &Message) -> Reply {
                                 return claim(Message, Now);
                               },
                               [&](const Release &Message) -> Reply {
                                 return release(Message, Now);
                               },
                               [&](const Finish &Message) -> Reply {
                                 auto Closed = finish(Message, Now);
                                 return Closed ? Reply(*Closed) : std::nullopt;
                               }},
                    Request);
}

void LedgerReplica::advanceClock(WallTime Now) {
  Now_ = std::max(Now_, Now);
  while (!Records_.empty() && isPastRetention(Records_.begin()->first)) {
    Bytes_ -= Records_.begin()->second.Bytes_;
    Records_.erase(Records_.begin());
  }
}

std::optional<AbstainReason>
LedgerReplica::abstainReason(const IdempotencyKey &Key) const {
  WallTime CreatedAt = Key.createdAt();
  if (CreatedAt + Limits_.Retention_ - Limits_.ExpiryMargin_ < Now_)
    return AbstainReason::Expired;
  if (CreatedAt > Now_ + Limits_.FutureTolerance_)
    return AbstainReason::FromFuture;
  if (CreatedAt <= RestartCutoff_)
    return AbstainReason::Restarted;
  return std::nullopt;
}

bool LedgerReplica::isPastRetention(const IdempotencyKey &Key) const {
  return Key.createdAt() + Limits_.Retention_ < Now_;
}

bool LedgerReplica::hasSpaceFor(ByteCount Size) const {
  return Bytes_ + Size <= Limits_.MaxBytes_;
}

LedgerReplica::Record *LedgerReplica::findOrAdd(const IdempotencyKey &Key) {
  auto Found = Records_.find(Key);
  if (Found != Records_.end())
    return &Found->second;
  if (recordCount() >= Limits_.MaxRecordCount_ || !hasSpaceFor(RecordOverhead))
    return nullptr;
  // Records are discarded by the time in their key, so a key far in the future
  // would use memory for too long.
  if (Key.createdAt() > Now_ + Limits_.FutureTolerance_)
    return nullptr;
  Record &Added = Records_[Key];
  Added.Bytes_ = RecordOverhead;
  Bytes_ += RecordOverhead;
  return &Added;
}

void LedgerReplica::storeAnswer(Record &Stored, const Answer &NewAnswer) {
  ByteCount Size = sizeOf(NewAnswer);
  if (Size > Limits_.MaxStoredAnswerSize_ || !hasSpaceFor(Size)) {
    Counters_.StoredWithoutBody_ += EventCount(1);
    Stored.Answer_ = answerNotStored();
    return;
  }
  Stored.Answer_ = NewAnswer;
  Stored.Bytes_ += Size;
  Bytes_ += Size;
}

} // namespace jaybridge
