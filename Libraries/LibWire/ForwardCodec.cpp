#include <LibWire/ForwardCodec.h>

#include <LibWire/Generated/Forward.capnp.h>
#include <LibWire/WireBytes.h>

#include <kj/exception.h>

namespace jaybridge {

namespace {

using wire::bytesOf;
using wire::textOf;

void writeHeaders(capnp::List<wire::HeaderField>::Builder List,
                  const std::vector<Header> &Headers) {
  for (unsigned I = 0; I < List.size(); ++I) {
    List[I].setName(Headers[I].Name_);
    List[I].setValue(bytesOf(Headers[I].Value_));
  }
}

std::vector<Header> readHeaders(capnp::List<wire::HeaderField>::Reader List) {
  std::vector<Header> Headers;
  Headers.reserve(List.size());
  for (const auto Field : List)
    Headers.push_back({textOf(Field.getName()), textOf(Field.getValue())});
  return Headers;
}

Body readBody(capnp::Data::Reader Bytes) {
  return std::make_shared<const std::string>(textOf(Bytes));
}

unsigned countOf(const std::vector<Header> &Headers) {
  return static_cast<unsigned>(Headers.size());
}

void write(wire::ForwardMessage::Builder Message,
           const ForwardedRequest &Forwarded, TimePoint Now) {
  const Request &Value = *Forwarded.Request_;
  auto Builder = Message.initRequest();
  Builder.setId(Value.Id_.text());
  Builder.setService(Value.Service_.text());
  Builder.setMethod(Value.Method_);
  Builder.setTarget(bytesOf(Value.Target_));
  writeHeaders(Builder.initHeaders(countOf(Value.Headers_)), Value.Headers_);
  if (Value.Body_)
    Builder.setBody(bytesOf(*Value.Body_));
  Builder.setRemainingMicroseconds((Forwarded.Deadline_ - Now).count());
  Builder.setHasKey(Value.Key_.has_value());
  if (Value.Key_)
    Builder.setKey(bytesOf(Value.Key_->text()));
}

void write(wire::ForwardMessage::Builder Message,
           const ForwardAnswered &Answered, TimePoint) {
  auto Builder = Message.initAnswer();
  Builder.setId(Answered.Id_.text());
  if (const auto *FullResponse = std::get_if<Response>(&Answered.Answer_)) {
    auto Part = Builder.initResponse();
    Part.setStatus(FullResponse->Status_.value());
    writeHeaders(Part.initHeaders(countOf(FullResponse->Headers_)),
                 FullResponse->Headers_);
    if (FullResponse->Body_)
      Part.setBody(bytesOf(*FullResponse->Body_));
    return;
  }
  const auto &Refused = std::get<Refusal>(Answered.Answer_);
  auto Part = Builder.initRefusal();
  Part.setOutcome(outcomeName(Refused.Outcome_));
  Part.setReason(refusalReasonName(Refused.Reason_));
  Part.setHasRetryAfter(Refused.RetryAfter_.has_value());
  if (Refused.RetryAfter_)
    Part.setRetryAfterMicroseconds(Refused.RetryAfter_->count());
  Part.setDetail(bytesOf(Refused.Detail_));
}

void write(wire::ForwardMessage::Builder Message,
           const ForwardCancelled &Cancelled, TimePoint) {
  Message.setCancelledId(Cancelled.Id_.text());
}

ForwardedRequest read(wire::ForwardedRequest::Reader Reader, TimePoint Now) {
  auto Value = std::make_shared<Request>();
  const TimePoint Deadline = Now + Duration(Reader.getRemainingMicroseconds());
  Value->Id_ = RequestId(textOf(Reader.getId()));
  Value->Service_ = ServiceName(textOf(Reader.getService()));
  Value->Method_ = textOf(Reader.getMethod());
  Value->Target_ = textOf(Reader.getTarget());
  Value->Headers_ = readHeaders(Reader.getHeaders());
  Value->Body_ = readBody(Reader.getBody());
  Value->Deadline_ = Deadline;
  if (Reader.getHasKey())
    Value->Key_ = IdempotencyKeyText(textOf(Reader.getKey()));
  return {std::move(Value), Deadline};
}

/// Names that this version does not know are read as Unknown, which rules out
/// nothing.
Outcome readOutcome(std::string_view Name) {
  for (Outcome Known : {Outcome::NotRun, Outcome::Ran})
    if (Name == outcomeName(Known))
      return Known;
  return Outcome::Unknown;
}

RefusalReason readReason(std::string_view Name) {
  constexpr auto Last = static_cast<int>(LastRefusalReason);
  for (int Number = 0; Number <= Last; ++Number)
    if (Name == refusalReasonName(static_cast<RefusalReason>(Number)))
      return static_cast<RefusalReason>(Number);
  return RefusalReason::UpstreamUnavailable;
}

Result<ForwardMessage> read(wire::ForwardedAnswer::Reader Reader) {
  const RequestId Id(textOf(Reader.getId()));
  if (Reader.isResponse()) {
    auto Part = Reader.getResponse();
    return ForwardMessage(
        ForwardAnswered{Id, Response{StatusCode(Part.getStatus()),
                                     readHeaders(Part.getHeaders()),
                                     readBody(Part.getBody())}});
  }
  if (!Reader.isRefusal())
    return Error{ErrorCode::Damaged, "unknown kind of answer", {}};
  auto Part = Reader.getRefusal();
  Refusal Refused;
  Refused.Outcome_ = readOutcome(textOf(Part.getOutcome()));
  Refused.Reason_ = readReason(textOf(Part.getReason()));
  if (Part.getHasRetryAfter())
    Refused.RetryAfter_ = Duration(Part.getRetryAfterMicroseconds());
  Refused.Detail_ = textOf(Part.getDetail());
  return ForwardMessage(ForwardAnswered{Id, std::move(Refused)});
}

Result<ForwardMessage> read(wire::ForwardMessage::Reader Reader,
                            TimePoint Now) {
  switch (Reader.which()) {
  case wire::ForwardMessage::REQUEST:
    return ForwardMessage(read(Reader.getRequest(), Now));
  case wire::ForwardMessage::ANSWER:
    return read(Reader.getAnswer());
  case wire::ForwardMessage::CANCELLED_ID:
    return ForwardMessage(
        ForwardCancelled{RequestId(textOf(Reader.getCancelledId()))});
  }
  return Error{ErrorCode::Damaged, "unknown kind of forward message", {}};
}

} // namespace

std::string encodeForwardMessage(const ForwardMessage &Message, TimePoint Now) {
  capnp::MallocMessageBuilder Builder;
  auto Root = Builder.initRoot<wire::ForwardMessage>();
  std::visit([&](const auto &Alternative) { write(Root, Alternative, Now); },
             Message);
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
