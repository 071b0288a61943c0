#include <LibWire/ForwardCodec.h>

#include <LibWire/Generated/Forward.capnp.h>
#include <LibWire/WireBytes.h>

#include <kj/exception.h>

namespace jaybridge {

namespace {

using wire::bytesOf;
using wire::textOf;

void writeHeaders(capnp::List<wire::HeaderField>::Builder Written,
                  const std::vector<Header> &Headers) {
  for (unsigned I = 0; I < Written.size(); ++I) {
    Written[I].setName(Headers[I].Name_);
    Written[I].setValue(bytesOf(Headers[I].Value_));
  }
}

std::vector<Header>
readHeaders(capnp::List<wire::HeaderField>::Reader Written) {
  std::vector<Header> Headers;
  Headers.reserve(Written.size());
  for (const auto Each : Written)
    Headers.push_back({textOf(Each.getName()), textOf(Each.getValue())});
  return Headers;
}

Body readBody(capnp::Data::Reader Written) {
  return std::make_shared<const std::string>(textOf(Written));
}

unsigned countOf(const std::vector<Header> &Headers) {
  return static_cast<unsigned>(Headers.size());
}

void write(wire::ForwardMessage::Builder Message,
           const ForwardedRequest &Forwarded, TimePoint Now) {
  const Request &Given = *Forwarded.Request_;
  auto Written = Message.initRequest();
  Written.setId(Given.Id_.text());
  Written.setService(Given.Service_.text());
  Written.setMethod(Given.Method_);
  Written.setTarget(bytesOf(Given.Target_));
  writeHeaders(Written.initHeaders(countOf(Given.Headers_)), Given.Headers_);
  if (Given.Body_)
    Written.setBody(bytesOf(*Given.Body_));
  Written.setRemainingMicroseconds((Forwarded.Deadline_ - Now).count());
  Written.setHasKey(Given.Key_.has_value());
  if (Given.Key_)
    Written.setKey(bytesOf(Given.Key_->text()));
}

void write(wire::ForwardMessage::Builder Message,
           const ForwardAnswered &Answered, TimePoint) {
  auto Written = Message.initAnswer();
  Written.setId(Answered.Id_.text());
  if (const auto *Given = std::get_if<Response>(&Answered.Answer_)) {
    auto Part = Written.initResponse();
    Part.setStatus(Given->Status_.value());
    writeHeaders(Part.initHeaders(countOf(Given->Headers_)), Given->Headers_);
    if (Given->Body_)
      Part.setBody(bytesOf(*Given->Body_));
    return;
  }
  const auto &Given = std::get<Refusal>(Answered.Answer_);
  auto Part = Written.initRefusal();
  Part.setOutcome(outcomeName(Given.Outcome_));
  Part.setReason(refusalReasonName(Given.Reason_));
  Part.setHasRetryAfter(Given.RetryAfter_.has_value());
  if (Given.RetryAfter_)
    Part.setRetryAfterMicroseconds(Given.RetryAfter_->count());
  Part.setDetail(bytesOf(Given.Detail_));
}

void write(wire::ForwardMessage::Builder Message,
           const ForwardCancelled &Cancelled, TimePoint) {
  Message.setCancelledId(Cancelled.Id_.text());
}

ForwardedRequest read(wire::ForwardedRequest::Reader Written, TimePoint Now) {
  auto Read = std::make_shared<Request>();
  const TimePoint Deadline = Now + Duration(Written.getRemainingMicroseconds());
  Read->Id_ = RequestId(textOf(Written.getId()));
  Read->Service_ = ServiceName(textOf(Written.getService()));
  Read->Method_ = textOf(Written.getMethod());
  Read->Target_ = textOf(Written.getTarget());
  Read->Headers_ = readHeaders(Written.getHeaders());
  Read->Body_ = readBody(Written.getBody());
  Read->Deadline_ = Deadline;
  if (Written.getHasKey())
    Read->Key_ = IdempotencyKeyText(textOf(Written.getKey()));
  return {std::move(Read), Deadline};
}

/// Names that this version does not know become the least certain outcome.
Outcome readOutcome(std::string_view Name) {
  for (Outcome Each : {Outcome::NotRun, Outcome::Ran})
    if (Name == outcomeName(Each))
      return Each;
  return Outcome::Unknown;
}

RefusalReason readReason(std::string_view Name) {
  constexpr auto Last = static_cast<int>(RefusalReason::HomeLost);
  for (int Number = 0; Number <= Last; ++Number)
    if (Name == refusalReasonName(static_cast<RefusalReason>(Number)))
      return static_cast<RefusalReason>(Number);
  return RefusalReason::UpstreamUnavailable;
}

Result<ForwardMessage> read(wire::ForwardedAnswer::Reader Written) {
  const RequestId Id(textOf(Written.getId()));
  if (Written.isResponse()) {
    auto Part = Written.getResponse();
    return ForwardMessage(
        ForwardAnswered{Id, Response{StatusCode(Part.getStatus()),
                                     readHeaders(Part.getHeaders()),
                                     readBody(Part.getBody())}});
  }
  if (!Written.isRefusal())
    return Error{ErrorCode::Damaged, "unknown kind of answer", {}};
  auto Part = Written.getRefusal();
  Refusal Refused;
  Refused.Outcome_ = readOutcome(textOf(Part.getOutcome()));
  Refused.Reason_ = readReason(textOf(Part.getReason()));
  if (Part.getHasRetryAfter())
    Refused.RetryAfter_ = Duration(Part.getRetryAfterMicroseconds());
  Refused.Detail_ = textOf(Part.getDetail());
  return ForwardMessage(ForwardAnswered{Id, std::move(Refused)});
}

Result<ForwardMessage> read(wire::ForwardMessage::Reader Written,
                            TimePoint Now) {
  switch (Written.which()) {
  case wire::ForwardMessage::REQUEST:
    return ForwardMessage(read(Written.getRequest(), Now));
  case wire::ForwardMessage::ANSWER:
    return read(Written.getAnswer());
  case wire::ForwardMessage::CANCELLED_ID:
    return ForwardMessage(
        ForwardCancelled{RequestId(textOf(Written.getCancelledId()))});
  }
  return Error{ErrorCode::Damaged, "unknown kind of forward message", {}};
}

} // namespace

std::string encodeForwardMessage(const ForwardMessage &Message, TimePoint Now) {
  capnp::MallocMessageBuilder Builder;
  auto Root = Builder.initRoot<wire::ForwardMessage>();
  std::visit([&](const auto &Each) { write(Root, Each, Now); }, Message);
  return wire::serialize(Builder);
}

Result<ForwardMessage> decodeForwardMessage(std::string_view Payload,
                                            TimePoint Now) {
  try {
    const auto Words = wire::copyToWords(Payload);
    capnp::FlatArrayMessageReader Reader(Words);
    return read(Reader.getRoot<wire::ForwardMessage>(), Now);
  } catch (const kj::Exception &Failure) {
    return Error{ErrorCode::Damaged, Failure.getDescription().cStr(), {}};
  }
}

} // namespace jaybridge
