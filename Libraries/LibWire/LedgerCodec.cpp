#include <LibWire/LedgerCodec.h>

#include <LibCore/DecisionRole.h>
#include <LibWire/Generated/Ledger.capnp.h>
#include <LibWire/PackedMessage.h>

#include <algorithm>

namespace jaybridge {

namespace {

using wire::dataOf;
using wire::stringOf;

Error damaged(const char *What) {
  return Error{
      ErrorCode::Damaged, std::string("ledger message with ") + What, {}};
}

void write(wire::WireClaimId::Builder Written, const ClaimId &Id) {
  Written.setClaimant(Id.Claimant_.text());
  Written.setRun(Id.Run_.value());
  Written.setNumber(Id.Number_.value());
}

ClaimId read(wire::WireClaimId::Reader Written) {
  return {MemberId(stringOf(Written.getClaimant())),
          Incarnation(Written.getRun()), ClaimNumber(Written.getNumber())};
}

void write(wire::WireAnswer::Builder Written, const Answer &Given) {
  if (const auto *Whole = std::get_if<Response>(&Given)) {
    auto Part = Written.initResponse();
    Part.setStatus(Whole->Status_.value());
    auto Headers =
        Part.initHeaders(static_cast<unsigned>(Whole->Headers_.size()));
    for (unsigned I = 0; I < Headers.size(); ++I) {
      Headers[I].setName(Whole->Headers_[I].Name_);
      Headers[I].setValue(Whole->Headers_[I].Value_);
    }
    if (Whole->Body_)
      Part.setBody(dataOf(*Whole->Body_));
    return;
  }
  const auto &Refused = std::get<Refusal>(Given);
  auto Part = Written.initRefusal();
  Part.setOutcome(static_cast<std::uint8_t>(Refused.Outcome_));
  Part.setReason(static_cast<std::uint8_t>(Refused.Reason_));
  Part.setHasRetryAfter(Refused.RetryAfter_.has_value());
  if (Refused.RetryAfter_)
    Part.setRetryAfterMicroseconds(Refused.RetryAfter_->count());
  Part.setDetail(Refused.Detail_);
}

Result<Answer> read(wire::WireAnswer::Reader Written) {
  if (Written.isResponse()) {
    auto Part = Written.getResponse();
    Response Whole;
    Whole.Status_ = StatusCode(Part.getStatus());
    for (auto Each : Part.getHeaders())
      Whole.Headers_.push_back(
          {stringOf(Each.getName()), stringOf(Each.getValue())});
    auto Bytes = Part.getBody();
    Whole.Body_ =
        std::make_shared<const std::string>(Bytes.begin(), Bytes.end());
    return Answer(std::move(Whole));
  }
  if (!Written.isRefusal())
    return damaged("an unknown kind of answer");
  auto Part = Written.getRefusal();
  if (Part.getOutcome() > static_cast<int>(Outcome::Unknown) ||
      Part.getReason() > static_cast<int>(RefusalReason::HomeLost))
    return damaged("an unknown outcome or reason");
  Refusal Refused;
  Refused.Outcome_ = static_cast<Outcome>(Part.getOutcome());
  Refused.Reason_ = static_cast<RefusalReason>(Part.getReason());
  if (Part.getHasRetryAfter())
    Refused.RetryAfter_ = Duration(Part.getRetryAfterMicroseconds());
  Refused.Detail_ = stringOf(Part.getDetail());
  return Answer(std::move(Refused));
}

Result<LedgerRequest> read(wire::WireLedgerRequest::Reader Written) {
  IdempotencyKey::Bytes Octets{};
  auto Bytes = Written.getKey();
  if (Bytes.size() != Octets.size())
    return damaged("a key of another size");
  std::copy(Bytes.begin(), Bytes.end(), Octets.begin());
  JAYBRIDGE_TRY(auto Key, IdempotencyKey::create(Octets));
  ClaimId Id = read(Written.getId());
  switch (Written.which()) {
  case wire::WireLedgerRequest::CLAIM: {
    auto Part = Written.getClaim();
    return LedgerRequest(Claim{Key, Id, Fingerprint(Part.getFingerprint()),
                               Duration(Part.getTimeLeftMicroseconds())});
  }
  case wire::WireLedgerRequest::RELEASE:
    return LedgerRequest(Release{Key, Id});
  case wire::WireLedgerRequest::FINISH: {
    auto Part = Written.getFinish();
    JAYBRIDGE_TRY(auto Ended, read(Part.getAnswer()));
    return LedgerRequest(Finish{
        Key, Id, Fingerprint(Part.getFinishedFingerprint()), std::move(Ended)});
  }
  }
  return damaged("an unknown kind of request");
}

Result<LedgerReply> read(wire::WireLedgerReply::Reader Written) {
  ClaimId Id = read(Written.getId());
  switch (Written.which()) {
  case wire::WireLedgerReply::ACCEPTED:
    return LedgerReply(ClaimAnswer{Id, ClaimAccepted{}});
  case wire::WireLedgerReply::HELD: {
    auto Part = Written.getHeld();
    return LedgerReply(
        ClaimAnswer{Id, ClaimHeld{read(Part.getHolder()),
                                  Fingerprint(Part.getFingerprint()),
                                  Part.getIsOverdue()}});
  }
  case wire::WireLedgerReply::FINISHED: {
    auto Part = Written.getFinished();
    JAYBRIDGE_TRY(auto Ended, read(Part.getAnswer()));
    return LedgerReply(ClaimAnswer{
        Id, ClaimFinished{Fingerprint(Part.getFinishedFingerprint()),
                          std::move(Ended)}});
  }
  case wire::WireLedgerReply::ABSTAINED:
    if (Written.getAbstained() > static_cast<int>(AbstainReason::Released))
      return damaged("an unknown reason to abstain");
    return LedgerReply(ClaimAnswer{
        Id,
        ClaimAbstained{static_cast<AbstainReason>(Written.getAbstained())}});
  case wire::WireLedgerReply::CLOSED:
    return LedgerReply(ClaimClosed{Id});
  }
  return damaged("an unknown kind of reply");
}

void write(wire::WireLedgerReply::Builder Root, const ClaimVerdict &Verdict) {
  std::visit(
      Overloaded{[&](const ClaimAccepted &) { Root.setAccepted(); },
                 [&](const ClaimHeld &Each) {
                   auto Part = Root.initHeld();
                   write(Part.initHolder(), Each.Holder_);
                   Part.setFingerprint(Each.Fingerprint_.value());
                   Part.setIsOverdue(Each.IsOverdue_);
                 },
                 [&](const ClaimFinished &Each) {
                   auto Part = Root.initFinished();
                   Part.setFinishedFingerprint(Each.Fingerprint_.value());
                   write(Part.initAnswer(), Each.Answer_);
                 },
                 [&](const ClaimAbstained &Each) {
                   Root.setAbstained(static_cast<std::uint8_t>(Each.Reason_));
                 }},
      Verdict);
}

} // namespace

std::string encodeLedgerRequest(const LedgerRequest &Message) {
  capnp::MallocMessageBuilder Builder;
  auto Root = Builder.initRoot<wire::WireLedgerRequest>();
  std::visit(
      [&](const auto &Each) {
        const auto &Octets = Each.Key_.octets();
        Root.setKey(capnp::Data::Reader(Octets.data(), Octets.size()));
        write(Root.initId(), Each.Id_);
      },
      Message);
  std::visit(Overloaded{[&](const Claim &Each) {
                          auto Part = Root.initClaim();
                          Part.setFingerprint(Each.Fingerprint_.value());
                          Part.setTimeLeftMicroseconds(Each.TimeLeft_.count());
                        },
                        [&](const Release &) { Root.setRelease(); },
                        [&](const Finish &Each) {
                          auto Part = Root.initFinish();
                          Part.setFinishedFingerprint(
                              Each.Fingerprint_.value());
                          write(Part.initAnswer(), Each.Answer_);
                        }},
             Message);
  return wire::serializePacked(Builder);
}

std::string encodeLedgerReply(const LedgerReply &Message) {
  capnp::MallocMessageBuilder Builder;
  auto Root = Builder.initRoot<wire::WireLedgerReply>();
  std::visit(Overloaded{[&](const ClaimAnswer &Each) {
                          write(Root.initId(), Each.Id_);
                          write(Root, Each.Verdict_);
                        },
                        [&](const ClaimClosed &Each) {
                          write(Root.initId(), Each.Id_);
                          Root.setClosed();
                        }},
             Message);
  return wire::serializePacked(Builder);
}

Result<LedgerRequest> decodeLedgerRequest(std::string_view Payload) {
  return wire::readPacked<wire::WireLedgerRequest, LedgerRequest>(
      Payload, [](auto Root) { return read(Root); });
}

Result<LedgerReply> decodeLedgerReply(std::string_view Payload) {
  return wire::readPacked<wire::WireLedgerReply, LedgerReply>(
      Payload, [](auto Root) { return read(Root); });
}

} // namespace jaybridge
