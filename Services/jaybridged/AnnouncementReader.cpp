#include <AnnouncementReader.h>

#include <LibProfile/Profile.h>

#include <nlohmann/json.hpp>

namespace jaybridge {

namespace {

using Json = nlohmann::json;

constexpr std::size_t MaxTextLength = 128;
constexpr std::uint64_t MaxSlotCount = 10000;

Error invalidField(const char *Field, const std::string &Requirement) {
  return Error{ErrorCode::Invalid,
               std::string(Field) + " must be " + Requirement, Field};
}

Result<std::string> readText(const Json &Fields, const char *Field) {
  auto Value = Fields.find(Field);
  if (Value == Fields.end() || !Value->is_string() ||
      Value->get_ref<const std::string &>().empty() ||
      Value->get_ref<const std::string &>().size() > MaxTextLength)
    return invalidField(Field, "a string of 1 to 128 characters");
  return Value->get<std::string>();
}

Result<std::uint64_t> readNumber(const Json &Fields, const char *Field,
                                 std::uint64_t Min, std::uint64_t Max) {
  auto Value = Fields.find(Field);
  if (Value == Fields.end() || !Value->is_number_unsigned() ||
      Value->get<std::uint64_t>() < Min || Value->get<std::uint64_t>() > Max)
    return invalidField(Field, "a whole number from " + std::to_string(Min) +
                                   " to " + std::to_string(Max));
  return Value->get<std::uint64_t>();
}

Result<InstanceState> readState(const Json &Fields) {
  JAYBRIDGE_TRY(std::string Name, readText(Fields, "state"));
  if (Name == "serving")
    return InstanceState::Serving;
  if (Name == "draining")
    return InstanceState::Draining;
  if (Name == "left")
    return InstanceState::Left;
  return invalidField("state", "serving, draining or left");
}

} // namespace

Result<Announcement> readAnnouncement(const std::string &Text) {
  constexpr std::uint64_t MaxVersion = ~std::uint64_t(0);
  Json Fields = Json::parse(Text, nullptr, false);
  if (!Fields.is_object())
    return Error{
        ErrorCode::Invalid, "the announcement is not a JSON object", {}};
  Announcement Parsed;
  InstanceRecord &Record = Parsed.Record_;
  JAYBRIDGE_TRY(std::string Id, readText(Fields, "instance"));
  Record.Id_ = InstanceId(std::move(Id));
  JAYBRIDGE_TRY(std::string Service, readText(Fields, "service"));
  if (!isPermittedName(Service))
    return invalidField("service", "1 to 64 of a-z, 0-9, '-' and '.'");
  Record.Service_ = ServiceName(std::move(Service));
  JAYBRIDGE_TRY(std::string Address, readText(Fields, "address"));
  auto ParsedAddress = Endpoint::create(Address);
  if (!ParsedAddress)
    return invalidField("address", "A.B.C.D:PORT");
  Record.Address_ = ParsedAddress.takeValue();
  JAYBRIDGE_TRY(std::string Domain, readText(Fields, "failure_domain"));
  Record.Domain_ = FailureDomain(std::move(Domain));
  JAYBRIDGE_TRY(std::uint64_t Slots,
                readNumber(Fields, "slots", 1, MaxSlotCount));
  Record.Slots_ = SlotCount(static_cast<std::uint32_t>(Slots));
  JAYBRIDGE_TRY(Record.State_, readState(Fields));
  JAYBRIDGE_TRY(std::uint64_t Version,
                readNumber(Fields, "version", 1, MaxVersion));
  Record.Version_ = Incarnation(Version);
  if (Fields.contains("busy")) {
    JAYBRIDGE_TRY(std::uint64_t Busy,
                  readNumber(Fields, "busy", 0, MaxSlotCount));
    Parsed.BusySlots_ = SlotCount(static_cast<std::uint32_t>(Busy));
  }
  return Parsed;
}

} // namespace jaybridge
