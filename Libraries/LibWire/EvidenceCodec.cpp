#include <LibWire/EvidenceCodec.h>

#include <LibWire/Generated/Evidence.capnp.h>
#include <LibWire/PackedMessage.h>

#include <algorithm>

namespace jaybridge {

namespace {

using wire::dataOf;
using wire::stringOf;

constexpr std::size_t BytesPerLatency = 3;
constexpr std::uint8_t CancelledBit = 0x80;

/// Counts are capped at 16 bits; those of one report stay far below.
std::string packLatencies(const std::vector<LatencyCount> &Latencies) {
  constexpr std::uint64_t MaxCount = 0xffff;
  std::string Packed;
  for (const LatencyCount &Latency : Latencies) {
    std::uint64_t Count = std::min(Latency.Count_.value(), MaxCount);
    Packed += static_cast<char>(Latency.Bucket_.value() |
                                (Latency.IsCancelled_ ? CancelledBit : 0));
    Packed += static_cast<char>(Count & 0xff);
    Packed += static_cast<char>(Count >> 8);
  }
  return Packed;
}

Result<std::vector<LatencyCount>> unpackLatencies(capnp::Data::Reader Packed) {
  Error Damaged{
      ErrorCode::Damaged, "evidence report with invalid latencies", {}};
  if (Packed.size() % BytesPerLatency != 0)
    return Damaged;
  std::vector<LatencyCount> Latencies;
  for (std::size_t I = 0; I < Packed.size(); I += BytesPerLatency) {
    auto Bucket = static_cast<std::uint8_t>(Packed[I] & ~CancelledBit);
    if (Bucket >= LatencyBucketCount)
      return Damaged;
    Latencies.push_back({LatencyBucket(Bucket),
                         EventCount(Packed[I + 1] + Packed[I + 2] * 256ULL),
                         (Packed[I] & CancelledBit) != 0});
  }
  return Latencies;
}

void write(capnp::List<std::uint64_t>::Builder List,
           const std::vector<Fingerprint> &Values) {
  for (unsigned I = 0; I < List.size(); ++I)
    List.set(I, Values[I].value());
}

std::vector<Fingerprint> read(capnp::List<std::uint64_t>::Reader List) {
  std::vector<Fingerprint> Values;
  for (std::uint64_t Number : List)
    Values.emplace_back(Number);
  return Values;
}

template <typename Item> unsigned countOf(const std::vector<Item> &Values) {
  return static_cast<unsigned>(Values.size());
}

std::uint32_t clampTo32Bits(EventCount Count) {
  return static_cast<std::uint32_t>(
      std::min<std::uint64_t>(Count.value(), 0xffff'ffff));
}

Result<EvidenceReport> read(wire::WireEvidenceReport::Reader Root) {
  EvidenceReport Message{MemberId(stringOf(Root.getGateway())),
                         ServiceName(stringOf(Root.getService())),
                         ReportNumber(Root.getNumber()),
                         {},
                         {},
                         read(Root.getSurvived())};
  for (auto Instance : Root.getInstances()) {
    JAYBRIDGE_TRY(auto Latencies, unpackLatencies(Instance.getLatencies()));
    Message.Instances_.push_back({InstanceId(stringOf(Instance.getInstance())),
                                  EventCount(Instance.getGood()),
                                  EventCount(Instance.getFailed()),
                                  std::move(Latencies)});
  }
  for (auto Crash : Root.getCrashes())
    Message.Crashes_.push_back({InstanceId(stringOf(Crash.getInstance())),
                                Fingerprint(Crash.getFingerprint())});
  return Message;
}

Result<EjectionList> read(wire::WireEjectionAnswer::Reader Root) {
  EjectionList Message{MemberId(stringOf(Root.getGateway())),
                       ServiceName(stringOf(Root.getService())),
                       ReportNumber(Root.getNumber()),
                       FenceNumber(Root.getFence()),
                       EjectionListRevision(Root.getRevision()),
                       {},
                       read(Root.getQuarantined()),
                       read(Root.getSuspected())};
  for (auto Instance : Root.getEjected())
    Message.Ejected_.emplace_back(stringOf(Instance));
  return Message;
}

} // namespace

std::string encodeEvidenceReport(const EvidenceReport &Message) {
  capnp::MallocMessageBuilder Builder;
  auto Root = Builder.initRoot<wire::WireEvidenceReport>();
  Root.setGateway(Message.Gateway_.text());
  Root.setService(Message.Service_.text());
  Root.setNumber(Message.Number_.value());
  auto Instances = Root.initInstances(countOf(Message.Instances_));
  for (unsigned I = 0; I < Instances.size(); ++I) {
    const InstanceEvidence &Instance = Message.Instances_[I];
    Instances[I].setInstance(Instance.Instance_.text());
    Instances[I].setGood(clampTo32Bits(Instance.Good_));
    Instances[I].setFailed(clampTo32Bits(Instance.Failed_));
    Instances[I].setLatencies(dataOf(packLatencies(Instance.Latencies_)));
  }
  auto Crashes = Root.initCrashes(countOf(Message.Crashes_));
  for (unsigned I = 0; I < Crashes.size(); ++I) {
    Crashes[I].setInstance(Message.Crashes_[I].Instance_.text());
    Crashes[I].setFingerprint(Message.Crashes_[I].Fingerprint_.value());
  }
  write(Root.initSurvived(countOf(Message.Survived_)), Message.Survived_);
  return wire::serializePacked(Builder);
}

std::string encodeEjectionList(const EjectionList &Message) {
  capnp::MallocMessageBuilder Builder;
  auto Root = Builder.initRoot<wire::WireEjectionAnswer>();
  Root.setGateway(Message.Gateway_.text());
  Root.setService(Message.Service_.text());
  Root.setNumber(Message.Number_.value());
  Root.setFence(Message.Fence_.value());
  Root.setRevision(Message.Revision_.value());
  auto Ejected = Root.initEjected(countOf(Message.Ejected_));
  for (unsigned I = 0; I < Ejected.size(); ++I)
    Ejected.set(I, Message.Ejected_[I].text());
  write(Root.initQuarantined(countOf(Message.Quarantined_)),
        Message.Quarantined_);
  write(Root.initSuspected(countOf(Message.Suspected_)), Message.Suspected_);
  return wire::serializePacked(Builder);
}

Result<EvidenceReport> decodeEvidenceReport(std::string_view Payload) {
  return wire::readPacked<wire::WireEvidenceReport, EvidenceReport>(
      Payload, [](auto Root) { return read(Root); });
}

Result<EjectionList> decodeEjectionList(std::string_view Payload) {
  return wire::readPacked<wire::WireEjectionAnswer, EjectionList>(
      Payload, [](auto Root) { return read(Root); });
}

} // namespace jaybridge
