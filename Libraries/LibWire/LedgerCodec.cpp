#include <LibWire/LedgerCodec.h>

#include <LibCore/DecisionRole.h>
#include <LibWire/Generated/Ledger.capnp.h>
#include <LibWire/PackedMessage.h>

#include <algorithm>

namespace jaybridge {

namespace {

using wire::dataOf;
using wire::stringOf;

Error damaged(const char *Defect) {
  return Error{
      ErrorCode::Damaged, std::string("ledger message with ") + Defect, {}};
}

void write(wire::WireClaimId::Builder Builder, const ClaimId &Id) {
  Builder.setClaimant(Id.Claimant_.text());
  Builder.setRun(Id.Incarnation_.value());
  Builder.setNumber(Id.Number_.value());
}

ClaimId read(wire::WireClaimId::Reader Reader) {
  return {MemberId(stringOf(Reader.getClaimant())),
          Incarnation(Reader.getRun()), ClaimNumber(Reader.getNumber())};
}

void write(wire::WireAnswer::Builder Builder, const Answer &Value) {
  if (const auto *FullResponse = std::get_if<Response>(&Value)) {
    auto Part = Builder.initResponse();
    Part.setStatus(FullResponse->Status_.value());
    auto Headers =
        Part.initHeaders(static_cast<unsigned>(FullResponse->Headers_.size()));
    for (unsigned I = 0; I < Headers.size(); ++I) {
      Headers[I].setName(FullResponse->Headers_[I].Name_);
      Headers[I].setValue(FullResponse->Headers_[I].Value_);
    }
    if (FullResponse->Body_)
      Part.setBody(dataOf(*FullResponse->Body_));
    return;
  }
  const auto &Refused = std::get<Refusal>(Value);
  auto Part = Builder.initRefusal();
  Part.setOutcome(static_cast<std::uint8_t>(Refused.Outcome_));
  Part.setReason(static_cast<std::uint8_t>(Refused.Reason_));
  Part.setHasRetryAfter(Refused.RetryAfter_.has_value());
  if (Refused.RetryAfter_)
    Part.setRetryAfterMicroseconds(Refused.RetryAfter_->count());
  Part.setDetail(Refused.Detail_);
}

Result<Answer> read(wire::WireAnswer::Reader Reader) {
  if (Reader.isResponse()) {
    auto Part = Reader.getResponse();
    Response FullResponse;
    FullResponse.Status_ = StatusCode(Part.getStatus());
    for (auto Field : Part.getHeaders())
      FullResponse.Headers_.push_back(
          {stringOf(Field.getName()), stringOf(Field.getValue())});
    auto Bytes = Part.getBody();
    FullResponse.Body_ =
        std::make_shared<const std::string>(Bytes.begin(), Bytes.end());
    return Answer(std::move(FullResponse));
  }
  if (!Reader.isRefusal())
    return damaged("an unknown kind of answer");
  auto Part = Reader.getRefusal();
  if (Part.getOutcome() > static_cast<int>(Outcome::Unknown) ||
      Part.getReason() > static_cast<int>(LastRefusalReason))
    return damaged("an unknown outcome or reason");
  Refusal Refused;
  Refused.Outcome_ = static_cast<Outcome>(Part.getOutcome());
  Refused.Reason_ = static_cast<RefusalReason>(Part.getReason());
  if (Part.getHasRetryAfter())
    Refused.RetryAfter_ = Duration(Part.getRetryAfterMicroseconds());
  Refused.Detail_ = stringOf(Part.getDetail());
  return Answer(std::move(Refused));
}

Result<LedgerRequest> read(wire::WireLedgerRequest::Reader Reader) {
  IdempotencyKey::Bytes Octets{};
  auto Bytes = Reader.getKey();
  if (Bytes.size() != Octets.size())
    return damaged("a key of the wrong size");
  std::copy(Bytes.begin(), Bytes.end(), Octets.begin());
  JAYBRIDGE_TRY(auto Key, IdempotencyKey::create(Octets));
  ClaimId Id = read(Reader.getId());
  switch (Reader.which()) {
  case wire::WireLedgerRequest::CLAIM: {
    auto Part = Reader.getClaim();
    return LedgerRequest(Claim{Key, Id, Fingerprint(Part.getFingerprint()),
                               Duration(Part.getTimeLeftMicroseconds())});
  }
  case wire::WireLedgerRequest::RELEASE:
    return LedgerRequest(Release{Key, Id});
  case wire::WireLedgerRequest::FINISH: {
    auto Part = Reader.getFinish();
    JAYBRIDGE_TRY(auto Answer, read(Part.getAnswer()));
    return LedgerRequest(Finish{Key, Id,
                                Fingerprint(Part.getFinishedFingerprint()),
                                std::move(Answer)});
  }
  }
  return damaged("an unknown kind of request");
}

Result<LedgerReply> read(wire::WireLedgerReply::Reader Reader) {
  ClaimId Id = read(Reader.getId());
  switch (Reader.which()) {
  case wire::WireLedgerReply::ACCEPTED:
    return LedgerReply(ClaimReply{Id, ClaimAccepted{}});
  case wire::WireLedgerReply::HELD: {
    auto Part = Reader.getHeld();
    return LedgerReply(
        ClaimReply{Id, ClaimHeld{read(Part.getHolder()),
                                 Fingerprint(Part.getFingerprint()),
                                 Part.getIsOverdue()}});
  }
  case wire::WireLedgerReply::FINISHED: {
    auto Part = Reader.getFinished();
    JAYBRIDGE_TRY(auto Answer, read(Part.getAnswer()));
    return LedgerReply(
        ClaimReply{Id, ClaimFinished{Fingerprint(Part.getFinishedFingerprint()),
                                     std::move(Answer)}});
  }
  case wire::WireLedgerReply::ABSTAINED:
    if (Reader.getAbstained() > static_cast<int>(AbstainReason::Released))
      return damaged("an unknown abstention reason");
    return LedgerReply(ClaimReply{
        Id, ClaimAbstained{static_cast<AbstainReason>(Reader.getAbstained())}});
  case wire::WireLedgerReply::CLOSED:
    return LedgerReply(CloseReply{Id});
  }
  return damaged("an unknown kind of reply");
}

void write(wire::WireLedgerReply::Builder Root, const ClaimVerdict &Verdict) {
  std::visit(Overloaded{[&](const ClaimAccepted &) { Root.setAccepted(); },
                        [&](const ClaimHeld &Held) {
                          auto Part = Root.initHeld();
                          write(Part.initHolder(), Held.Holder_);
                          Part.setFingerprint(Held.Fingerprint_.value());
                          Part.setIsOverdue(Held.IsOverdue_);
                        },
                        [&](const ClaimFinished &Finished) {
                          auto Part = Root.initFinished();
                          Part.setFinishedFingerprint(
                              Finished.Fingerprint_.value());
                          write(Part.initAnswer(), Finished.Answer_);
                        },
                        [&](const ClaimAbstained &Abstained) {
                          Root.setAbstained(
                              static_cast<std::uint8_t>(Abstained.Reason_));
                        }},
             Verdict);
}

} // namespace

std::string encodeLedgerRequest(const LedgerRequest &Message) {
  capnp::MallocMessageBuilder Builder;
  auto Root = Builder.initRoot<wire::WireLedgerRequest>();
  std::visit(
      [&](const auto &Alternative) {
        const auto &Octets = Alternative.Key_.octets();
        Root.setKey(capnp::Data::Reader(Octets.data(), Octets.size()));
        write(Root.initId(), Alternative.Id_);
      },
      Message);
  std::visit(
      Overloaded{[&](const Claim &Claimed) {
                   auto Part = Root.initClaim();
                   Part.setFingerprint(Claimed.Fingerprint_.value());
                   Part.setTimeLeftMicroseconds(Claimed.TimeLeft_.count());
                 },
                 [&](const Release &) { Root.setRelease(); },
                 [&](const Finish &Finished) {
                   auto Part = Root.initFinish();
                   Part.setFinishedFingerprint(Finished.Fingerprint_.value());
                   write(Part.initAnswer(), Finished.Answer_);
                 }},
      Message);
  return wire::serializePacked(Builder);
}

std::string encodeLedgerReply(const LedgerReply &Message) {
  capnp::MallocMessageBuilder Builder;
  auto Root = Builder.initRoot<wire::WireLedgerReply>();
  std::visit(Overloaded{[&](const ClaimReply &Answer) {
                          write(Root.initId(), Answer.Id_);
                          write(Root, Answer.Verdict_);
                        },
                        [&](const CloseReply &Closed) {
                          write(Root.initId(), Closed.Id_);
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
