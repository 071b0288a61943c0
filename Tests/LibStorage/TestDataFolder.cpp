#include "FaultyFiles.h"

#include <LibStorage/DataFolder.h>
#include <Support/CaseName.h>

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

namespace jaybridge {
namespace {

using Folder = DataFolder<FaultyFiles>;
using Records = std::vector<std::string>;

class DataFolderTest : public testing::Test {
protected:
  void SetUp() override {
    std::string Template = testing::TempDir() + "jaybridge-folder-XXXXXX";
    ASSERT_NE(::mkdtemp(Template.data()), nullptr);
    Parent_ = Template;
    Path_ = Parent_ + "/data";
  }
  void TearDown() override { std::filesystem::remove_all(Parent_); }

  Result<Folder> open() {
    return Folder::open(FaultyFiles(Faults_), Path_,
                        FolderGeneration(++LastGeneration_));
  }
  std::string logPath() const { return Path_ + "/log"; }

  /// Creates a folder with the records "one", "two" and "three" and closes it.
  void createThreeRecords() {
    auto Opened = open();
    ASSERT_TRUE(Opened) << Opened.error().Message_;
    ASSERT_TRUE(Opened.value().append({"one", "two"}));
    ASSERT_TRUE(Opened.value().append({"three"}));
  }
  void expectRecords(const Records &Expected) {
    auto Opened = open();
    ASSERT_TRUE(Opened) << Opened.error().Message_;
    EXPECT_EQ(Opened.value().takeRecords(), Expected);
    ASSERT_TRUE(Opened.value().append({"next"}));
  }

