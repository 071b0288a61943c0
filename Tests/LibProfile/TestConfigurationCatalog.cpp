#include <LibProfile/ConfigurationCatalog.h>
#include <LibProfile/OperatorText.h>
#include <Support/CaseName.h>

#include <gtest/gtest.h>

namespace jaybridge {
namespace {

ProfileDraft draft(const std::string &Name, std::uint32_t Floor = 70) {
  ProfileDraft Draft;
  Draft.Name_ = ProfileName(Name);
  Draft.Floor_ = Percentage(Floor);
  return Draft;
}

ConfigurationChange change(const std::string &Id, std::uint64_t BasedOn,
                           ConfigurationAction Action) {
  return ConfigurationChange{ChangeRequestId(Id), ConfigurationVersion(BasedOn),
                             OperatorName("Aminah"), WallTime{},
                             std::move(Action)};
}

/// Profile "tickets" and service "pengeluar-tiket" under it: version 2.
ConfigurationCatalog twoChanges() {
  ConfigurationCatalog Catalog;
  EXPECT_TRUE(Catalog.apply(change("a", 0, CreateProfile{draft("tickets")})));
  EXPECT_TRUE(Catalog.apply(change(
      "b", 1,
      AssignService{ServiceName("pengeluar-tiket"), ProfileName("tickets")})));
  return Catalog;
}

struct RefusalCase {
  const char *Name_;
  ConfigurationChange Change_;
  ErrorCode Code_;
  const char *Field_;
};

ConfigurationChange byAuthor(std::string Author) {
  auto Change = change("c", 2, UpdateProfile{draft("tickets")});
  Change.Author_ = OperatorName(std::move(Author));
  return Change;
}

class ConfigurationRefusalTest : public testing::TestWithParam<RefusalCase> {};

// Guards against a change that takes effect although its content or base is
// wrong, and against refusals that do not say which field is at fault.
TEST_P(ConfigurationRefusalTest, NamesTheFieldAndChangesNothing) {
  ConfigurationCatalog Catalog = twoChanges();
  auto Answer = Catalog.apply(GetParam().Change_);
  ASSERT_FALSE(Answer);
  EXPECT_EQ(Answer.error().Code_, GetParam().Code_) << Answer.error().Message_;
  EXPECT_EQ(Answer.error().Field_, GetParam().Field_);
  EXPECT_EQ(Catalog.snapshotWithoutHistory(),
            twoChanges().snapshotWithoutHistory());
}

INSTANTIATE_TEST_SUITE_P(
    Changes, ConfigurationRefusalTest,
    testing::Values(
        RefusalCase{"OldVersion",
                    change("c", 1, UpdateProfile{draft("tickets", 80)}),
                    ErrorCode::Conflict, "based-on"},
        RefusalCase{"FutureVersion",
                    change("c", 3, UpdateProfile{draft("tickets", 80)}),
                    ErrorCode::Invalid, "based-on"},
        RefusalCase{"FloorAboveWhole",
                    change("c", 2, UpdateProfile{draft("tickets", 101)}),
                    ErrorCode::Invalid, "floor"},
        RefusalCase{"ExistingProfile",
                    change("c", 2, CreateProfile{draft("tickets")}),
                    ErrorCode::Conflict, "name"},
        RefusalCase{"UnknownProfileUpdated",
                    change("c", 2, UpdateProfile{draft("reads")}),
                    ErrorCode::NotFound, "profile"},
        RefusalCase{
            "UnknownProfileAssigned",
            change("c", 2,
                   AssignService{ServiceName("tarifs"), ProfileName("reads")}),
            ErrorCode::NotFound, "profile"},
        RefusalCase{"ServiceName",
                    change("c", 2,
                           AssignService{ServiceName("Tarifs/1"),
                                         ProfileName("tickets")}),
                    ErrorCode::Invalid, "service"},
        RefusalCase{"RequestIdReused",
                    change("b", 2, UpdateProfile{draft("tickets", 80)}),
                    ErrorCode::Invalid, "request-id"},
        RefusalCase{"NoRequestId",
                    change("", 2, UpdateProfile{draft("tickets", 80)}),
                    ErrorCode::Invalid, "request-id"},
        RefusalCase{"AuthorNotUtf8", byAuthor("Amin\xe9"), ErrorCode::Invalid,
                    "author"},
        RefusalCase{"AuthorTooLong", byAuthor(std::string(129, 'a')),
                    ErrorCode::Invalid, "author"}),
    CaseName());

// Guards against two operators who both believe that their change won.
TEST(ConfigurationCatalog, TellsTheLoserWhoWon) {
  ConfigurationCatalog Catalog = twoChanges();
  auto First = change("first", 2, UpdateProfile{draft("tickets", 80)});
  auto Second = change("second", 2, UpdateProfile{draft("tickets", 60)});
  EXPECT_EQ(Catalog.apply(First).value(), ConfigurationVersion(3));
  auto Lost = Catalog.apply(Second);
  ASSERT_FALSE(Lost);
  EXPECT_EQ(Lost.error().Message_,
            "version 2 is no longer in force; version 3 is; version 3 was made "
            "by request first of Aminah");
  EXPECT_EQ(Catalog.findAcceptedChange(ConfigurationVersion(2))->RequestId_,
            ChangeRequestId("first"));
  EXPECT_EQ(Catalog.policyFor(ServiceName("pengeluar-tiket"))->Profile_.floor(),
            Percentage(80));
}

// Guards against a resend that is applied twice or answered differently,
// also after a restart from a snapshot.
TEST(ConfigurationCatalog, GivesResendsTheirFirstAnswer) {
  ConfigurationCatalog Catalog = twoChanges();
  auto Won = change("won", 2, UpdateProfile{draft("tickets", 80)});
  auto Lost = change("lost", 1, UpdateProfile{draft("tickets", 60)});
  auto FirstAnswer = Catalog.apply(Won);
  auto FirstRefusal = Catalog.apply(Lost);
  EXPECT_TRUE(Catalog.apply(change("later", 3, CreateProfile{draft("reads")})));
  auto Rebuilt = ConfigurationCatalog::create(Catalog.snapshot());
  ASSERT_TRUE(Rebuilt);
  for (ConfigurationCatalog *Each : {&Catalog, &Rebuilt.value()}) {
    Won.At_ += std::chrono::seconds(9);
    EXPECT_EQ(Each->apply(Won).value(), FirstAnswer.value());
    EXPECT_EQ(Each->apply(Lost).error(), FirstRefusal.error());
    EXPECT_EQ(Each->version(), ConfigurationVersion(4));
  }
  EXPECT_EQ(Rebuilt.value().snapshot(), Catalog.snapshot());
}

// Guards against an audit that does not say what a change did.
TEST(ConfigurationCatalog, RecordsWhatDiffered) {
  ConfigurationCatalog Catalog = twoChanges();
  auto Update = change("c", 2, UpdateProfile{draft("tickets", 80)});
  Update.At_ += std::chrono::seconds(5);
  ASSERT_TRUE(Catalog.apply(Update));
  auto Entry = Catalog.auditOf(ChangeRequestId("c"));
  ASSERT_TRUE(Entry);
  EXPECT_EQ(Entry->Difference_, "profile tickets: floor 70 -> 80");
  EXPECT_EQ(Entry->At_, Update.At_);
  EXPECT_EQ(Entry->BasedOn_, ConfigurationVersion(2));
  EXPECT_EQ(std::get<ConfigurationVersion>(Entry->Outcome_),
            ConfigurationVersion(3));
}

// Guards against memory that grows with every change, and against refusals that
// push out the answers of accepted changes.
TEST(ConfigurationCatalog, RemembersBoundedNumberOfAnswers) {
  ConfigurationCatalog Catalog = twoChanges();
  for (std::size_t I = 0; I < 2 * ChangeHistory::MaxRefusedEntries; ++I)
    EXPECT_FALSE(Catalog.apply(change("refused-" + std::to_string(I), 0,
                                      CreateProfile{draft("reads")})));
  EXPECT_TRUE(Catalog.auditOf(ChangeRequestId("a")));
  for (std::size_t I = 2; I < ChangeHistory::MaxAcceptedEntries + 10; ++I)
    EXPECT_TRUE(Catalog.apply(change("accepted-" + std::to_string(I), I,
                                     UpdateProfile{draft("tickets")})));
  auto Snapshot = Catalog.snapshot();
  EXPECT_EQ(Snapshot.Accepted_.size(), ChangeHistory::MaxAcceptedEntries);
  EXPECT_EQ(Snapshot.Refused_.size(), ChangeHistory::MaxRefusedEntries);
  EXPECT_EQ(Catalog.apply(change("a", 0, CreateProfile{draft("tickets")}))
                .error()
                .Code_,
            ErrorCode::Conflict);
}

struct SnapshotCase {
  const char *Name_;
  void (*Damage_)(ConfigurationSnapshot &);
};

class SnapshotDamageTest : public testing::TestWithParam<SnapshotCase> {};

// Guards against a damaged snapshot that becomes the configuration in force.
TEST_P(SnapshotDamageTest, IsRefused) {
  ConfigurationSnapshot Snapshot = twoChanges().snapshot();
  GetParam().Damage_(Snapshot);
  auto Created = ConfigurationCatalog::create(Snapshot);
  ASSERT_FALSE(Created);
  EXPECT_EQ(Created.error().Code_, ErrorCode::Damaged);
}

INSTANTIATE_TEST_SUITE_P(
    Snapshots, SnapshotDamageTest,
    testing::Values(
        SnapshotCase{"ProfileMissing", [](auto &S) { S.Profiles_.clear(); }},
        SnapshotCase{"ProfileTwice",
                     [](auto &S) { S.Profiles_.push_back(S.Profiles_[0]); }},
        SnapshotCase{
            "AssignedTwice",
            [](auto &S) { S.Assignments_.push_back(S.Assignments_[0]); }},
        SnapshotCase{"ValueOutOfRange",
                     [](auto &S) { S.Profiles_[0].Floor_ = Percentage(101); }},
        SnapshotCase{"HistoryGap",
                     [](auto &S) {
                       S.Accepted_.erase(S.Accepted_.begin());
                       S.Accepted_.push_back(S.Accepted_[0]);
                     }},
        SnapshotCase{"VersionAheadOfHistory",
                     [](auto &S) { S.Version_ = S.Version_.next(); }},
        SnapshotCase{"RequestIdTwice",
                     [](auto &S) {
                       S.Refused_.push_back(S.Accepted_[0]);
                       S.Refused_[0].Outcome_ = Error{};
                     }}),
    CaseName());

struct TextCase {
  const char *Name_;
  std::string Text_;
  bool IsPermitted_;
};

class OperatorTextTest : public testing::TestWithParam<TextCase> {};

// Guards against text that breaks listings, logs or problem documents.
TEST_P(OperatorTextTest, PermitsOnlyPrintableUtf8WithinTheLimit) {
  EXPECT_EQ(
      checkOperatorText(GetParam().Text_, ByteCount(8), "note").hasValue(),
      GetParam().IsPermitted_);
}

INSTANTIATE_TEST_SUITE_P(
    Texts, OperatorTextTest,
    testing::Values(TextCase{"Ascii", "Aminah", true},
                    TextCase{"TwoByteLetters", "Thi\xc3\xa8s", true},
                    TextCase{"FourByteLetter", "\xf0\x9f\x9a\x80", true},
                    TextCase{"Empty", "", false},
                    TextCase{"TooLong", "123456789", false},
                    TextCase{"Overlong", "\xc0\xaf", false},
                    TextCase{"Surrogate", "\xed\xa0\x80", false},
                    TextCase{"AboveUnicode", "\xf4\x90\x80\x80", false},
                    TextCase{"CutShort", "a\xe2\x82", false},
                    TextCase{"LoneContinuation", "a\x80", false},
                    TextCase{"LineBreak", "a\nb", false},
                    TextCase{"Nul", std::string("a\0b", 3), false}),
    CaseName());

} // namespace
} // namespace jaybridge
