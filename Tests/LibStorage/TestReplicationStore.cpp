#include "FaultyFiles.h"

#include <LibReplication/ReplicatedLog.h>
#include <LibStorage/ReplicationStore.h>
#include <LibWire/ReplicationCodec.h>

#include <gtest/gtest.h>

#include <filesystem>

namespace jaybridge {
namespace {

using Store = ReplicationStore<FaultyFiles, PersistLogWireCodec>;

/// A replicated log with a single voter that is stored in a real data folder.
class ReplicationStoreTest : public testing::Test {
protected:
  void SetUp() override {
    std::string Template = testing::TempDir() + "jaybridge-store-XXXXXX";
    ASSERT_NE(::mkdtemp(Template.data()), nullptr);
    Parent_ = Template;
    start();
  }
  void TearDown() override { std::filesystem::remove_all(Parent_); }

  void start() {
    Log_.reset();
    Store_.reset();
    State_.clear();
    auto Opened = Store::open(FaultyFiles(Faults_), Parent_ + "/data",
                              FolderGeneration(++LastGeneration_));
    ASSERT_TRUE(Opened) << Opened.error().Message_;
    Store_.emplace(Opened.takeValue());
    ReplicationSettings Settings;
    Settings.Self_ = MemberId("vm-0");
    Settings.SnapshotIntervalEntries_ = 16;
    auto Created = ReplicatedLog::create(Settings, Store_->takeRecovered(),
                                         RandomSeed(1), Now_);
    ASSERT_TRUE(Created) << Created.error().Message_;
    Log_.emplace(Created.takeValue());
    for (int I = 0; I < 20; ++I) {
      Now_ += std::chrono::milliseconds(100);
      ReplicatedLog::Effects Effects;
      Log_->advance(Now_, Effects);
      performEffects(std::move(Effects));
    }
  }
  void handleEvent(const ReplicationEvent &Event) {
    ReplicatedLog::Effects Effects;
    Log_->handle(Event, Now_, Effects);
    performEffects(std::move(Effects));
  }
  void performEffects(ReplicatedLog::Effects Effects) {
    for (ReplicationEffect &Effect : Effects) {
      if (auto *Write = std::get_if<PersistLog>(&Effect))
        handleEvent(Store_->write({Write, 1}));
      else if (auto *Command = std::get_if<ApplyCommand>(&Effect))
        State_ += Command->Payload_;
      else if (auto *Install = std::get_if<InstallSnapshot>(&Effect))
        State_ = Install->State_;
      else if (auto *Take = std::get_if<TakeSnapshot>(&Effect))
        handleEvent(SnapshotTaken{Take->Index_, State_});
      else if (auto *Response = std::get_if<ProposalResponse>(&Effect))
        IsAccepted_ = Response->Answer_.hasValue();
    }
  }
  void propose(const std::string &Payload) {
    IsAccepted_ = false;
    handleEvent(ProposalRequest{ProposalId(1), Payload});
  }

  std::shared_ptr<FileFaults> Faults_ = std::make_shared<FileFaults>();
  std::string Parent_;
  std::uint64_t LastGeneration_ = 0;
  TimePoint Now_{};
  std::optional<Store> Store_;
  std::optional<ReplicatedLog> Log_;
  std::string State_;
  bool IsAccepted_ = false;
};

// Guards against accepted proposals that are lost at a restart, with and
// without a snapshot before it.
TEST_F(ReplicationStoreTest, KeepsAcceptedProposalsAcrossRestarts) {
  std::string Expected;
  for (int I = 0; I < 60; ++I) {
    std::string Payload = std::to_string(I) + ";";
    propose(Payload);
    ASSERT_TRUE(IsAccepted_);
    Expected += Payload;
    if (I % 13 == 0)
      start();
    ASSERT_EQ(State_, Expected);
  }
  EXPECT_TRUE(Log_->entries().snapshot());
}

// Guards against a proposal that is accepted although the disk is full, and
// against a member that cannot restart afterwards.
TEST_F(ReplicationStoreTest, RefusesProposalsOnAFullDiskAndRecovers) {
  propose("kept;");
  ASSERT_TRUE(IsAccepted_);
  Faults_->FreeBytes_ = 10;
  propose("refused;");
  EXPECT_FALSE(IsAccepted_);
  EXPECT_TRUE(Log_->isStopped());
  *Faults_ = FileFaults{};
  start();
  EXPECT_EQ(State_, "kept;");
  propose("later;");
  EXPECT_TRUE(IsAccepted_);
}

} // namespace
} // namespace jaybridge
