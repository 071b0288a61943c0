#include <LibWire/ControlCodec.h>

#include <LibWire/ChecksummedMessage.h>
#include <LibWire/ConfigurationCodec.h>
#include <LibWire/Generated/Control.capnp.h>

namespace jaybridge {

namespace {

using wire::damagedMessage;
using wire::textOf;

void write(wire::ControlError::Builder Written, const Error &Given) {
  Written.setCode(static_cast<std::uint16_t>(Given.Code_));
  Written.setMessage(Given.Message_);
  Written.setField(Given.Field_);
}

Error read(wire::ControlError::Reader Written) {
  auto Code = Written.getCode();
  if (Code > static_cast<std::uint16_t>(ErrorCode::Internal))
    Code = static_cast<std::uint16_t>(ErrorCode::Internal);
  return Error{static_cast<ErrorCode>(Code), textOf(Written.getMessage()),
               textOf(Written.getField())};
}

std::optional<MemberId> readTryInstead(wire::ControlMessage::Reader Written) {
  std::string Member = textOf(Written.getTryInstead());
  if (Member.empty())
    return std::nullopt;
  return MemberId(std::move(Member));
}

void write(wire::ControlMessage::Builder Written,
           const ChangeForwarded &Given) {
  Written.setChange(wire::bytesOf(encodeConfigurationChange(Given.Change_)));
}

void write(wire::ControlMessage::Builder Written, const ChangeDecided &Given) {
  if (Given.TryInstead_)
    Written.setTryInstead(Given.TryInstead_->text());
  if (Given.Answer_)
    Written.setAccepted(Given.Answer_.value().value());
  else
    write(Written.initChangeFailed(), Given.Answer_.error());
}

void write(wire::ControlMessage::Builder Written, const CatalogForwarded &) {
  Written.setCatalogWanted();
}

void write(wire::ControlMessage::Builder Written,
           const CatalogProvided &Given) {
  if (Given.TryInstead_)
    Written.setTryInstead(Given.TryInstead_->text());
  if (Given.Answer_)
    Written.setCatalog(
        wire::bytesOf(encodeConfigurationSnapshot(Given.Answer_.value())));
  else
    write(Written.initCatalogFailed(), Given.Answer_.error());
}

void write(wire::ControlMessage::Builder Written, const TraceForwarded &Given) {
  Written.setTraceWanted(Given.Request_.text());
}

void write(wire::ControlMessage::Builder Written, const TraceProvided &Given) {
  if (!Given.Steps_) {
    write(Written.initTraceFailed(), Given.Steps_.error());
    return;
  }
  const auto &Steps = Given.Steps_.value();
  auto Rows = Written.initTrace(static_cast<unsigned>(Steps.size()));
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

Result<TimedStep> read(wire::ControlStep::Reader Written) {
  if (Written.getKind() > static_cast<std::uint16_t>(StepKind::Refused))
    return damagedMessage("unknown kind of step");
  RecordStep Step;
  Step.Id_ = RequestId(textOf(Written.getRequest()));
  Step.Kind_ = static_cast<StepKind>(Written.getKind());
  Step.Service_ = ServiceName(textOf(Written.getService()));
  Step.Version_ = ConfigurationVersion(Written.getVersion());
  Step.Instance_ = InstanceId(textOf(Written.getInstance()));
  Step.Domain_ = FailureDomain(textOf(Written.getDomain()));
  Step.Detail_ = textOf(Written.getDetail());
  return TimedStep{TimePoint(Duration(Written.getAtUs())), std::move(Step)};
}

template <typename Message> std::string encode(const Message &Given) {
  capnp::MallocMessageBuilder Builder;
  auto Written = Builder.initRoot<wire::ControlMessage>();
  std::visit(
      [&](const auto &Each) {
        Written.setQuery(Each.Query_.value());
        write(Written, Each);
      },
      Given);
  return wire::serializeWithChecksum(Builder);
}

Result<ConfigurationMessage>
readConfiguration(wire::ControlMessage::Reader Written) {
  QueryId Query(Written.getQuery());
  switch (Written.which()) {
  case wire::ControlMessage::CHANGE: {
    JAYBRIDGE_TRY(ConfigurationChange Change,
                  decodeConfigurationChange(textOf(Written.getChange())));
    return ConfigurationMessage(ChangeForwarded{Query, std::move(Change)});
  }
  case wire::ControlMessage::ACCEPTED:
    return ConfigurationMessage(
        ChangeDecided{Query, ConfigurationVersion(Written.getAccepted()),
                      readTryInstead(Written)});
  case wire::ControlMessage::CHANGE_FAILED:
    return ConfigurationMessage(ChangeDecided{
        Query, read(Written.getChangeFailed()), readTryInstead(Written)});
  case wire::ControlMessage::CATALOG_WANTED:
    return ConfigurationMessage(CatalogForwarded{Query});
  case wire::ControlMessage::CATALOG: {
    JAYBRIDGE_TRY(ConfigurationSnapshot Catalog,
                  decodeConfigurationSnapshot(textOf(Written.getCatalog())));
    return ConfigurationMessage(CatalogProvided{Query, std::move(Catalog), {}});
  }
  case wire::ControlMessage::CATALOG_FAILED:
    return ConfigurationMessage(CatalogProvided{
        Query, read(Written.getCatalogFailed()), readTryInstead(Written)});
  default:
    return damagedMessage("no message about the configuration");
  }
}

Result<TraceMessage> readTrace(wire::ControlMessage::Reader Written) {
  QueryId Query(Written.getQuery());
  switch (Written.which()) {
  case wire::ControlMessage::TRACE_WANTED:
    return TraceMessage(
        TraceForwarded{Query, RequestId(textOf(Written.getTraceWanted()))});
  case wire::ControlMessage::TRACE: {
    std::vector<TimedStep> Steps;
    for (auto Row : Written.getTrace()) {
      JAYBRIDGE_TRY(TimedStep Step, read(Row));
      Steps.push_back(std::move(Step));
    }
    return TraceMessage(TraceProvided{Query, std::move(Steps)});
  }
  case wire::ControlMessage::TRACE_FAILED:
    return TraceMessage(TraceProvided{Query, read(Written.getTraceFailed())});
  default:
    return damagedMessage("no message about a request's history");
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
