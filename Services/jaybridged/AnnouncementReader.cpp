#include <AnnouncementReader.h>

#include <LibProfile/Profile.h>

#include <nlohmann/json.hpp>

namespace jaybridge {

namespace {

using Json = nlohmann::json;

constexpr std::size_t GreatestIdLength = 128;
constexpr std::uint64_t GreatestSlotCount = 10000;

Error faulty(const char *Field, const std::string &Permitted) {
  return Error{ErrorCode::Invalid, std::string(Field) + " must be " + Permitted,
               Field};
}

Result<std::string> readText(const Json &Fields, const char *Field) {
  auto Found = Fields.find(Field);
  if (Found == Fields.end() || !Found->is_string() ||
      Found->get_ref<const std::string &>().empty() ||
      Found->get_ref<const std::string &>().size() > GreatestIdLength)
    return faulty(Field, "a text of 1 to 128 characters");
  return Found->get<std::string>();
}

Result<std::uint64_t> readNumber(const Json &Fields, const char *Field,
                                 std::uint64_t Least, std::uint64_t Greatest) {
  auto Found = Fields.find(Field);
  if (Found == Fields.end() || !Found->is_number_unsigned() ||
      Found->get<std::uint64_t>() < Least ||
      Found->get<std::uint64_t>() > Greatest)
    return faulty(Field, "a whole number from " + std::to_string(Least) +
                             " to " + std::to_string(Greatest));
  return Found->get<std::uint64_t>();
}

Result<InstanceState> readState(const Json &Fields) {
  JAYBRIDGE_TRY(std::string Name, readText(Fields, "state"));
  if (Name == "serving")
    return InstanceState::Serving;
  if (Name == "draining")
    return InstanceState::Draining;
  if (Name == "left")
    return InstanceState::Left;
  return faulty("state", "serving, draining or left");
}

} // namespace

Result<Announcement> readAnnouncement(const std::string &Text) {
  constexpr std::uint64_t Unlimited = ~std::uint64_t(0);
  Json Fields = Json::parse(Text, nullptr, false);
  if (!Fields.is_object())
    return Error{ErrorCode::Invalid, "the announcement is no JSON object", {}};
  Announcement Read;
  InstanceRecord &Record = Read.Record_;
  JAYBRIDGE_TRY(std::string Id, readText(Fields, "instance"));
  Record.Id_ = InstanceId(std::move(Id));
  JAYBRIDGE_TRY(std::string Service, readText(Fields, "service"));
  if (!isPermittedName(Service))
    return faulty("service", "1 to 64 of a-z, 0-9, '-' and '.'");
  Record.Service_ = ServiceName(std::move(Service));
  JAYBRIDGE_TRY(std::string Address, readText(Fields, "address"));
  auto Where = Endpoint::create(Address);
  if (!Where)
    return faulty("address", "A.B.C.D:PORT");
  Record.Address_ = Where.takeValue();
  JAYBRIDGE_TRY(std::string Domain, readText(Fields, "failure_domain"));
  Record.Domain_ = FailureDomain(std::move(Domain));
  JAYBRIDGE_TRY(std::uint64_t Slots,
                readNumber(Fields, "slots", 1, GreatestSlotCount));
  Record.Slots_ = SlotCount(static_cast<std::uint32_t>(Slots));
  JAYBRIDGE_TRY(Record.State_, readState(Fields));
  JAYBRIDGE_TRY(std::uint64_t Version,
                readNumber(Fields, "version", 1, Unlimited));
  Record.Version_ = Incarnation(Version);
  if (Fields.contains("busy")) {
    JAYBRIDGE_TRY(std::uint64_t Busy,
                  readNumber(Fields, "busy", 0, GreatestSlotCount));
    Read.Busy_ = SlotCount(static_cast<std::uint32_t>(Busy));
  }
  return Read;
}

} // namespace jaybridge
