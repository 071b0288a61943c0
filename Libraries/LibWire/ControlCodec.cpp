#include <LibWire/ControlCodec.h>

#include <LibWire/ChecksummedMessage.h>
#include <LibWire/ConfigurationCodec.h>
#include <LibWire/Generated/Control.capnp.h>

namespace jaybridge {

namespace {

using wire::damagedMessage;
using wire::textOf;

void write(wire::ControlError::Builder Builder, const Error &Value) {
  Builder.setCode(static_cast<std::uint16_t>(Value.Code_));
  Builder.setMessage(Value.Message_);
  Builder.setField(Value.Field_);
}

Error read(wire::ControlError::Reader Reader) {
  auto Code = Reader.getCode();
  if (Code > static_cast<std::uint16_t>(ErrorCode::Internal))
    Code = static_cast<std::uint16_t>(ErrorCode::Internal);
  return Error{static_cast<ErrorCode>(Code), textOf(Reader.getMessage()),
               textOf(Reader.getField())};
}

std::optional<MemberId> readTryInstead(wire::ControlMessage::Reader Reader) {
  std::string Member = textOf(Reader.getTryInstead());
  if (Member.empty())
    return std::nullopt;
  return MemberId(std::move(Member));
}

void write(wire::ControlMessage::Builder Builder, const ChangeRequest &Value) {
  Builder.setChange(wire::bytesOf(encodeConfigurationChange(Value.Change_)));
}

void write(wire::ControlMessage::Builder Builder, const ChangeResponse &Value) {
  if (Value.LeaderHint_)
    Builder.setTryInstead(Value.LeaderHint_->text());
  if (Value.Answer_)
    Builder.setAccepted(Value.Answer_.value().value());
  else
    write(Builder.initChangeFailed(), Value.Answer_.error());
}

void write(wire::ControlMessage::Builder Builder, const CatalogRequest &) {
  Builder.setCatalogWanted();
}

void write(wire::ControlMessage::Builder Builder,
           const CatalogResponse &Value) {
  if (Value.LeaderHint_)
    Builder.setTryInstead(Value.LeaderHint_->text());
  if (Value.Answer_)
    Builder.setCatalog(
        wire::bytesOf(encodeConfigurationSnapshot(Value.Answer_.value())));
  else
    write(Builder.initCatalogFailed(), Value.Answer_.error());
}

void write(wire::ControlMessage::Builder Builder, const TraceRequest &Value) {
  Builder.setTraceWanted(Value.Request_.text());
}

void write(wire::ControlMessage::Builder Builder, const TraceResponse &Value) {
  if (!Value.Steps_) {
    write(Builder.initTraceFailed(), Value.Steps_.error());
    return;
  }
  const auto &Steps = Value.Steps_.value();
  auto Rows = Builder.initTrace(static_cast<unsigned>(Steps.size()));
  for (unsigned I = 0; I < Rows.size(); ++I) {
    const RecordStep &Step = Steps[I].Step_;
    Rows[I].setAtUs(Steps[I].At_.time_since_epoch().count());
    Rows[I].setRequest(Step.Id_.text());
    Rows[I].setKind(static_cast<std::uint16_t>(Step.Kind_));
    Rows[I].setService(Step.Service_.text());
    Rows[I].setVersion(Step.Version_.value());
    Rows[I].setInstance(Step.Instance_.text());
    Rows[I].setDomain(Step.Domain_.text());
    Rows[I].setDetail(Step.Detail_);
  }
}

Result<TimedStep> read(wire::ControlStep::Reader Reader) {
  if (Reader.getKind() > static_cast<std::uint16_t>(StepKind::Refused))
    return damagedMessage("unknown kind of trace step");
  RecordStep Step;
  Step.Id_ = RequestId(textOf(Reader.getRequest()));
  Step.Kind_ = static_cast<StepKind>(Reader.getKind());
  Step.Service_ = ServiceName(textOf(Reader.getService()));
  Step.Version_ = ConfigurationVersion(Reader.getVersion());
  Step.Instance_ = InstanceId(textOf(Reader.getInstance()));
  Step.Domain_ = FailureDomain(textOf(Reader.getDomain()));
  Step.Detail_ = textOf(Reader.getDetail());
  return TimedStep{TimePoint(Duration(Reader.getAtUs())), std::move(Step)};
}

template <typename Message> std::string encode(const Message &Value) {
  capnp::MallocMessageBuilder Builder;
  auto Root = Builder.initRoot<wire::ControlMessage>();
  std::visit(
      [&](const auto &Alternative) {
        Root.setQuery(Alternative.Query_.value());
        write(Root, Alternative);
      },
      Value);
  return wire::serializeWithChecksum(Builder);
}

Result<ConfigurationMessage>
readConfiguration(wire::ControlMessage::Reader Reader) {
  QueryId Query(Reader.getQuery());
  switch (Reader.which()) {
  case wire::ControlMessage::CHANGE: {
    JAYBRIDGE_TRY(ConfigurationChange Change,
                  decodeConfigurationChange(textOf(Reader.getChange())));
    return ConfigurationMessage(ChangeRequest{Query, std::move(Change)});
  }
  case wire::ControlMessage::ACCEPTED:
    return ConfigurationMessage(
        ChangeResponse{Query, ConfigurationVersion(Reader.getAccepted()),
                       readTryInstead(Reader)});
  case wire::ControlMessage::CHANGE_FAILED:
    return ConfigurationMessage(ChangeResponse{
        Query, read(Reader.getChangeFailed()), readTryInstead(Reader)});
  case wire::ControlMessage::CATALOG_WANTED:
    return ConfigurationMessage(CatalogRequest{Query});
  case wire::ControlMessage::CATALOG: {
    JAYBRIDGE_TRY(ConfigurationSnapshot Catalog,
                  decodeConfigurationSnapshot(textOf(Reader.getCatalog())));
    return ConfigurationMessage(CatalogResponse{Query, std::move(Catalog), {}});
  }
  case wire::ControlMessage::CATALOG_FAILED:
    return ConfigurationMessage(CatalogResponse{
        Query, read(Reader.getCatalogFailed()), readTryInstead(Reader)});
  default:
    return damagedMessage("not a configuration message");
  }
}

Result<TraceMessage> readTrace(wire::ControlMessage::Reader Reader) {
  QueryId Query(Reader.getQuery());
  switch (Reader.which()) {
  case wire::ControlMessage::TRACE_WANTED:
    return TraceMessage(
        TraceRequest{Query, RequestId(textOf(Reader.getTraceWanted()))});
  case wire::ControlMessage::TRACE: {
    std::vector<TimedStep> Steps;
    for (auto Row : Reader.getTrace()) {
      JAYBRIDGE_TRY(TimedStep Step, read(Row));
      Steps.push_back(std::move(Step));
    }
    return TraceMessage(TraceResponse{Query, std::move(Steps)});
  }
  case wire::ControlMessage::TRACE_FAILED:
    return TraceMessage(TraceResponse{Query, read(Reader.getTraceFailed())});
  default:
    return damagedMessage("not a trace message");
  }
}

} // namespace

std::string encodeConfigurationMessage(const ConfigurationMessage &Message) {
  return encode(Message);
}

Result<ConfigurationMessage>
decodeConfigurationMessage(std::string_view Encoded) {
  return wire::readWithChecksum<wire::ControlMessage>(Encoded,
                                                      readConfiguration);
}

std::string encodeTraceMessage(const TraceMessage &Message) {
  return encode(Message);
}

Result<TraceMessage> decodeTraceMessage(std::string_view Encoded) {
  return wire::readWithChecksum<wire::ControlMessage>(Encoded, readTrace);
}

} // namespace jaybridge
