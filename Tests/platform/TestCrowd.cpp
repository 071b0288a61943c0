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

/// A gateway with 112 MB keeps 44 MB for everything except the bytes of its
/// callers, and the gateway of these tests has no memory setting, for which
/// the limit of the bytes of callers is 128 MiB. Its bound is the sum of the
/// two.
constexpr ByteCount MemoryBound((128 + 44) * Mebibyte);

/// Descriptors of a gateway apart from the connections of the test's callers.
constexpr std::size_t OwnDescriptors = 100;

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

  /// Waits until the gateway has read what was sent: its peak memory has not
  /// grown for a second. At most 20 s.
  void waitUntilRead() {
    constexpr int MaxPolls = 80;
    constexpr int PollsWithoutGrowth = 4;
    int Unchanged = 0;
    ByteCount Last;
    for (int Poll = 0; Poll < MaxPolls && Unchanged < PollsWithoutGrowth;
         ++Poll) {
      std::this_thread::sleep_for(250ms);
      const ByteCount Peak = Fleet_.peakMemoryOf(0);
      Unchanged = Peak == Last ? Unchanged + 1 : 0;
      Last = Peak;
    }
  }

  DutyFleet Fleet_;
};

class CrowdTest : public LimitedGatewayTest,
                  public testing::WithParamInterface<CrowdCase> {};

// Guards against callers that fill a gateway's memory with requests that they
// do not complete, until the process ends or serves nobody else.
TEST_P(CrowdTest, IsBoundedWhileItStaysOpen) {
  const CrowdCase &Sent = GetParam();
  std::vector<std::unique_ptr<RawConnection>> Callers;
  std::vector<std::size_t> Offsets(Sent.CallerCount_, 0);
  for (std::size_t Index = 0; Index < Sent.CallerCount_; ++Index) {
    Callers.push_back(
        std::make_unique<RawConnection>(Fleet_.callerEndpointOf(0)));
    Callers.back()->send("POST /unsafe/" + std::to_string(Index) +
                         " HTTP/1.1\r\nHost: h.example\r\nRequest-Id: crowd-" +
                         std::to_string(Index) + "\r\n" + Sent.LengthHeaders_ +
                         "\r\n");
  }
  const std::size_t Piece =
      Sent.PieceSize_ > 0 ? Sent.PieceSize_ : Sent.UnitBytesToSend_;
  for (std::size_t Done = 0; Done < Sent.UnitBytesToSend_; Done += Piece)
    for (std::size_t Index = 0; Index < Sent.CallerCount_; ++Index)
      sendPart(*Callers[Index], Sent, Offsets[Index], Piece);
  waitUntilRead();
  EXPECT_EQ(Fleet_.send(0, "GET", "/safe/ordinary").Status_, 200U);
  EXPECT_EQ(Fleet_.endedProcesses(), 0U);
  EXPECT_LE(Fleet_.peakMemoryOf(0).value(), MemoryBound.value());
  EXPECT_LE(Fleet_.openDescriptorsOf(0), Sent.CallerCount_ + OwnDescriptors);
  RecordProperty("peak-mib",
                 static_cast<int>(Fleet_.peakMemoryOf(0).value() / Mebibyte));
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

// Guards against limits that also refuse the largest request that is allowed.
TEST_F(LimitedGatewayTest, ServesTheLargestLegalRequest) {
  LoadRequest Largest = Fleet_.request(0, "POST", "/unsafe/largest");
  Largest.Body_ = std::string(BodyLimit, 'x');
  EXPECT_EQ(runLoad({Largest}, {})[0].Status_, 200U);
  EXPECT_EQ(Fleet_.endedProcesses(), 0U);
  EXPECT_LE(Fleet_.peakMemoryOf(0).value(), MemoryBound.value());
}

} // namespace
} // namespace jaybridge