  std::shared_ptr<FileFaults> Faults_ = std::make_shared<FileFaults>();
  std::string Parent_;
  std::string Path_;
  std::uint64_t LastGeneration_ = 0;
};

// Guards against a restart that loses records or changes the generation.
TEST_F(DataFolderTest, KeepsRecordsAndGeneration) {
  createThreeRecords();
  auto Opened = open();
  ASSERT_TRUE(Opened);
  EXPECT_EQ(Opened.value().generation(), FolderGeneration(1));
  EXPECT_EQ(Opened.value().takeRecords(), (Records{"one", "two", "three"}));
}

// Guards against a member that lost its data folder and continues under the
// same generation, as if it still had the data.
TEST_F(DataFolderTest, CreatesALostFolderWithANewGeneration) {
  createThreeRecords();
  std::filesystem::remove_all(Path_);
  auto Opened = open();
  ASSERT_TRUE(Opened);
  EXPECT_EQ(Opened.value().generation(), FolderGeneration(2));
  EXPECT_TRUE(Opened.value().takeRecords().empty());
}

// Guards against two processes that write to the same data folder.
TEST_F(DataFolderTest, RefusesASecondProcess) {
  auto First = open();
  ASSERT_TRUE(First);
  auto Second = open();
  ASSERT_FALSE(Second);
  EXPECT_EQ(Second.error().Code_, ErrorCode::Conflict);
}

// Guards against a write that is reported as durable before it was synced.
TEST_F(DataFolderTest, SyncsFileAndFolder) {
  auto Opened = open();
  ASSERT_TRUE(Opened);
  FileFaults FaultsBefore = *Faults_;
  ASSERT_TRUE(Opened.value().append({"one"}));
  EXPECT_EQ(Faults_->FileSyncCount_, FaultsBefore.FileSyncCount_ + 1);
  ASSERT_TRUE(Opened.value().replace("snapshot"));
  EXPECT_EQ(Faults_->FileSyncCount_, FaultsBefore.FileSyncCount_ + 2);
  EXPECT_EQ(Faults_->FolderSyncCount_, FaultsBefore.FolderSyncCount_ + 1);
}

struct DamageCase {
  const char *Name_;
  /// Changes the bytes of a log with three records.
  void (*ApplyDamage_)(std::string &);
  /// Number of remaining records; empty when the damage must be reported.
  std::optional<std::size_t> Remaining_;
};

class LogDamageTest : public DataFolderTest,
                      public testing::WithParamInterface<DamageCase> {};

// Guards against a member that cannot start after a crash left an incomplete
// last record, and against damage inside the log that is mistaken for one, so
// that acknowledged records are truncated.
TEST_P(LogDamageTest, IsTruncatedOrReported) {
  createThreeRecords();
  std::string Content;
  {
    std::ifstream In(logPath(), std::ios::binary);
    Content.assign(std::istreambuf_iterator<char>(In), {});
  }
  GetParam().ApplyDamage_(Content);
  std::ofstream(logPath(), std::ios::binary | std::ios::trunc) << Content;
  if (GetParam().Remaining_) {
    Records Expected{"one", "two", "three"};
    Expected.resize(*GetParam().Remaining_);
    expectRecords(Expected);
    Expected.push_back("next");
    expectRecords(Expected);
    return;
  }
  auto Opened = open();
  ASSERT_FALSE(Opened);
  EXPECT_EQ(Opened.error().Code_, ErrorCode::Damaged);
  EXPECT_NE(Opened.error().Message_.find(logPath()), std::string::npos);
  EXPECT_NE(Opened.error().Message_.find("offset"), std::string::npos);
}

// Each record consists of a 16-byte header, the payload and a 1-byte end
// marker: "one" is at 0, "two" at 20, "three" at 40; the file has 62 bytes.
INSTANTIATE_TEST_SUITE_P(
    Damages, LogDamageTest,
    testing::Values(
        DamageCase{"None", [](auto &) {}, 3},
        DamageCase{"TornHeader", [](auto &C) { C.resize(45); }, 2},
        DamageCase{"TornPayload", [](auto &C) { C.resize(58); }, 2},
        DamageCase{"MissingEndMark", [](auto &C) { C.resize(61); }, 2},
        DamageCase{"ZeroTail",
                   [](auto &C) {
                     C.resize(58);
                     C.resize(62, '\0');
                   },
                   2},
        DamageCase{"ZerosAfterLast", [](auto &C) { C.resize(90, '\0'); }, 3},
        DamageCase{"TruncatedToNothing", [](auto &C) { C.clear(); }, 0},
        DamageCase{"TruncatedInsideSecond", [](auto &C) { C.resize(30); }, 1},
        DamageCase{"LengthBitInFirst", [](auto &C) { C[0] ^= 1; }, {}},
        DamageCase{"PayloadBitInSecond", [](auto &C) { C[37] ^= 4; }, {}},
        DamageCase{"ChecksumBitInSecond", [](auto &C) { C[30] ^= 8; }, {}},
        DamageCase{"LengthBitInLast", [](auto &C) { C[42] ^= 16; }, {}},
        DamageCase{"PayloadBitInLast", [](auto &C) { C[58] ^= 1; }, {}},
        DamageCase{"RecordRemoved", [](auto &C) { C.erase(0, 20); }, {}}),
    CaseName());

struct FaultCase {
  const char *Name_;
  void (*InjectFault_)(FileFaults &);
  ErrorCode Code_;
  bool IsReplace_;
};

class WriteFaultTest : public DataFolderTest,
                       public testing::WithParamInterface<FaultCase> {};

// Guards against a failed write that is reported as durable, against later
// writes after content of unknown state, and against the loss of earlier
// records.
TEST_P(WriteFaultTest, IsReportedAndKeepsEarlierRecords) {
  createThreeRecords();
  {
    auto Opened = open();
    ASSERT_TRUE(Opened);
    GetParam().InjectFault_(*Faults_);
    auto Write = [&] {
      return GetParam().IsReplace_ ? Opened.value().replace("snapshot")
                                   : Opened.value().append({"four"});
    };
    Status Written = Write();
    ASSERT_FALSE(Written);
    EXPECT_EQ(Written.error().Code_, GetParam().Code_);
    EXPECT_NE(Written.error().Message_.find(Path_), std::string::npos);
    *Faults_ = FileFaults{};
    EXPECT_FALSE(Opened.value().append({"five"}));
  }
  auto Reopened = open();
  ASSERT_TRUE(Reopened) << Reopened.error().Message_;
  Records Found = Reopened.value().takeRecords();
  // The failed write was not acknowledged, so it may be present or absent.
  if (Found != Records{"snapshot"}) {
    ASSERT_GE(Found.size(), 3U);
    Found.resize(3);
    EXPECT_EQ(Found, (Records{"one", "two", "three"}));
  }
}

INSTANTIATE_TEST_SUITE_P(
    Faults, WriteFaultTest,
    testing::Values(
        FaultCase{"FailedSync", [](auto &F) { F.IsSyncFailing_ = true; },
                  ErrorCode::Internal, false},
        FaultCase{"FullDisk", [](auto &F) { F.FreeBytes_ = 7; },
                  ErrorCode::Full, false},
        FaultCase{"FailedSyncOfSnapshot",
                  [](auto &F) { F.IsSyncFailing_ = true; }, ErrorCode::Internal,
                  true},
        FaultCase{"FullDiskAtSnapshot", [](auto &F) { F.FreeBytes_ = 7; },
                  ErrorCode::Full, true},
        FaultCase{"FailedRename", [](auto &F) { F.IsRenameFailing_ = true; },
                  ErrorCode::Internal, true},
        FaultCase{"FailedSyncOfFolder",
                  [](auto &F) { F.IsFolderSyncFailing_ = true; },
                  ErrorCode::Internal, true}),
    CaseName());

struct MissingCase {
  const char *Name_;
  const char *File_;
};

class MissingFileTest : public DataFolderTest,
                        public testing::WithParamInterface<MissingCase> {};

// Guards against a folder with a missing file that is mistaken for an empty
// folder.
TEST_P(MissingFileTest, IsReported) {
  createThreeRecords();
  std::filesystem::remove(Path_ + "/" + GetParam().File_);
  auto Opened = open();
  ASSERT_FALSE(Opened);
  EXPECT_EQ(Opened.error().Code_, ErrorCode::Damaged);
  EXPECT_NE(Opened.error().Message_.find(GetParam().File_), std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(Files, MissingFileTest,
                         testing::Values(MissingCase{"Log", "log"},
                                         MissingCase{"Generation",
                                                     "generation"}),
                         CaseName());

// Guards against a folder that cannot be opened because its creation was
// interrupted.
TEST_F(DataFolderTest, CompletesAnInterruptedCreation) {
  ASSERT_TRUE(open());
  std::filesystem::remove(Path_ + "/generation");
  auto Opened = open();
  ASSERT_TRUE(Opened) << Opened.error().Message_;
  EXPECT_EQ(Opened.value().generation(), FolderGeneration(2));
}

} // namespace
} // namespace jaybridge
