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

/// A catalog of version 2 with the profile "tickets", which the service
/// "pengeluar-tiket" is assigned to.
ConfigurationCatalog makeCatalog() {
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

ConfigurationChange changeBy(std::string Author) {
  auto Change = change("c", 2, UpdateProfile{draft("tickets")});
  Change.Author_ = OperatorName(std::move(Author));
  return Change;
}

class ConfigurationRefusalTest : public testing::TestWithParam<RefusalCase> {};

// Guards against a change that is applied despite an invalid value or base
// version, and against errors that do not name the invalid field.
TEST_P(ConfigurationRefusalTest, ReportsTheFieldAndKeepsTheCatalog) {
  ConfigurationCatalog Catalog = makeCatalog();
  auto Outcome = Catalog.apply(GetParam().Change_);
  ASSERT_FALSE(Outcome);
  EXPECT_EQ(Outcome.error().Code_, GetParam().Code_)
      << Outcome.error().Message_;
  EXPECT_EQ(Outcome.error().Field_, GetParam().Field_);
  EXPECT_EQ(Catalog.snapshotWithoutHistory(),
            makeCatalog().snapshotWithoutHistory());
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
        RefusalCase{"AuthorNotUtf8", changeBy("Amin\xe9"), ErrorCode::Invalid,
                    "author"},
        RefusalCase{"AuthorTooLong", changeBy(std::string(129, 'a')),
                    ErrorCode::Invalid, "author"}),
    CaseName());

// Guards against two operators who both conclude that their concurrent change
// was accepted.
TEST(ConfigurationCatalog, ConflictNamesTheAcceptedChange) {
  ConfigurationCatalog Catalog = makeCatalog();
  auto First = change("first", 2, UpdateProfile{draft("tickets", 80)});
  auto Second = change("second", 2, UpdateProfile{draft("tickets", 60)});
  EXPECT_EQ(Catalog.apply(First).value(), ConfigurationVersion(3));
  auto Refused = Catalog.apply(Second);
  ASSERT_FALSE(Refused);
  EXPECT_EQ(Refused.error().Message_,
            "version 2 is no longer in force; version 3 is; version 3 was made "
            "by request first of Aminah");
  EXPECT_EQ(Catalog.findAcceptedChange(ConfigurationVersion(2))->RequestId_,
            ChangeRequestId("first"));
  EXPECT_EQ(Catalog.policyFor(ServiceName("pengeluar-tiket"))->Profile_.floor(),
            Percentage(80));
}

// Guards against a resend that is applied twice or gets another outcome than
// the first time, also after a restart from a snapshot.
TEST(ConfigurationCatalog, ResendsGetTheFirstOutcome) {
  ConfigurationCatalog Catalog = makeCatalog();
  auto Accepted = change("won", 2, UpdateProfile{draft("tickets", 80)});
  auto Refused = change("lost", 1, UpdateProfile{draft("tickets", 60)});
  auto FirstVersion = Catalog.apply(Accepted);
  auto FirstRefusal = Catalog.apply(Refused);
  EXPECT_TRUE(Catalog.apply(change("later", 3, CreateProfile{draft("reads")})));
  auto Copy = ConfigurationCatalog::create(Catalog.snapshot());
  ASSERT_TRUE(Copy);
  for (ConfigurationCatalog *Restored : {&Catalog, &Copy.value()}) {
    Accepted.At_ += std::chrono::seconds(9);
    EXPECT_EQ(Restored->apply(Accepted).value(), FirstVersion.value());
    EXPECT_EQ(Restored->apply(Refused).error(), FirstRefusal.error());
    EXPECT_EQ(Restored->version(), ConfigurationVersion(4));
  }
  EXPECT_EQ(Copy.value().snapshot(), Catalog.snapshot());
}

// Guards against an audit trail that omits the effect of a change.
TEST(ConfigurationCatalog, AuditEntryRecordsTheDifference) {
  ConfigurationCatalog Catalog = makeCatalog();
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

// Guards against a history that grows without bound, and against refused
// changes that evict the outcomes of accepted ones.
TEST(ConfigurationCatalog, LimitsAcceptedAndRefusedHistorySeparately) {
  ConfigurationCatalog Catalog = makeCatalog();
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

// Guards against a damaged snapshot that is loaded as the configuration.
TEST_P(SnapshotDamageTest, IsRefused) {
  ConfigurationSnapshot Snapshot = makeCatalog().snapshot();
  GetParam().Damage_(Snapshot);
  auto Created = ConfigurationCatalog::create(Snapshot);
  ASSERT_FALSE(Created);
  EXPECT_EQ(Created.error().Code_, ErrorCode::Damaged);
}

INSTANTIATE_TEST_SUITE_P(
    Snapshots, SnapshotDamageTest,
    testing::Values(
        SnapshotCase{"ProfileMissing",
                     [](auto &Snapshot) { Snapshot.Profiles_.clear(); }},
        SnapshotCase{"ProfileTwice",
                     [](auto &Snapshot) {
                       Snapshot.Profiles_.push_back(Snapshot.Profiles_[0]);
                     }},
        SnapshotCase{"AssignedTwice",
                     [](auto &Snapshot) {
                       Snapshot.Assignments_.push_back(
                           Snapshot.Assignments_[0]);
                     }},
        SnapshotCase{"ValueOutOfRange",
                     [](auto &Snapshot) {
                       Snapshot.Profiles_[0].Floor_ = Percentage(101);
                     }},
        SnapshotCase{"HistoryGap",
                     [](auto &Snapshot) {
                       Snapshot.Accepted_.erase(Snapshot.Accepted_.begin());
                       Snapshot.Accepted_.push_back(Snapshot.Accepted_[0]);
                     }},
        SnapshotCase{"VersionAheadOfHistory",
                     [](auto &Snapshot) {
                       Snapshot.Version_ = Snapshot.Version_.next();
                     }},
        SnapshotCase{"RequestIdTwice",
                     [](auto &Snapshot) {
                       Snapshot.Refused_.push_back(Snapshot.Accepted_[0]);
                       Snapshot.Refused_[0].Outcome_ = Error{};
                     }}),
    CaseName());

struct TextCase {
  const char *Name_;
  std::string Text_;
  bool IsPermitted_;
};

class OperatorTextTest : public testing::TestWithParam<TextCase> {};

// Guards against operator text that corrupts listings, logs or problem
// documents (RFC 9457).
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
