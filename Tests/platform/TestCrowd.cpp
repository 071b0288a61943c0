#include "DutyFleet.h"

#include <Support/CaseName.h>
#include <Support/RawConnection.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <thread>

namespace jaybridge {
namespace {

constexpr std::size_t Kibibyte = 1024;
constexpr std::size_t Mebibyte = 1024 * Kibibyte;

/// Body limit of the gateway in these tests.
constexpr std::size_t BodyLimit = 4 * Mebibyte;
/// A configuration of legal size for a control member, which accepts 32 MiB.
constexpr std::size_t ConfigurationSize = 8 * Mebibyte;
constexpr std::size_t ControlBodyLimit = 32 * Mebibyte;
/// Body limit of the listeners that take no documents.
constexpr std::size_t StatusBodyLimit = 64 * Kibibyte;

/// A gateway with 112 MB keeps 44 MB for everything except the bytes of its
/// callers, and the gateway of these tests has no memory setting, for which
/// the limit of the bytes of callers is 128 MiB. Its bound is the sum of the
/// two.
constexpr ByteCount MemoryBound((128 + 44) * Mebibyte);
/// Machines of control members have 256 MB.
constexpr ByteCount ControlMemoryBound(256 * Mebibyte);
/// What a gateway needs apart from the bytes of its callers.
constexpr ByteCount StatusMemoryBound(44 * Mebibyte);

/// Descriptors of a gateway apart from the connections of the test's callers.
constexpr std::size_t OwnDescriptors = 100;

enum class Listener { Callers, Status, Control };

/// Bytes that each caller of a crowd sends: the head, then the unit again and
/// again up to a total length.
struct CrowdCase {
  const char *Name_;
  std::size_t CallerCount_;
  /// Headers that state the length of the body.
  std::string LengthHeaders_;
  std::string Unit_;
  std::size_t UnitBytesToSend_;
  /// Callers send pieces of this size in turn; 0 sends each body whole.
  std::size_t PieceSize_;
  Listener Listener_ = Listener::Callers;
};

std::string contentLength(std::size_t Bytes) {
  return "Content-Length: " + std::to_string(Bytes) + "\r\n";
}

const std::string Chunked = "Transfer-Encoding: chunked\r\n";

std::string repeat(const std::string &Text, std::size_t Count) {
  std::string Repeated;
  Repeated.reserve(Text.size() * Count);
  for (std::size_t Index = 0; Index < Count; ++Index)
    Repeated += Text;
  return Repeated;
}

const std::string Plain(Mebibyte, 'x');
const std::string LargeChunk = "100000\r\n" + Plain + "\r\n";
const std::string SmallChunk = "1\r\nx\r\n";
const std::string SmallChunks = repeat(SmallChunk, 10'000);

/// A complete object of half the size that control members accept, of values
/// that take more memory than text.
std::string objectOf(const std::string &Values) {
  const std::string Start = R"({"Note":[)";
  return Start + repeat(Values, ControlBodyLimit / 2 / Values.size()) + "0]}";
}
const std::string ManyNumbers = objectOf("0,");
const std::string ManyLists = objectOf("[],");

class LimitedGatewayTest : public testing::Test {
protected:
  LimitedGatewayTest()
      : Fleet_(1, {"--body-limit-bytes=" + std::to_string(BodyLimit)}) {}

  void SetUp() override {
    ASSERT_TRUE(Fleet_.start());
    Fleet_.addInstances(3,
                        [](const InstanceRequest &Received) -> InstanceReply {
                          return WriteBytes{signedResponse(Received, "done")};
                        });
    ASSERT_TRUE(Fleet_.waitUntilServing("/safe/ready"));
    // The others redirect what they receive.
    while (Leader_ < DutyFleet::MemberCount && !answersReads(Leader_))
      ++Leader_;
    ASSERT_LT(Leader_, DutyFleet::MemberCount);
  }

  bool answersReads(std::size_t Member) {
    return Fleet_.callControl(Member, "GET", "/jaybridge/config", "").Status_ ==
           200;
  }

  /// Sends the next bytes of the body, at most Size of them.
  static void sendPart(RawConnection &Caller, const CrowdCase &Sent,
                       std::size_t &Offset, std::size_t Size) {
    const std::size_t End = std::min(Offset + Size, Sent.UnitBytesToSend_);
    while (Offset < End) {
      const std::size_t InUnit = Offset % Sent.Unit_.size();
      const std::size_t Length =
          std::min(End - Offset, Sent.Unit_.size() - InUnit);
      Caller.send(std::string_view(Sent.Unit_).substr(InUnit, Length));
      Offset += Length;
    }
  }

  Endpoint endpointOf(Listener Used) const {
    switch (Used) {
    case Listener::Status:
      return Fleet_.statusEndpointOf(0);
    case Listener::Control:
      return Fleet_.controlEndpointOf(Leader_);
    case Listener::Callers:
      break;
    }
    return Fleet_.callerEndpointOf(0);
  }
  const ChildProcess &processOf(Listener Used) const {
    return Used == Listener::Control ? Fleet_.controlMember(Leader_)
                                     : Fleet_.gateway(0);
  }
  static ByteCount memoryBoundOf(Listener Used) {
    switch (Used) {
    case Listener::Status:
      return StatusMemoryBound;
    case Listener::Control:
      return ControlMemoryBound;
    case Listener::Callers:
      break;
    }
    return MemoryBound;
  }
  static std::string requestLineOf(Listener Used, std::size_t Index) {
    switch (Used) {
    case Listener::Status:
      return "PUT /metrics";
    case Listener::Control:
      return "PUT /jaybridge/config";
    case Listener::Callers:
      break;
    }
    return "POST /unsafe/" + std::to_string(Index);
  }
  /// Whether one ordinary request to the listener is answered.
  bool servesOrdinaryRequest(Listener Used) {
    switch (Used) {
    case Listener::Status: {
      LoadRequest Asked = Fleet_.request(0, "GET", "/metrics");
      Asked.Target_ = Fleet_.statusEndpointOf(0);
      return runLoad({Asked}, {})[0].Status_ == 200;
    }
    case Listener::Control:
      return answersReads(Leader_);
    case Listener::Callers:
      break;
    }
    return Fleet_.send(0, "GET", "/safe/ordinary").Status_ == 200;
  }

  /// Waits until the process has read what was sent: its peak memory has not
  /// grown for a second. At most 20 s.
  void waitUntilRead(const ChildProcess &Process) {
    constexpr int MaxPolls = 80;
    constexpr int PollsWithoutGrowth = 4;
    int Unchanged = 0;
    ByteCount Last;
    for (int Poll = 0; Poll < MaxPolls && Unchanged < PollsWithoutGrowth;
         ++Poll) {
      std::this_thread::sleep_for(250ms);
      const ByteCount Peak = DutyFleet::peakMemoryOf(Process);
      Unchanged = Peak == Last ? Unchanged + 1 : 0;
      Last = Peak;
    }
  }

  DutyFleet Fleet_;
  std::size_t Leader_ = 0;
};

class CrowdTest : public LimitedGatewayTest,
                  public testing::WithParamInterface<CrowdCase> {};

// Guards against clients that fill a process's memory with requests that they
// do not complete, until the process ends or serves nobody else.
TEST_P(CrowdTest, IsBoundedWhileItStaysOpen) {
  const CrowdCase &Sent = GetParam();
  const Listener Used = Sent.Listener_;
  const ChildProcess &Process = processOf(Used);
  std::vector<std::unique_ptr<RawConnection>> Callers;
  std::vector<std::size_t> Offsets(Sent.CallerCount_, 0);
  for (std::size_t Index = 0; Index < Sent.CallerCount_; ++Index) {
    Callers.push_back(std::make_unique<RawConnection>(endpointOf(Used)));
    Callers.back()->send(requestLineOf(Used, Index) +
                         " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: crowd-" +
                         std::to_string(Index) + "\r\n" + Sent.LengthHeaders_ +
                         "\r\n");
  }
  const std::size_t Piece =
      Sent.PieceSize_ > 0 ? Sent.PieceSize_ : Sent.UnitBytesToSend_;
  for (std::size_t Done = 0; Done < Sent.UnitBytesToSend_; Done += Piece)
    for (std::size_t Index = 0; Index < Sent.CallerCount_; ++Index)
      sendPart(*Callers[Index], Sent, Offsets[Index], Piece);
  waitUntilRead(Process);
  EXPECT_TRUE(servesOrdinaryRequest(Used));
  EXPECT_EQ(Fleet_.endedProcesses(), 0U);
  EXPECT_LE(DutyFleet::peakMemoryOf(Process).value(),
            memoryBoundOf(Used).value());
  EXPECT_LE(DutyFleet::openDescriptorsOf(Process),
            Sent.CallerCount_ + OwnDescriptors);
  RecordProperty(
      "peak-mib",
      static_cast<int>(DutyFleet::peakMemoryOf(Process).value() / Mebibyte));
}

INSTANTIATE_TEST_SUITE_P(
    Callers, CrowdTest,
    testing::Values(
        CrowdCase{"OneByteShort", 120, contentLength(BodyLimit), Plain,
                  BodyLimit - 1, 0},
        CrowdCase{"OneByteShortInPieces", 120, contentLength(BodyLimit), Plain,
                  BodyLimit - 1, 16 * Kibibyte},
        CrowdCase{"LargeChunks", 120, Chunked, LargeChunk,
                  BodyLimit / Mebibyte *LargeChunk.size() - 3, 0},
        CrowdCase{"LargeChunksInPieces", 120, Chunked, LargeChunk,
                  BodyLimit / Mebibyte *LargeChunk.size() - 3, 16 * Kibibyte},
        CrowdCase{"OneByteChunks", 40, Chunked, SmallChunks,
                  Mebibyte *SmallChunk.size() - 3, 0},
        CrowdCase{"OneByteChunksInPieces", 40, Chunked, SmallChunks,
                  Mebibyte *SmallChunk.size() - 3, 96 * Kibibyte},
        CrowdCase{"AnnouncedOverTheLimit", 60, contentLength(3 * BodyLimit),
                  Plain, 3 * BodyLimit - 1, 0},
        CrowdCase{"AnnouncedFarOverTheLimit", 60, contentLength(80 * BodyLimit),
                  Plain, 8 * BodyLimit, 0},
        CrowdCase{"SentOverTheLimit", 60, Chunked, LargeChunk,
                  3 * BodyLimit / Mebibyte *LargeChunk.size(), 0}),
    CaseName());

INSTANTIATE_TEST_SUITE_P(
    Control, CrowdTest,
    testing::Values(
        CrowdCase{"OneByteShort", 120, contentLength(ConfigurationSize), Plain,
                  ConfigurationSize - 1, 0, Listener::Control},
        CrowdCase{"OneByteShortInPieces", 120, contentLength(ConfigurationSize),
                  Plain, ConfigurationSize - 1, 16 * Kibibyte,
                  Listener::Control},
        CrowdCase{"LargeChunks", 120, Chunked, LargeChunk,
                  ConfigurationSize / Mebibyte *LargeChunk.size() - 3, 0,
                  Listener::Control},
        CrowdCase{"LargeChunksInPieces", 120, Chunked, LargeChunk,
                  ConfigurationSize / Mebibyte *LargeChunk.size() - 3,
                  16 * Kibibyte, Listener::Control},
        CrowdCase{"OneByteChunks", 120, Chunked, SmallChunks,
                  4 * Mebibyte *SmallChunk.size() - 3, 0, Listener::Control},
        CrowdCase{"OneByteChunksInPieces", 120, Chunked, SmallChunks,
                  4 * Mebibyte *SmallChunk.size() - 3, 96 * Kibibyte,
                  Listener::Control},
        CrowdCase{"ManyNumbers", 6, contentLength(ManyNumbers.size()),
                  ManyNumbers, ManyNumbers.size(), 0, Listener::Control},
        CrowdCase{"ManyLists", 6, contentLength(ManyLists.size()), ManyLists,
                  ManyLists.size(), 0, Listener::Control},
        CrowdCase{"AnnouncedOverTheLimit", 60,
                  contentLength(2 * ControlBodyLimit), Plain,
                  ControlBodyLimit / 2, 0, Listener::Control},
        CrowdCase{"SentOverTheLimit", 12, Chunked, LargeChunk,
                  2 * ControlBodyLimit / Mebibyte *LargeChunk.size(), 0,
                  Listener::Control}),
    CaseName());

INSTANTIATE_TEST_SUITE_P(
    Status, CrowdTest,
    testing::Values(CrowdCase{"OneByteShort", 600,
                              contentLength(StatusBodyLimit), Plain,
                              StatusBodyLimit - 1, 0, Listener::Status},
                    CrowdCase{"OneByteChunks", 600, Chunked, SmallChunks,
                              StatusBodyLimit *SmallChunk.size() - 3, 0,
                              Listener::Status},
                    CrowdCase{"SentOverTheLimit", 600, Chunked, LargeChunk,
                              3 * StatusBodyLimit, 0, Listener::Status}),
    CaseName());

// Guards against limits that also refuse the largest request that is allowed.
TEST_F(LimitedGatewayTest, ServesTheLargestLegalRequest) {
  LoadRequest Largest = Fleet_.request(0, "POST", "/unsafe/largest");
  Largest.Body_ = std::string(BodyLimit, 'x');
  EXPECT_EQ(runLoad({Largest}, {})[0].Status_, 200U);
  EXPECT_EQ(Fleet_.endedProcesses(), 0U);
  EXPECT_LE(DutyFleet::peakMemoryOf(Fleet_.gateway(0)).value(),
            MemoryBound.value());
}

// Guards against limits that also refuse a large configuration.
TEST_F(LimitedGatewayTest, ControlMembersAcceptALargeConfiguration) {
  const std::string Document =
      R"({"Version":2,"Routes":{},"Services":{},"Limits":{},"Note":")" +
      std::string(ConfigurationSize, 'x') + R"("})";
  EXPECT_EQ(
      Fleet_.callControl(Leader_, "PUT", "/jaybridge/config", Document).Status_,
      200U);
  EXPECT_EQ(Fleet_.endedProcesses(), 0U);
}

} // namespace
} // namespace jaybridge
