#include <LibLedger/LedgerReplica.h>

#include <LibCore/DecisionRole.h>

#include <algorithm>

namespace jaybridge {

namespace {

/// Memory of a record without its answer: map node, ids and their text.
constexpr ByteCount RecordOverhead(256);
/// More would let one key fill the memory. Forgetting the oldest can only let
/// a late copy of a released claim hold the key until its time is over.
constexpr std::size_t GreatestReleasedCount = 8;

ByteCount sizeOf(const Answer &Ended) {
  const auto *Whole = std::get_if<Response>(&Ended);
  if (!Whole)
    return ByteCount(std::get<Refusal>(Ended).Detail_.size());
  std::size_t Size = Whole->Body_ ? Whole->Body_->size() : 0;
  for (const Header &Each : Whole->Headers_)
    Size += Each.Name_.size() + Each.Value_.size();
  return ByteCount(Size);
}

Answer withoutBody() {
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

ClaimReply LedgerReplica::claim(const Claim &Asked, WallTime Now) {
  advanceTo(Now);
  ClaimVerdict Verdict = decide(Asked);
  if (std::holds_alternative<ClaimAccepted>(Verdict))
    Counters_.Accepted_ += EventCount(1);
  if (std::holds_alternative<ClaimHeld>(Verdict))
    Counters_.Held_ += EventCount(1);
  if (const auto *Abstained = std::get_if<ClaimAbstained>(&Verdict)) {
    Counters_.Abstained_ += EventCount(1);
    if (Abstained->Reason_ == AbstainReason::Full)
      Counters_.AbstainedFull_ += EventCount(1);
  }
  return ClaimReply{Asked.Id_, std::move(Verdict)};
}

ClaimVerdict LedgerReplica::decide(const Claim &Asked) {
  auto Found = Records_.find(Asked.Key_);
  if (Found != Records_.end()) {
    const Record &Stored = Found->second;
    if (Stored.Answer_)
      return ClaimFinished{Stored.Fingerprint_, *Stored.Answer_};
    if (std::find(Stored.Released_.begin(), Stored.Released_.end(),
                  Asked.Id_) != Stored.Released_.end())
      return ClaimAbstained{AbstainReason::Released};
    if (Stored.Holder_ && *Stored.Holder_ == Asked.Id_)
      return ClaimAccepted{};
    if (Stored.Holder_)
      return ClaimHeld{*Stored.Holder_, Stored.Fingerprint_,
                       Now_ >= Stored.OverdueAt_};
  }
  if (auto Reason = reasonToAbstain(Asked.Key_))
    return ClaimAbstained{*Reason};
  Record *Stored = findOrAdd(Asked.Key_);
  if (!Stored)
    return ClaimAbstained{AbstainReason::Full};
  Stored->Holder_ = Asked.Id_;
  Stored->Fingerprint_ = Asked.Fingerprint_;
  Stored->OverdueAt_ =
      Now_ + std::chrono::ceil<std::chrono::milliseconds>(Asked.TimeLeft_);
  return ClaimAccepted{};
}

CloseReply LedgerReplica::release(const Release &Asked, WallTime Now) {
  advanceTo(Now);
  if (isForgotten(Asked.Key_))
    return CloseReply{Asked.Id_};
  // A release that overtook its claim leaves a record too, or the claim would
  // be accepted afterwards and hold the key for nobody until its time is over.
  Record *Stored = findOrAdd(Asked.Key_);
  if (!Stored)
    return CloseReply{Asked.Id_};
  if (Stored->Holder_ == Asked.Id_ && !Stored->Answer_)
    Stored->Holder_.reset();
  std::vector<ClaimId> &Released = Stored->Released_;
  if (std::find(Released.begin(), Released.end(), Asked.Id_) ==
      Released.end()) {
    if (Released.size() == GreatestReleasedCount)
      Released.erase(Released.begin());
    Released.push_back(Asked.Id_);
  }
  return CloseReply{Asked.Id_};
}

std::optional<CloseReply> LedgerReplica::finish(const Finish &Asked,
                                                WallTime Now) {
  advanceTo(Now);
  if (isForgotten(Asked.Key_))
    return CloseReply{Asked.Id_};
  Record *Stored = findOrAdd(Asked.Key_);
  if (!Stored)
    return std::nullopt;
  // Only a claim that a majority accepted is dispatched, so another holder at
  // this replica has lost and will be released.
  if (!Stored->Answer_) {
    Stored->Holder_ = Asked.Id_;
    Stored->Fingerprint_ = Asked.Fingerprint_;
    setAnswer(*Stored, Asked.Answer_);
  }
  return CloseReply{Asked.Id_};
}

std::optional<LedgerReply> LedgerReplica::handle(const LedgerRequest &Asked,
                                                 WallTime Now) {
  using Reply = std::optional<LedgerReply>;
  return std::visit(
      Overloaded{
          [&](const Claim &Each) -> Reply { return claim(Each, Now); },
          [&](const Release &Each) -> Reply { return release(Each, Now); },
          [&](const Finish &Each) -> Reply {
            auto Closed = finish(Each, Now);
            return Closed ? Reply(*Closed) : std::nullopt;
          }},
      Asked);
}

void LedgerReplica::advanceTo(WallTime Now) {
  Now_ = std::max(Now_, Now);
  while (!Records_.empty() && isForgotten(Records_.begin()->first)) {
    Bytes_ -= Records_.begin()->second.Bytes_;
    Records_.erase(Records_.begin());
  }
}

std::optional<AbstainReason>
LedgerReplica::reasonToAbstain(const IdempotencyKey &Key) const {
  WallTime CreatedAt = Key.createdAt();
  if (CreatedAt + Limits_.Retention_ - Limits_.ExpiryMargin_ < Now_)
    return AbstainReason::Expired;
  if (CreatedAt > Now_ + Limits_.FutureTolerance_)
    return AbstainReason::FromFuture;
  if (CreatedAt <= Horizon_)
    return AbstainReason::Restarted;
  return std::nullopt;
}

bool LedgerReplica::isForgotten(const IdempotencyKey &Key) const {
  return Key.createdAt() + Limits_.Retention_ < Now_;
}

bool LedgerReplica::hasSpaceFor(ByteCount Size) const {
  return Bytes_ + Size <= Limits_.GreatestBytes_;
}

LedgerReplica::Record *LedgerReplica::findOrAdd(const IdempotencyKey &Key) {
  auto Found = Records_.find(Key);
  if (Found != Records_.end())
    return &Found->second;
  if (recordCount() >= Limits_.GreatestRecordCount_ ||
      !hasSpaceFor(RecordOverhead))
    return nullptr;
  // A message of a gateway whose key is far ahead must not stay for long.
  if (Key.createdAt() > Now_ + Limits_.FutureTolerance_)
    return nullptr;
  Record &Added = Records_[Key];
  Added.Bytes_ = RecordOverhead;
  Bytes_ += RecordOverhead;
  return &Added;
}

void LedgerReplica::setAnswer(Record &Stored, const Answer &Ended) {
  ByteCount Size = sizeOf(Ended);
  if (Size > Limits_.GreatestStoredAnswer_ || !hasSpaceFor(Size)) {
    Counters_.StoredWithoutBody_ += EventCount(1);
    Stored.Answer_ = withoutBody();
    return;
  }
  Stored.Answer_ = Ended;
  Stored.Bytes_ += Size;
  Bytes_ += Size;
}

} // namespace jaybridge
